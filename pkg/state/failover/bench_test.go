package failover_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// benchUpstreams is the number of upstreams in a group.
const benchUpstreams = 3

// benchTick is the time between two events of a benchmark.
const benchTick = 50 * time.Millisecond

// benchEventCount is the number of events that a benchmark repeats.
const benchEventCount = 300

// bench is a machine that holds permits for all groups.
type bench struct {
	machine *failover.Machine
	head    *model.Head
	now     time.Duration
	// observed is what each member says of all groups.
	observed failover.Observed
}

func newBench(groups, members int) *bench {
	self := model.Member{ID: "i0000", DataCentre: "centre-0"}
	made := &bench{
		machine: failover.New(failover.Config{Self: self, TickInterval: benchTick}),
		head:    &model.Head{Version: 1, Revision: 1, MembersVersion: 1},
	}
	specs := failover.BundleAdopted{}
	for g := range groups {
		spec := failover.GroupSpec{ID: model.GroupID(fmt.Sprintf("group-%04d", g))}
		for u := range benchUpstreams {
			spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{ID: benchUpstream(g, u)})
		}
		specs.Groups = append(specs.Groups, spec)
		made.head.Groups = append(made.head.Groups, model.GroupHead{
			ID: spec.ID, Generation: 1, Primary: spec.Upstreams[0].ID, Timeline: 1,
		})
		made.observed.Groups = append(made.observed.Groups, failover.Observation{
			Group: spec.ID, Generation: 1, Reachable: true,
		})
	}
	for m := range members {
		made.head.Members = append(made.head.Members, model.Member{
			ID: model.InstanceID(fmt.Sprintf("i%04d", m)), DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", m%23)),
		})
	}
	made.machine.Handle(made.now, specs)
	made.read()
	for g := range groups {
		for u := range benchUpstreams {
			made.machine.Handle(made.now, made.probe(g, u))
		}
	}
	return made
}

func benchUpstream(g, u int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("group-%04d-%d", g, u))
}

func (b *bench) read() {
	b.machine.Handle(b.now, failover.HeadRead{StartedAt: b.now, Head: b.head})
}

func (b *bench) probe(g, u int) failover.Probed {
	return failover.Probed{
		Group: b.head.Groups[g].ID, Upstream: benchUpstream(g, u), StartedAt: b.now,
		Reachable: true, Timeline: 1, Recovering: u > 0, LSN: 100,
	}
}

// BenchmarkHandle is the cost of an event by groups and members: the size of
// today, one of six regions, and a region with everything.
func BenchmarkHandle(b *testing.B) {
	for _, size := range []struct{ groups, members int }{
		{3, 4},
		{10, 4},
		{100, 4},
		{100, 40},
		{139, 167},
		{833, 167},
		{833, 1000},
	} {
		name := fmt.Sprintf("groups=%d/members=%d/", size.groups, size.members)
		b.Run(name+"Tick", func(b *testing.B) { benchEvents(b, newBench(size.groups, size.members), tick) })
		b.Run(name+"Probed", func(b *testing.B) { benchEvents(b, newBench(size.groups, size.members), probed) })
		b.Run(name+"PeerReceived", func(b *testing.B) { benchEvents(b, newBench(size.groups, size.members), received) })
		b.Run(name+"View", func(b *testing.B) {
			made := newBench(size.groups, size.members)
			for b.Loop() {
				made.machine.View()
			}
		})
	}
}

// eventOf returns the n-th event of a benchmark.
type eventOf func(made *bench, n int) failover.Event

func tick(*bench, int) failover.Event { return failover.Tick{} }

func probed(made *bench, n int) failover.Event {
	return made.probe(n%len(made.head.Groups), n%benchUpstreams)
}

func received(made *bench, n int) failover.Event {
	from := made.head.Members[1+n%(len(made.head.Members)-1)].ID
	return failover.PeerReceived{From: from, Message: made.observed}
}

// benchEvents handles events a microsecond apart, but Ticks benchTick apart,
// so that each tenth sends the instance's view to all members.
func benchEvents(b *testing.B, made *bench, next eventOf) {
	step := time.Microsecond
	if _, isTick := next(made, 0).(failover.Tick); isTick {
		step = benchTick
	}
	events := make([]failover.Event, benchEventCount)
	for n := range events {
		events[n] = next(made, n)
	}
	for n := 0; b.Loop(); n++ {
		made.now += step
		if step == benchTick && n%10 == 0 {
			made.read()
		}
		made.machine.Handle(made.now, events[n%len(events)])
	}
}
