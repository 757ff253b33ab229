package control

import (
	"context"
	"fmt"
	"math"
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
	config.Lifetime = loop.config.Failover.PermitLifetime
	config.Drift = loop.config.Failover.Drift + grantSlack
	return &granting{loop: loop, machine: grants.New(config), limits: make(map[model.UpstreamID]Limits)}
}

// adopted follows a new configuration.
func (g *granting) adopted(current *bundle.Bundle) {
	var specs []grants.Spec
	limits := make(map[model.UpstreamID]Limits)
	for i := range current.Groups {
		for _, upstream := range current.Groups[i].Upstreams {
			specs = append(specs, grants.Spec{ID: upstream.ID, Connections: upstream.Connections, Reserve: reserve})
			limits[upstream.ID] = g.limits[upstream.ID]
		}
	}
	g.limits = limits
	g.handle(grants.UpstreamsAdopted{Upstreams: specs})
}

// confirmed follows a confirmation of the members.
func (g *granting) confirmed() {
	view := &g.loop.view
	event := grants.Confirmed{AskedAt: view.ConfirmedFrom, Version: view.Head.MembersVersion}
	for _, member := range view.Head.Members {
		event.Members = append(event.Members, member.ID)
	}
	g.handle(event)
}

// tick reports the use of all upstreams.
func (g *granting) tick() {
	g.handle(grants.Tick{})
	for id := range g.limits {
		used := g.loop.config.Pools.Use(id)
		if len(g.loop.view.Members) <= warmMembers {
			used.Waiting = max(used.Waiting, 1)
		}
		g.limits[id] = Limits{Open: g.limits[id].Open, Keep: math.MaxInt}
		g.handle(used)
	}
}

// handle feeds the machine, carries out its actions and applies the limits.
func (g *granting) handle(event grants.Event) {
	for _, action := range g.machine.Handle(g.loop.now(), event) {
		g.carryOut(action)
	}
	now := g.loop.now()
	for id, limits := range g.limits {
		limits.Open = g.machine.Limit(now, id)
		limits.Keep = max(limits.Keep, limits.Open)
		g.limits[id] = limits
		g.loop.config.Pools.SetLimits(id, limits.Open, limits.Keep)
	}
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
		_, current := l.adoption.InForce()
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
	counted := grants.Counted{Upstream: order.Upstream, Instance: order.Instance, AskedAt: l.now(), Failed: true}
	group, upstream, found := findUpstream(current, order.Upstream)
	if found {
		ctx, cancel := context.WithTimeout(l.ctx, l.config.ProbeTimeout)
		defer cancel()
		count, err := l.config.Upstreams.CountOf(ctx, group, upstream, order.Instance)
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
	l.post(grantInput{grants.Hinted{Upstream: upstream}})
}

// grantInput is an event of the grants machine.
type grantInput struct{ event grants.Event }

func (in grantInput) apply(l *Loop) { l.granting.handle(in.event) }

// open returns the number of connections that may be open to each upstream.
func (g *granting) open() map[model.UpstreamID]int {
	open := make(map[model.UpstreamID]int, len(g.limits))
	for id, limits := range g.limits {
		open[id] = limits.Open
	}
	return open
}
