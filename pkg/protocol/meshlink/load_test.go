package meshlink_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
)

var _ = Describe("a report of load", func() {
	It("is unchanged after encoding and decoding", func() {
		counts := []loadshare.Count{{Upstream: "u", Outstanding: 3}, {Upstream: "v"}}
		data, err := proto.Marshal(meshlink.EncodeLoadReport(counts))
		Expect(err).NotTo(HaveOccurred())
		var envelope meshpb.Envelope
		Expect(proto.Unmarshal(data, &envelope)).To(Succeed())
		Expect(meshlink.DecodeLoadReport(envelope.GetLoadReport())).To(Equal(counts))
	})

	It("decodes a count beyond any bound to one that is refused", func() {
		share := loadshare.New()
		share.SetUpstreams([]loadshare.Upstream{{ID: "u", Slots: 5, MaxConnections: 49, Others: []model.InstanceID{"b"}}})
		report := &meshpb.LoadReport{Upstreams: []*meshpb.UpstreamLoad{{Upstream: "u", Outstanding: 1<<32 - 1}}}
		Expect(share.Reported(0, "b", meshlink.DecodeLoadReport(report))).To(MatchError(loadshare.ErrImpossibleCount))
	})

	// Guards against reports that crowd out other traffic on links of 10 Mbit/s.
	It("costs a bounded part of a link at four servers of eight groups with 200 units a second each", func() {
		const seconds, unitsPerSecond = 20, 200
		random := rand.New(rand.NewPCG(1, 2))
		share := loadshare.New()
		others := []model.InstanceID{"s1", "s2", "s3"}
		var specs []loadshare.Upstream
		for i := range 24 {
			id := model.UpstreamID(fmt.Sprintf("group-%d-upstream-%d", i/3, i%3))
			specs = append(specs, loadshare.Upstream{ID: id, Slots: 5, MaxConnections: 49, Others: others})
		}
		share.SetUpstreams(specs)
		ends := make([][]time.Duration, len(specs))
		messages, bytes := 0, 0
		for now := time.Duration(0); now < seconds*time.Second; now += time.Millisecond {
			if random.Float64() < unitsPerSecond/1000.0 {
				i := random.IntN(len(specs))
				ends[i] = append(ends[i], now+time.Duration(random.ExpFloat64()*float64(25*time.Millisecond)))
			}
			if now%(loadshare.ReportInterval/4) != 0 {
				continue
			}
			var own []loadshare.Count
			for i := range specs {
				outstanding := 0
				for _, end := range ends[i] {
					if end > now {
						outstanding++
					}
				}
				own = append(own, loadshare.Count{Upstream: specs[i].ID, Outstanding: outstanding})
			}
			for _, to := range others {
				if due := share.Due(now, to, own); len(due) > 0 {
					messages++
					bytes += proto.Size(meshlink.EncodeLoadReport(due))
				}
			}
		}
		GinkgoWriter.Printf("one server: %d messages and %d bytes a second\n", messages/seconds, bytes/seconds)
		Expect(messages / seconds).To(BeNumerically("<=", 30))
		Expect(bytes / seconds).To(BeNumerically("<", 10_000))
	})
})
