package failover_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// benchUpstreams is the number of upstreams of each group.
const benchUpstreams = 3

// benchTick is the simulated time between two Ticks of a benchmark.
const benchTick = 50 * time.Millisecond

// benchEventCount is the number of prepared events, which a benchmark handles
// repeatedly.
const benchEventCount = 300

// fixture is a machine that holds permits for all groups.
type fixture struct {
	machine *failover.Machine
	head    *model.Head
	now     time.Duration
	// observed is the message that each member sends, which reports all
	// primaries as reachable.
	observed failover.Observed
}

func newFixture(groups, members int) *fixture {
	self := model.Member{ID: "i0000", DataCentre: "centre-0"}
	f := &fixture{
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
		f.head.Groups = append(f.head.Groups, model.GroupHead{
			ID: spec.ID, Generation: 1, Primary: spec.Upstreams[0].ID, Timeline: 1,
		})
		f.observed.Groups = append(f.observed.Groups, failover.Observation{
			Group: spec.ID, Generation: 1, Reachable: true,
		})
	}
	for m := range members {
		f.head.Members = append(f.head.Members, model.Member{
			ID: model.InstanceID(fmt.Sprintf("i%04d", m)), DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", m%23)),
		})
	}
	f.machine.Handle(f.now, specs)
	f.read()
	for g := range groups {
		for u := range benchUpstreams {
			f.machine.Handle(f.now, f.probe(g, u))
		}
	}
	return f
}

func benchUpstream(g, u int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("group-%04d-%d", g, u))
}

func (f *fixture) read() {
	f.machine.Handle(f.now, failover.HeadRead{StartedAt: f.now, Head: f.head})
}

func (f *fixture) probe(g, u int) failover.Probed {
	return failover.Probed{
		Group: f.head.Groups[g].ID, Upstream: benchUpstream(g, u), StartedAt: f.now,
		Reachable: true, Timeline: 1, Recovering: u > 0, LSN: 100,
	}
}

// BenchmarkHandle measures the cost of an event by the number of groups and
// members. The sizes are those of present regions, of one of six regions (139
// groups, 167 members) and of a single region with all groups and up to 1000
// members.
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
		b.Run(name+"Tick", func(b *testing.B) { benchEvents(b, newFixture(size.groups, size.members), tick) })
		b.Run(name+"Probed", func(b *testing.B) { benchEvents(b, newFixture(size.groups, size.members), probed) })
		b.Run(name+"PeerReceived", func(b *testing.B) { benchEvents(b, newFixture(size.groups, size.members), received) })
		b.Run(name+"View", func(b *testing.B) {
			f := newFixture(size.groups, size.members)
			for b.Loop() {
				f.machine.View()
			}
		})
	}
}

// eventAt returns the n-th event of a benchmark.
type eventAt func(f *fixture, n int) failover.Event

func tick(*fixture, int) failover.Event { return failover.Tick{} }

func probed(f *fixture, n int) failover.Event {
	return f.probe(n%len(f.head.Groups), n%benchUpstreams)
}

func received(f *fixture, n int) failover.Event {
	from := f.head.Members[1+n%(len(f.head.Members)-1)].ID
	return failover.PeerReceived{From: from, Message: f.observed}
}

// benchEvents handles the events of next. They are a microsecond apart, except
// that Ticks are benchTick apart, so that every tenth one sends an Observed to
// all members.
func benchEvents(b *testing.B, f *fixture, next eventAt) {
	step := time.Microsecond
	if _, isTick := next(f, 0).(failover.Tick); isTick {
		step = benchTick
	}
	events := make([]failover.Event, benchEventCount)
	for n := range events {
		events[n] = next(f, n)
	}
	for n := 0; b.Loop(); n++ {
		f.now += step
		if step == benchTick && n%10 == 0 {
			f.read()
		}
		f.machine.Handle(f.now, events[n%len(events)])
	}
}
