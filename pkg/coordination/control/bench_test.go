package control

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// The stubs embed the interfaces whose methods no benchmark calls: their I/O
// would run in goroutines, which the benchmarks don't start.
type (
	stubStore     struct{ HeadStore }
	stubGrants    struct{ GrantStore }
	stubPlatform  struct{ Platform }
	stubUpstreams struct{ Upstreams }
	stubPeers     struct{ peersPort }
	stubSessions  struct{}
	stubTraffic   struct{}
	stubPools     struct{}
)

// peersPort is an alias of Peers, so that the field embedded in stubPeers
// doesn't have the name of the method Peers.
type peersPort = Peers

func (stubPeers) SetPeers([]model.Member)                     {}
func (stubPeers) Send(model.InstanceID, failover.PeerMessage) {}
func (stubPeers) Announce(Status)                             {}

func (stubSessions) HeadSeen(time.Duration, time.Duration, *model.Head)      {}
func (stubSessions) PrimarySampled(time.Duration, model.GroupID, model.Mark) {}
func (stubSessions) AllReplicasApplied(model.GroupID, model.Mark)            {}
func (stubSessions) SetGroups([]model.GroupID)                               {}

func (stubTraffic) Publish(*Snapshot)                                                   {}
func (stubTraffic) WritesInFlight(model.GroupID, model.Generation) int                  { return 0 }
func (stubTraffic) Sessions() int                                                       { return 0 }
func (stubTraffic) LatencyAndSlots(model.UpstreamID) (latency time.Duration, slots int) { return 0, 1 }

func (stubPools) SetLimits(model.UpstreamID, int, int) {}
func (stubPools) Usage(upstream model.UpstreamID) grants.Usage {
	return grants.Usage{Upstream: upstream}
}

// manualClock is a Clock whose time the benchmark sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

const (
	benchUpstreams   = 3
	benchDataCentres = 23
	benchGrant       = 6
)

// benchBundle returns a bundle of groups with three upstreams and one route
// each.
func benchBundle(groups int) *bundle.Bundle {
	made := &bundle.Bundle{}
	for g := range groups {
		group := bundle.Group{ID: model.GroupID(fmt.Sprintf("group-%04d", g)), Database: fmt.Sprintf("d%d", g), User: "u"}
		for u := range benchUpstreams {
			group.Upstreams = append(group.Upstreams, bundle.Upstream{
				ID: model.UpstreamID(fmt.Sprintf("%s-%d", group.ID, u)), Address: fmt.Sprintf("10.%d.%d.%d:5432", u, g/250, g%250+1),
				DataCentre: "centre-0", Slots: 8, Connections: 55,
			})
		}
		made.Groups = append(made.Groups, group)
		made.Routes = append(made.Routes, bundle.Route{
			Name: string(group.ID), Group: group.ID, Tag: "t", ReadOnly: true, MaxAge: time.Second, Deadline: time.Second,
		})
	}
	return made
}

// benchHead returns a head row with the groups of a bundle and some members.
func benchHead(current *bundle.Bundle, members int) *model.Head {
	head := &model.Head{Version: 1, Revision: 1, MembersVersion: 1}
	for _, group := range current.Groups {
		head.Groups = append(head.Groups, model.GroupHead{
			ID: group.ID, Generation: 1, Primary: group.Upstreams[0].ID, Timeline: 1,
		})
	}
	for m := range members {
		head.Members = append(head.Members, model.Member{
			ID: model.InstanceID(fmt.Sprintf("i%04d", m)), DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", m%benchDataCentres)),
		})
	}
	return head
}

// benchLoop is a loop with an active configuration and a probe of each
// upstream. Its goroutines don't run; the benchmarks call its methods directly.
type benchLoop struct {
	*Loop
	clock *manualClock
	head  *model.Head
}

func newBenchLoop(b *testing.B, groups, members int) *benchLoop {
	b.Helper()
	current := benchBundle(groups)
	made := &benchLoop{clock: &manualClock{now: time.Second}, head: benchHead(current, members)}
	var err error
	made.Loop, err = New(Config{
		Self: made.head.Members[0], Clock: made.clock, Logger: slog.New(slog.DiscardHandler),
		Heads: stubStore{}, Platform: stubPlatform{}, Upstreams: stubUpstreams{}, Peers: stubPeers{},
		Sessions: stubSessions{}, Traffic: stubTraffic{}, Grants: stubGrants{}, Pools: stubPools{},
	})
	if err != nil {
		b.Fatal(err)
	}
	made.activate(b, current)
	made.confirmHead()
	for n := range groups * benchUpstreams {
		made.probeResult(n).apply(made.Loop)
	}
	for _, member := range made.head.Members[1:] {
		made.peers[member.ID] = PeerStatus{At: made.clock.now}
	}
	return made
}

