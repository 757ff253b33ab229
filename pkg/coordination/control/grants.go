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

// Limits and intervals of the grants.
const (
	// reservedConnections is the number of an upstream's connections that are
	// granted to no instance: they are kept for probes, one for each instance,
	// and for promotion.
	reservedConnections = 5
	// maxWarmMembers is the number of members up to which each instance keeps
	// connections to all upstreams even without traffic.
	maxWarmMembers = 8
	// usageReportInterval is the time between two reports of use to the grants
	// machine.
	usageReportInterval = 100 * time.Millisecond
	// grantSlack is added to the clock drift. It covers the time from a
	// decision of the grants machine to its effect: one reporting interval, and
	// a login in progress.
	grantSlack = 3500 * time.Millisecond
)

// grantRunner runs the grants machine, which divides the connections of
// upstreams among the instances. It is used by the control goroutine only.
type grantRunner struct {
	loop    *Loop
	machine *grants.Machine
	limits  map[model.UpstreamID]Limits
	usage   map[model.UpstreamID]grants.Usage
	// published is replaced at each report of use, and not modified afterwards.
	published map[model.UpstreamID]Connections
}

// Connections is the use of this instance's connections to an upstream.
type Connections struct {
	// Grant is the number of connections that may be open.
	Grant int
	// Open counts connections that are open or being opened, and Busy those of
	// them that serve a unit of work.
	Open, Busy int
	// Waiting counts units of work that wait for a connection.
	Waiting int
}

// Limits are the limits on the connections to an upstream.
type Limits struct {
	// Open is the number below which new connections may be opened.
	Open int
	// Keep is the number beyond which connections are closed.
	Keep int
}

func newGrantRunner(loop *Loop) *grantRunner {
	config := grants.DefaultConfig(loop.config.Self.ID)
	config.LeaseLifetime = loop.config.Failover.PermitLifetime
	config.Drift = loop.config.Failover.Drift + grantSlack
	return &grantRunner{
		loop:    loop,
		machine: grants.New(config),
		limits:  make(map[model.UpstreamID]Limits),
		usage:   make(map[model.UpstreamID]grants.Usage),
	}
}

// setBundle passes the upstreams of a new configuration to the grants machine.
func (g *grantRunner) setBundle(current *bundle.Bundle) {
	var specs []grants.UpstreamCapacity
	limits := make(map[model.UpstreamID]Limits)
	for i := range current.Groups {
		for _, upstream := range current.Groups[i].Upstreams {
			specs = append(specs, grants.UpstreamCapacity{ID: upstream.ID, Connections: upstream.Connections, Reserve: reservedConnections})
			limits[upstream.ID] = g.limits[upstream.ID]
		}
	}
	g.limits = limits
	maps.DeleteFunc(g.usage, func(id model.UpstreamID, _ grants.Usage) bool {
		_, kept := limits[id]
		return !kept
	})
	g.handle(grants.UpstreamsAdopted{Upstreams: specs})
}

// membershipConfirmed tells the grants machine of a read of the head row that
// confirmed the members.
func (g *grantRunner) membershipConfirmed() {
	view := &g.loop.view
	event := grants.MembershipConfirmed{AskedAt: view.HeadConfirmedAt, Version: view.Head.MembersVersion}
	for _, member := range view.Head.Members {
		event.Members = append(event.Members, member.ID)
	}
	g.handle(event)
}

// reportUsage reports the use of all upstreams to the grants machine. Each
// report changes only the limits of its own upstream. In a region of up to
// maxWarmMembers members at least one waiting unit is reported, so that every
// instance keeps connections.
func (g *grantRunner) reportUsage() {
	g.handle(grants.Tick{})
	for id := range g.limits {
		used := g.loop.config.Pools.Usage(id)
		g.usage[id] = used
		if len(g.loop.view.Members) <= maxWarmMembers {
			used.Waiting = max(used.Waiting, 1)
		}
		g.limits[id] = Limits{Open: g.limits[id].Open, Keep: math.MaxInt}
		g.step(used)
		g.applyLimits(id)
	}
	g.publish()
}

