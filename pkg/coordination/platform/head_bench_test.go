package platform

import (
	"fmt"
	"testing"

	"gypsumdock/pkg/state/model"
)

// headOf returns a head row with the given numbers of groups and members.
func headOf(groups, members int) *model.Head {
	head := &model.Head{Revision: 90_000, Digest: Digest(nil), MembersVersion: 400_000}
	for g := range groups {
		head.Groups = append(head.Groups, model.GroupHead{
			ID:         model.GroupID(fmt.Sprintf("plugs-%04d", g)),
			Generation: model.Generation(g % 9),
			Primary:    model.UpstreamID(fmt.Sprintf("plugs-%04d-a", g)),
			StartLSN:   model.LSN(g) << 30,
			Timeline:   uint32(g % 9),
		})
	}
	for m := range members {
		head.Members = append(head.Members, model.Member{
			ID:         model.InstanceID(Digest([]byte{byte(m), byte(m >> 8)})[:36]),
			DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", m%23)),
			Address:    fmt.Sprintf("10.0.%d.%d:7432", m/250, m%250+1),
		})
	}
	return head
}

// BenchmarkDecodeHead decodes head rows of three sizes: of a current site, of the
// maximum size that the system is designed for, and of a sixth of that.
func BenchmarkDecodeHead(b *testing.B) {
	for _, size := range []struct{ groups, members int }{{3, 4}, {139, 167}, {833, 1000}} {
		b.Run(fmt.Sprintf("groups=%d/members=%d", size.groups, size.members), func(b *testing.B) {
			value, err := EncodeHead(headOf(size.groups, size.members))
			if err != nil {
				b.Fatal(err)
			}
			row := &Row{Key: HeadKey("r"), Version: 1, Value: value}
			for b.Loop() {
				if _, err := DecodeHead(row); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}
