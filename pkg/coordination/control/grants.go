package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// Bounds of the grants.
const (
	// reserve is the part of an upstream's connections that is kept for the
	// probes of the instances, one each, and for promotion.
	reserve = 5
	// warmMembers is the number of members up to which each instance keeps
	// connections to all upstreams without need.
	warmMembers = 8
	// grantInterval is the time between two reports of use.
	grantInterval = 100 * time.Millisecond
	// grantSlack is added to the clock drift for the time between a decision
	// and its effect: a round of reports, and a login under way.
	grantSlack = 3500 * time.Millisecond
)

// granting runs the grants machine. It belongs to the control goroutine.
type granting struct {
	loop    *Loop
	machine *grants.Machine
	limits  map[model.UpstreamID]Limits
	used    map[model.UpstreamID]grants.Usage
	// published is rebuilt with each round of reports, and then immutable.
	published map[model.UpstreamID]Connections
}

// Connections is the state of this instance's connections to an upstream.
type Connections struct {
	// Grant is the number that may be open.
	Grant int
	// Open counts those that are open or being opened, and Busy those of them
	// that serve a unit of work.
	Open, Busy int
	// Waiting counts the units that wait for one.
	Waiting int
}

// Limits are the bounds on the connections to an upstream.
type Limits struct {
	// Open is the number up to which more may be opened.
	Open int
	// Keep is the number beyond which some have to be closed.
	Keep int
}

func newGranting(loop *Loop) *granting {
	config := grants.DefaultConfig(loop.config.Self.ID)
	config.LeaseLifetime = loop.config.Failover.PermitLifetime
	config.Drift = loop.config.Failover.Drift + grantSlack
	return &granting{
		loop:    loop,
		machine: grants.New(config),
		limits:  make(map[model.UpstreamID]Limits),
		used:    make(map[model.UpstreamID]grants.Usage),
	}
}

// adopted follows a new configuration.
func (g *granting) adopted(current *bundle.Bundle) {
	var specs []grants.UpstreamCapacity
	limits := make(map[model.UpstreamID]Limits)
	for i := range current.Groups {
		for _, upstream := range current.Groups[i].Upstreams {
			specs = append(specs, grants.UpstreamCapacity{ID: upstream.ID, Connections: upstream.Connections, Reserve: reserve})
			limits[upstream.ID] = g.limits[upstream.ID]
		}
	}
	g.limits = limits
	maps.DeleteFunc(g.used, func(id model.UpstreamID, _ grants.Usage) bool {
		_, kept := limits[id]
		return !kept
	})
	g.handle(grants.UpstreamsAdopted{Upstreams: specs})
}

// confirmed follows a confirmation of the members.
func (g *granting) confirmed() {
	view := &g.loop.view
	event := grants.MembershipConfirmed{AskedAt: view.HeadConfirmedAt, Version: view.Head.MembersVersion}
	for _, member := range view.Head.Members {
		event.Members = append(event.Members, member.ID)
	}
	g.handle(event)
}

// tick reports the use of all upstreams. A report changes the limits of its
// own upstream only.
func (g *granting) tick() {
	g.handle(grants.Tick{})
	for id := range g.limits {
		used := g.loop.config.Pools.Usage(id)
		g.used[id] = used
		if len(g.loop.view.Members) <= warmMembers {
			used.Waiting = max(used.Waiting, 1)
		}
		g.limits[id] = Limits{Open: g.limits[id].Open, Keep: math.MaxInt}
		g.feed(used)
		g.limit(id)
	}
	g.publish()
}

// publish makes what snapshots show of the connections.
func (g *granting) publish() {
	published := make(map[model.UpstreamID]Connections, len(g.limits))
	for id, limits := range g.limits {
		used := g.used[id]
		published[id] = Connections{Grant: limits.Open, Open: used.Open, Busy: used.Busy, Waiting: used.Waiting}
	}
	g.published = published
}

