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

// The stubs do nothing. They have no methods for I/O, which no benchmark lets
// the loop start.
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

// peersPort is Peers by a name that no method of it has.
type peersPort = Peers

func (stubPeers) SetPeers([]model.Member)                     {}
func (stubPeers) Send(model.InstanceID, failover.PeerMessage) {}
func (stubPeers) Announce(Status)                             {}

func (stubSessions) HeadSeen(time.Duration, time.Duration, *model.Head)      {}
func (stubSessions) PrimarySampled(time.Duration, model.GroupID, model.Mark) {}
func (stubSessions) Passed(model.GroupID, model.Mark)                        {}
func (stubSessions) SetGroups([]model.GroupID)                               {}

func (stubTraffic) Publish(*Snapshot)                                                   {}
func (stubTraffic) WritesInFlight(model.GroupID, model.Generation) int                  { return 0 }
func (stubTraffic) Sessions() int                                                       { return 0 }
func (stubTraffic) LatencyAndSlots(model.UpstreamID) (latency time.Duration, slots int) { return 0, 1 }

func (stubPools) SetLimits(model.UpstreamID, int, int) {}
func (stubPools) Usage(upstream model.UpstreamID) grants.Usage {
	return grants.Usage{Upstream: upstream}
}

// still is a clock that is set.
type still struct{ now time.Duration }

func (s *still) Now() time.Duration { return s.now }

const (
	benchUpstreams = 3
	benchRegion    = 23
	benchGrant     = 6
)

// benchBundle returns groups of three upstreams with a route each.
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

func benchHead(current *bundle.Bundle, members int) *model.Head {
	head := &model.Head{Version: 1, Revision: 1, MembersVersion: 1}
	for _, group := range current.Groups {
		head.Groups = append(head.Groups, model.GroupHead{
			ID: group.ID, Generation: 1, Primary: group.Upstreams[0].ID, Timeline: 1,
		})
	}
	for m := range members {
		head.Members = append(head.Members, model.Member{
			ID: model.InstanceID(fmt.Sprintf("i%04d", m)), DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", m%benchRegion)),
		})
	}
	return head
}

// benchLoop is a loop with a configuration in force and all upstreams probed,
// whose goroutines do not run.
type benchLoop struct {
	*Loop
	clock *still
	head  *model.Head
}

func newBenchLoop(b *testing.B, groups, members int) *benchLoop {
	b.Helper()
	current := benchBundle(groups)
	made := &benchLoop{clock: &still{now: time.Second}, head: benchHead(current, members)}
	var err error
	made.Loop, err = New(Config{
		Self: made.head.Members[0], Clock: made.clock, Logger: slog.New(slog.DiscardHandler),
		Heads: stubStore{}, Platform: stubPlatform{}, Upstreams: stubUpstreams{}, Peers: stubPeers{},
		Sessions: stubSessions{}, Traffic: stubTraffic{}, Grants: stubGrants{}, Pools: stubPools{},
	})
	if err != nil {
		b.Fatal(err)
	}
	made.adoptAll(b, current)
	made.confirm()
	for n := range groups * benchUpstreams {
		made.probe(n).apply(made.Loop)
	}
	for _, member := range made.head.Members[1:] {
		made.peers[member.ID] = PeerStatus{At: made.clock.now}
	}
	return made
}

// adoptAll puts the bundle in force, without the probes.
func (l *benchLoop) adoptAll(b *testing.B, current *bundle.Bundle) {
	b.Helper()
	data, digest, err := bundle.Encode(current)
	if err != nil {
		b.Fatal(err)
	}
	ref := adoption.BundleRef{Revision: 1, Digest: digest}
	l.adoption.Step(l.clock.now, adoption.RevisionSeen{Ref: ref})
	actions := l.adoption.Step(l.clock.now, adoption.Fetched{Ref: ref, Data: data})
	if _, inForce := l.adoption.Active(); inForce == nil {
		b.Fatal("the bundle is not in force: ", actions)
	}
	l.samples.adopted(l.clock.now, current)
	l.grant(current)
	l.failover.Handle(l.clock.now, specOf(current))
}

// grant gives this instance a part of each upstream.
func (l *benchLoop) grant(current *bundle.Bundle) {
	own := grants.Entry{Instance: l.config.Self.ID, Grant: benchGrant, Target: benchGrant, Wanted: benchGrant, Since: 1}
	adopted := grants.UpstreamsAdopted{}
	for _, group := range current.Groups {
		for _, upstream := range group.Upstreams {
			l.granting.limits[upstream.ID] = Limits{}
			adopted.Upstreams = append(adopted.Upstreams, grants.UpstreamCapacity{
				ID: upstream.ID, Connections: upstream.Connections, Reserve: reserve,
			})
		}
	}
	machine := l.granting.machine
	machine.Handle(l.clock.now, adopted)
	for _, spec := range adopted.Upstreams {
		machine.Handle(l.clock.now, grants.RowRead{
			Upstream: spec.ID, AskedAt: l.clock.now, Version: 1, Row: &grants.Row{Entries: []grants.Entry{own}},
		})
	}
}

// confirm takes a read of the head row that began just now.
func (l *benchLoop) confirm() {
	l.clock.now++
	failoverInput{failover.HeadRead{StartedAt: l.clock.now, Head: l.head}}.apply(l.Loop)
}

func (l *benchLoop) probe(n int) input {
	group := l.head.Groups[n/benchUpstreams%len(l.head.Groups)]
	u := n % benchUpstreams
	return probeInput{failover.Probed{
		Group: group.ID, Upstream: model.UpstreamID(fmt.Sprintf("%s-%d", group.ID, u)), StartedAt: l.clock.now,
		Reachable: true, Timeline: 1, Recovering: u > 0, LSN: 100,
	}}
}

// view returns what the n-th peer says of all groups.
func (l *benchLoop) view(n int) input {
	message := failover.Observed{}
	for _, group := range l.head.Groups {
		message.Groups = append(message.Groups, failover.Observation{Group: group.ID, Generation: 1, Reachable: true})
	}
	from := l.head.Members[1+n%(len(l.head.Members)-1)].ID
	return failoverInput{failover.PeerReceived{From: from, Message: message}}
}

// BenchmarkInput is the cost of an input to the control goroutine: the decision
// and the snapshot.
func BenchmarkInput(b *testing.B) {
	for _, size := range []struct{ groups, members int }{{3, 4}, {12, 16}, {139, 167}, {833, 1000}} {
		name := fmt.Sprintf("groups=%d/members=%d/", size.groups, size.members)
		b.Run(name+"Probed", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			benchInput(b, made, made.probe(0))
		})
		b.Run(name+"Observed", func(b *testing.B) {
			made := newBenchLoop(b, size.groups, size.members)
			benchInput(b, made, made.view(0))
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
				made.confirm()
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

// BenchmarkGrants is the cost of a report of the use of all upstreams.
func BenchmarkGrants(b *testing.B) {
	for _, groups := range []int{3, 12, 33, 139} {
		b.Run(fmt.Sprintf("upstreams=%d", groups*benchUpstreams), func(b *testing.B) {
			made := newBenchLoop(b, groups, 4)
			for b.Loop() {
				made.granting.tick()
			}
		})
	}
}
