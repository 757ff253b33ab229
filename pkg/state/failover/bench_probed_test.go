package failover_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const upstreamsPerGroup = 3

// BenchmarkProbed measures the handling of one probe together with the View
// that follows it.
func BenchmarkProbed(b *testing.B) {
	for _, groups := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			machine := settledMachine(groups)
			now := time.Second
			b.ReportAllocs()
			for i := range b.N {
				now += time.Microsecond
				machine.Handle(now, failover.Probed{
					Group: groupName(i % groups), Upstream: "u1", StartedAt: now, Reachable: true, Timeline: 1,
				})
				_ = machine.View()
			}
		})
	}
}

func groupName(i int) model.GroupID { return model.GroupID(fmt.Sprintf("g%04d", i)) }

// settledMachine returns a machine that holds permits for all of the given
// number of groups.
func settledMachine(groups int) *failover.Machine {
	self := model.Member{ID: "i1", DataCentre: "dc1", Address: "127.0.0.1:1"}
	machine := failover.New(failover.Config{Self: self})
	head := &model.Head{Version: 1, MembersVersion: 1, Members: []model.Member{self}}
	bundle := failover.BundleAdopted{}
	for i := range groups {
		spec := failover.GroupSpec{ID: groupName(i)}
		for j := range upstreamsPerGroup {
			spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{ID: model.UpstreamID(fmt.Sprintf("u%d", j+1))})
		}
		bundle.Groups = append(bundle.Groups, spec)
		head.Groups = append(head.Groups, model.GroupHead{ID: spec.ID, Generation: 1, Primary: "u1", Timeline: 1})
	}
	machine.Handle(0, failover.Tick{})
	machine.Handle(0, bundle)
	machine.Handle(0, failover.HeadRead{Head: head})
	return machine
}