// rooms returns what peers are told of the connections, ordered by upstream.
func (g *granting) rooms() []UpstreamLoad {
	var rooms []UpstreamLoad
	for id, connections := range g.published {
		if connections.Grant == 0 {
			continue
		}
		rooms = append(rooms, UpstreamLoad{
			Upstream: id,
			Free:     max(connections.Grant-connections.Busy, 0),
			Waiting:  connections.Waiting,
		})
	}
	slices.SortFunc(rooms, func(a, b UpstreamLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return rooms
}

// handle feeds the machine, carries out its actions and applies all limits.
func (g *granting) handle(event grants.Event) {
	g.feed(event)
	for id := range g.limits {
		g.limit(id)
	}
}

// feed feeds the machine and carries out its actions.
func (g *granting) feed(event grants.Event) {
	for _, action := range g.machine.Handle(g.loop.now(), event) {
		g.carryOut(action)
	}
}

// limit applies the limits of an upstream.
func (g *granting) limit(id model.UpstreamID) {
	limits := g.limits[id]
	limits.Open = g.machine.Limit(g.loop.now(), id)
	limits.Keep = max(limits.Keep, limits.Open)
	g.limits[id] = limits
	g.loop.config.Pools.SetLimits(id, limits.Open, limits.Keep)
}

func (g *granting) carryOut(action grants.Action) {
	l := g.loop
	switch a := action.(type) {
	case grants.ReadRow:
		l.tasks.Go(func() { l.readGrants(a) })
	case grants.WriteRow:
		l.tasks.Go(func() { l.writeGrants(a) })
	case grants.CloseConnections:
		g.limits[a.Upstream] = Limits{Keep: a.Keep}
	case grants.CountConnections:
		_, current := l.adoption.Active()
		l.tasks.Go(func() { l.countConnections(current, a) })
	case grants.HintPeer:
		l.config.Peers.HintGrant(a.To, a.Upstream)
	}
}

func (l *Loop) readGrants(order grants.ReadRow) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	asked := l.now()
	stored, err := l.config.Grants.Read(ctx, order.Upstream)
	l.post(grantInput{grants.RowRead{
		Upstream: order.Upstream, AskedAt: asked, Version: stored.Version, Row: stored.Row, Failed: err != nil,
	}})
}

func (l *Loop) writeGrants(order grants.WriteRow) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	opID := fmt.Sprintf("%s/grant/%d", l.config.Self.ID, order.Op)
	outcome, stored := l.config.Grants.Write(ctx, opID, order.Upstream, order.IfVersion, order.Row)
	l.post(grantInput{grants.RowWritten{
		Op: order.Op, Upstream: order.Upstream, Outcome: outcome, Version: stored.Version, Row: stored.Row,
	}})
}

// countConnections ends the connections of an instance that is gone, and
// counts what is left of them.
func (l *Loop) countConnections(current *bundle.Bundle, order grants.CountConnections) {
	counted := grants.ConnectionsCounted{Upstream: order.Upstream, Instance: order.Instance, AskedAt: l.now(), Failed: true}
	group, upstream, found := findUpstream(current, order.Upstream)
	if found {
		ctx, cancel := context.WithTimeout(l.ctx, l.config.ProbeTimeout)
		defer cancel()
		count, err := l.config.Upstreams.TerminateConnections(ctx, group, upstream, order.Instance)
		counted.Count = count
		counted.Failed = err != nil
	}
	l.post(grantInput{counted})
}

func findUpstream(current *bundle.Bundle, id model.UpstreamID) (*bundle.Group, *bundle.Upstream, bool) {
	for i := range current.Groups {
		if upstream, found := current.Groups[i].Upstream(id); found {
			return &current.Groups[i], upstream, true
		}
	}
	return nil, nil, false
}

// GrantHinted takes a peer's hint that an upstream's row has changed.
func (l *Loop) GrantHinted(upstream model.UpstreamID) {
	l.post(grantInput{grants.HintReceived{Upstream: upstream}})
}

// grantInput is an event of the grants machine.
type grantInput struct{ event grants.Event }

func (in grantInput) apply(l *Loop) { l.granting.handle(in.event) }