// activate makes the bundle the active one, without starting probers.
func (l *benchLoop) activate(b *testing.B, current *bundle.Bundle) {
	b.Helper()
	data, digest, err := bundle.Encode(current)
	if err != nil {
		b.Fatal(err)
	}
	ref := adoption.BundleRef{Revision: 1, Digest: digest}
	l.adoption.Step(l.clock.now, adoption.RevisionSeen{Ref: ref})
	actions := l.adoption.Step(l.clock.now, adoption.Fetched{Ref: ref, Data: data})
	if _, active := l.adoption.Active(); active == nil {
		b.Fatal("the bundle is not active after these actions: ", actions)
	}
	l.lag.setBundle(l.clock.now, current)
	l.grantAll(current)
	l.failover.Handle(l.clock.now, groupSpecs(current))
}

// grantAll grants this instance some connections to each upstream.
func (l *benchLoop) grantAll(current *bundle.Bundle) {
	own := grants.Entry{Instance: l.config.Self.ID, Grant: benchGrant, Target: benchGrant, Wanted: benchGrant, Since: 1}
	adopted := grants.UpstreamsAdopted{}
	for _, group := range current.Groups {
		for _, upstream := range group.Upstreams {
			l.grants.limits[upstream.ID] = Limits{}
			adopted.Upstreams = append(adopted.Upstreams, grants.UpstreamCapacity{
				ID: upstream.ID, Connections: upstream.Connections, Reserve: reservedConnections,
			})
		}
	}
	machine := l.grants.machine
	machine.Handle(l.clock.now, adopted)
	for _, spec := range adopted.Upstreams {
		machine.Handle(l.clock.now, grants.RowRead{
			Upstream: spec.ID, AskedAt: l.clock.now, Version: 1, Row: &grants.Row{Entries: []grants.Entry{own}},
		})
	}
}

// confirmHead applies a read of the head row that started now.
func (l *benchLoop) confirmHead() {
	l.clock.now++
	failoverInput{failover.HeadRead{StartedAt: l.clock.now, Head: l.head}}.apply(l.Loop)
}

// probeResult returns the result of a probe of the nth upstream.
func (l *benchLoop) probeResult(n int) input {
	group := l.head.Groups[n/benchUpstreams%len(l.head.Groups)]
	u := n % benchUpstreams
	return probeInput{failover.Probed{
		Group: group.ID, Upstream: model.UpstreamID(fmt.Sprintf("%s-%d", group.ID, u)), StartedAt: l.clock.now,
		Reachable: true, Timeline: 1, Recovering: u > 0, LSN: 100,
	}}
}

// observedBy returns the nth peer's view of all groups.
func (l *benchLoop) observedBy(n int) input {
	message := failover.Observed{}
	for _, group := range l.head.Groups {
		message.Groups = append(message.Groups, failover.Observation{Group: group.ID, Generation: 1, Reachable: true})
	}
	from := l.head.Members[1+n%(len(l.head.Members)-1)].ID
	return failoverInput{failover.PeerReceived{From: from, Message: message}}
}

// BenchmarkInput measures the cost of one input to the control goroutine: the
// state machine's decision and the snapshot.
func BenchmarkInput(b *testing.B) {
	for _, size := range []struct{ groups, members int }{{3, 4}, {12, 16}, {139, 167}, {833, 1000}} {
		name := fmt.Sprintf("groups=%d/members=%d/", size.groups, size.members)
		b.Run(name+"Probed", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			benchInput(b, made, made.probeResult(0))
		})
		b.Run(name+"Observed", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			benchInput(b, made, made.observedBy(0))
		})
		b.Run(name+"PromiseAsked", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			benchInput(b, made, failoverInput{failover.PeerReceived{
				From: made.head.Members[1].ID, Message: failover.PromiseAsked{Round: 1, MembersVersion: 1, HeadVersion: 1},
			}})
		})
		b.Run(name+"HeadRead", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			for b.Loop() {
				made.confirmHead()
			}
		})
		b.Run(name+"publish", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			for b.Loop() {
				made.publish()
			}
		})
	}
}

func benchInput(b *testing.B, made *benchLoop, in input) {
	for b.Loop() {
		in.apply(made.Loop)
	}
}

// BenchmarkGrants measures the cost of one report of the use of all upstreams.
func BenchmarkGrants(b *testing.B) {
	for _, groups := range []int{3, 12, 33, 139} {
		b.Run(fmt.Sprintf("upstreams=%d", groups*benchUpstreams), func(b *testing.B) {
			made := newBenchLoop(b, groups, 4)
			for b.Loop() {
				made.grants.reportUsage()
			}
		})
	}
}
