package grants_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// BenchmarkTick measures how long a Machine takes to handle a
// MembershipConfirmed, for which it plans each upstream once, as for a Tick.
func BenchmarkTick(b *testing.B) {
	for _, upstreams := range []int{9, 100, 417, 1000, 2499} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			machine := grants.New(grants.DefaultConfig("i0"))
			adopted := grants.UpstreamsAdopted{}
			for u := range upstreams {
				id := model.UpstreamID(fmt.Sprintf("u%04d", u))
				adopted.Upstreams = append(adopted.Upstreams, grants.UpstreamCapacity{ID: id, Connections: 16, Reserve: 5})
			}
			machine.Handle(0, adopted)
			confirmed := grants.MembershipConfirmed{Version: 1, Members: []model.InstanceID{"i0"}}
			machine.Handle(0, confirmed)
			for _, capacity := range adopted.Upstreams {
				row := grants.RowRead{Upstream: capacity.ID, Version: 1, Row: &grants.Row{}}
				machine.Handle(0, row)
			}
			now := time.Second
			for b.Loop() {
				now += time.Microsecond
				confirmed.AskedAt = now
				machine.Handle(now, confirmed)
			}
		})
	}
}