// publish rebuilds the part of snapshots that shows the connections.
func (g *grantRunner) publish() {
	published := make(map[model.UpstreamID]Connections, len(g.limits))
	for id, limits := range g.limits {
		used := g.usage[id]
		published[id] = Connections{Grant: limits.Open, Open: used.Open, Busy: used.Busy, Waiting: used.Waiting}
	}
	g.published = published
}

// upstreamLoads returns the part of the status that shows the connections,
// ordered by upstream.
func (g *grantRunner) upstreamLoads() []UpstreamLoad {
	var loads []UpstreamLoad
	for id, connections := range g.published {
		if connections.Grant == 0 {
			continue
		}
		loads = append(loads, UpstreamLoad{
			Upstream: id,
			Free:     max(connections.Grant-connections.Busy, 0),
			Waiting:  connections.Waiting,
		})
	}
	slices.SortFunc(loads, func(a, b UpstreamLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return loads
}

// handle passes an event to the grants machine, executes its actions, and
// applies the limits of all upstreams.
func (g *grantRunner) handle(event grants.Event) {
	g.step(event)
	for id := range g.limits {
		g.applyLimits(id)
	}
}

// step passes an event to the grants machine and executes its actions.
func (g *grantRunner) step(event grants.Event) {
	for _, action := range g.machine.Handle(g.loop.now(), event) {
		g.execute(action)
	}
}

// applyLimits passes the limits of an upstream to the pools.
func (g *grantRunner) applyLimits(id model.UpstreamID) {
	limits := g.limits[id]
	limits.Open = g.machine.Limit(g.loop.now(), id)
	limits.Keep = max(limits.Keep, limits.Open)
	g.limits[id] = limits
	g.loop.config.Pools.SetLimits(id, limits.Open, limits.Keep)
}

func (g *grantRunner) execute(action grants.Action) {
	l := g.loop
	switch a := action.(type) {
	case grants.ReadRow:
		l.tasks.Go(func() { l.readGrantRow(a) })
	case grants.WriteRow:
		l.tasks.Go(func() { l.writeGrantRow(a) })
	case grants.CloseConnections:
		g.limits[a.Upstream] = Limits{Keep: a.Keep}
	case grants.CountConnections:
		_, current := l.adoption.Active()
		l.tasks.Go(func() { l.terminateConnections(current, a) })
	case grants.HintPeer:
		l.config.Peers.HintGrant(a.To, a.Upstream)
	}
}

func (l *Loop) readGrantRow(order grants.ReadRow) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	asked := l.now()
	stored, err := l.config.Grants.Read(ctx, order.Upstream)
	l.post(grantInput{grants.RowRead{
		Upstream: order.Upstream, AskedAt: asked, Version: stored.Version, Row: stored.Row, Failed: err != nil,
	}})
}

func (l *Loop) writeGrantRow(order grants.WriteRow) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	opID := fmt.Sprintf("%s/grant/%d", l.config.Self.ID, order.Op)
	outcome, stored := l.config.Grants.Write(ctx, opID, order.Upstream, order.IfVersion, order.Row)
	l.post(grantInput{grants.RowWritten{
		Op: order.Op, Upstream: order.Upstream, Outcome: outcome, Version: stored.Version, Row: stored.Row,
	}})
}

// terminateConnections ends the connections of an instance that was removed,
// and reports how many are left.
func (l *Loop) terminateConnections(current *bundle.Bundle, order grants.CountConnections) {
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

// GrantHinted processes a peer's hint that an upstream's grant row has changed.
func (l *Loop) GrantHinted(upstream model.UpstreamID) {
	l.post(grantInput{grants.HintReceived{Upstream: upstream}})
}

// grantInput passes an event to the grants machine.
type grantInput struct{ event grants.Event }

func (in grantInput) apply(l *Loop) { l.grants.handle(in.event) }
