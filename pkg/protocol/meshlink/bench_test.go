package meshlink_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// BenchmarkBytes measures the size in bytes of messages without their frame, and
// the time to encode one.
func BenchmarkBytes(b *testing.B) {
	key := marks.Key{Session: "session-0000000001", Group: "group-0001"}
	mark := model.Mark{Generation: 3, LSN: 1 << 40}
	status := control.Status{
		Ref: adoption.BundleRef{Revision: 90_000, Digest: platform.Digest(nil)}, HeadVersion: 400_000, Sessions: 3600,
		AdminAddress: "10.0.100.100:7433",
	}
	benchmarkSize(b, "Status", func() *meshpb.Envelope { return meshlink.EncodeStatus(status) })
	benchmarkSize(b, "MarkStore", func() *meshpb.Envelope { return meshlink.EncodeMarkStore(key, mark, 400_000) })
	benchmarkSize(b, "MarkAsk", func() *meshpb.Envelope { return meshlink.EncodeMarkAsk(key, 400_000) })
	benchmarkSize(b, "MarkAnswer", func() *meshpb.Envelope { return meshlink.EncodeMarkAnswer(marks.Answer{Mark: mark}) })
	benchmarkSize(b, "FreshHeadAsk", func() *meshpb.Envelope { return meshlink.EncodeFreshHeadAsk(400_000) })
	known := &model.Head{Version: 400_000}
	benchmarkSize(b, "HeadAnswer/unchanged", func() *meshpb.Envelope { return meshlink.EncodeHeadAnswer(known, 400_000) })
	for _, groups := range []int{3, 139, 833} {
		message := newObserved(groups)
		benchmarkSize(b, fmt.Sprintf("Observed/groups=%d", groups), func() *meshpb.Envelope { return meshlink.Encode(message) })
	}
}

// newObserved returns the observations of this many groups.
func newObserved(groups int) failover.Observed {
	message := failover.Observed{}
	for g := range groups {
		message.Groups = append(message.Groups, failover.Observation{
			Group: model.GroupID(fmt.Sprintf("group-%04d", g)), Generation: 3, Reachable: true,
		})
	}
	return message
}

// benchmarkSize measures one message.
func benchmarkSize(b *testing.B, name string, encode func() *meshpb.Envelope) {
	b.Run(name, func(b *testing.B) {
		bytes := 0
		for b.Loop() {
			encoded, err := proto.Marshal(encode())
			if err != nil {
				b.Fatal(err)
			}
			bytes = len(encoded)
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
}
