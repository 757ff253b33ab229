package instance

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/telemetry"
)

var _ = Describe("a report of load that cannot be", func() {
	It("is refused, counted, and logged once a second", func() {
		var out bytes.Buffer
		d := dispatcher.New(dispatcher.Config{Clock: newClock(), Self: "a", UseTopology: func(dispatcher.Topology) {}})
		peer := hostedPeer{
			dispatch: d, logger: slog.New(slog.NewTextHandler(&out, nil)),
			loadRefused: events.NewThrottle(events.LoadRefused, time.Hour),
		}
		before := telemetry.LoadsRefused.With("report").Get()
		report := &meshpb.LoadReport{Upstreams: []*meshpb.UpstreamLoad{{Upstream: "unknown", Outstanding: 1}}}
		for range 5 {
			peer.HandleMessage("b", &meshpb.Envelope{Body: &meshpb.Envelope_LoadReport{LoadReport: report}}, func(*meshpb.Envelope) {
				Fail("a report gets no answer")
			})
		}
		Expect(telemetry.LoadsRefused.With("report").Get() - before).To(Equal(uint64(5)))
		Expect(strings.Count(out.String(), "unknown upstream")).To(Equal(1))
	})
})
