package engine

import (
	"context"
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Admit picks the upstream for s and waits for a slot, within the route's
// deadline.
func (e *Engine) Admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	e.stats.admitted.Add(1)
	ticket, refused := e.admit(ctx, s)
	if refused != nil {
		e.stats.refused.Add(1)
		return nil, refused
	}
	return ticket, nil
}

func (e *Engine) admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	snapshot := e.snapshot.Load()
	group, found := snapshot.Bundle.GroupOfDatabase(s.Database)
	if !found {
		return nil, verdict.New(verdict.UnknownDatabase, verdict.NotRun, "no group serves this database")
	}
	u := &unit{engine: e, statement: s, group: group, route: routeOf(snapshot.Bundle, group, s)}
	u.deadline = s.Arrived.Add(u.route.Deadline)
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	if refused := e.mayTry(ctx, s, u.deadline); refused != nil {
		return nil, refused
	}
	return u.admit(ctx)
}

// routeOf returns the route of a statement. One that no route matches may
// write, and goes to the primary.
func routeOf(current *bundle.Bundle, group *bundle.Group, s traffic.Statement) *bundle.Route {
	if route, found := current.RouteFor(group.ID, s.Tag, s.Caller); found {
		return route
	}
	return &bundle.Route{Group: group.ID, Deadline: bundle.DefaultDeadline}
}

// unit is a unit of work on its way to an upstream.
type unit struct {
	engine    *Engine
	statement traffic.Statement
	group     *bundle.Group
	route     *bundle.Route
	deadline  time.Time
}

func (u *unit) admit(ctx context.Context) (*traffic.Ticket, *verdict.Error) {
	decision, refused := u.decide(ctx)
	if refused != nil {
		return nil, refused
	}
	upstream, found := u.group.Upstream(decision.Upstream)
	if !found {
		return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the upstream was removed").WithRetryAfter(u.engine.advice())
	}
	slot, refused := u.engine.lane(upstream.ID).enter(ctx, u)
	if refused != nil {
		return nil, refused
	}
	return &traffic.Ticket{
		ForwardTo:  u.via(upstream.ID),
		Slot:       uint64(slot),
		Statement:  u.statement,
		Group:      u.group,
		Route:      u.route,
		Upstream:   upstream,
		Generation: decision.Generation,
		Primary:    decision.Primary,
		Deadline:   u.deadline,
	}, nil
}

// MaySend checks immediately before sending that t's generation still takes
// work.
func (e *Engine) MaySend(t *traffic.Ticket) *verdict.Error {
	// Counted before the check, so that a drain that sees zero is sure that
	// later checks fail.
	first := e.count(t)
	refused := e.mayWork(e.snapshot.Load(), t)
	if refused != nil && first {
		e.uncount(t)
	}
	return refused
}

// count counts a unit on the primary as in flight, once, and reports whether
// it did.
func (e *Engine) count(t *traffic.Ticket) bool {
	if !t.Primary || t.CountedInFlight {
		return false
	}
	t.CountedInFlight = true
	e.writeCount(generation{t.Group.ID, t.Generation}).Add(1)
	return true
}

func (e *Engine) uncount(t *traffic.Ticket) {
	if !t.CountedInFlight {
		return
	}
	t.CountedInFlight = false
	e.writeCount(generation{t.Group.ID, t.Generation}).Add(-1)
}

// mayWork reports whether t's upstream still has its part in t's generation.
func (e *Engine) mayWork(snapshot *control.Snapshot, t *traffic.Ticket) *verdict.Error {
	group, found := snapshot.View.Group(t.Group.ID)
	if !found || group.Generation != t.Generation {
		return verdict.New(verdict.NoPermit, verdict.NotRun, "the primary was replaced").WithRetryAfter(e.advice())
	}
	if !t.Primary {
		return e.mayRead(snapshot, t)
	}
	if group.Sealed || e.config.Clock.Now() >= group.PermitUntil {
		return verdict.New(verdict.NoPermit, verdict.NotRun, "no permit for the group's primary").WithRetryAfter(e.advice())
	}
	return nil
}

// mayRead reports whether t's replica is still in use.
func (e *Engine) mayRead(snapshot *control.Snapshot, t *traffic.Ticket) *verdict.Error {
	group, found := snapshot.Routing.Group(t.Group.ID)
	if found && isUsable(group.Upstreams, t.Upstream.ID) {
		return nil
	}
	return verdict.New(verdict.NoUpstream, verdict.NotRun, "the replica is out of use").WithRetryAfter(e.advice())
}

// ReleaseSlot gives back the slot of t while its answer waits for the marks and
// the replicas, so that a home that does not answer takes no slots.
func (e *Engine) ReleaseSlot(t *traffic.Ticket) {
	if t.Slot == noSlot {
		return
	}
	e.lane(t.Upstream.ID).leave(admission.UnitID(t.Slot))
	t.Slot = noSlot
}

// noSlot marks a ticket whose slot was given back.
const noSlot = 0

// Done gives back the slot of t.
func (e *Engine) Done(t *traffic.Ticket, r traffic.Result) {
	e.stats.done.Add(1)
	e.uncount(t)
	e.ReleaseSlot(t)
	e.lane(t.Upstream.ID).note(r)
}

// advice returns when a refused caller may come back, spread out so that
// callers do not return together.
func (e *Engine) advice() time.Duration {
	return retryAfter + time.Duration(e.config.Random()%uint64(retryAfter))
}

const retryAfter = 100 * time.Millisecond

// key names the session's marks in the unit's group.
func (u *unit) key() marksKey { return marksKey{Session: u.statement.Session, Group: u.group.ID} }

// lane returns the lane of an upstream.
func (e *Engine) lane(id model.UpstreamID) *lane {
	e.mu.RLock()
	found, exists := e.lanes[id]
	e.mu.RUnlock()
	if exists {
		return found
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, exists = e.lanes[id]; !exists {
		found = newLane(e, 1)
		e.lanes[id] = found
	}
	return found
}

// via names the instance whose connection the unit uses, or "" for one of this
// instance. A unit is forwarded only where this instance has no connection.
func (u *unit) via(upstream model.UpstreamID) model.InstanceID {
	snapshot := u.engine.snapshot.Load()
	own := snapshot.Connections[upstream]
	if own.Grant > 0 || own.Open > 0 {
		return ""
	}
	rooms := snapshot.PeerLoads(upstream)
	peer, found := grants.ChoosePeer(rooms, snapshot.Routing.DataCentre, false, u.engine.config.Random())
	if found {
		u.engine.stats.forwarded.Add(1)
	}
	return peer
}
