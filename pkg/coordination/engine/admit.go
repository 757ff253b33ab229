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

// Admit counts s towards the rate of its caller, chooses the upstream and waits for a
// slot there, at most until the route's deadline. A first attempt that is refused
// does not count; whether a later one still counts depends on the earlier ones, which
// the path knows.
func (e *Engine) Admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	e.stats.admitted.Add(1)
	ticket, refused := e.admit(ctx, s)
	if refused != nil {
		e.stats.refused.Add(1)
		return nil, refused
	}
	return ticket, nil
}

// admit is Admit without the counters.
func (e *Engine) admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	snapshot := e.snapshot.Load()
	group, found := snapshot.Bundle.GroupOfDatabase(s.Database)
	if !found {
		return nil, verdict.New(verdict.UnknownDatabase, verdict.NotRun, "no group serves this database")
	}
	u := &unit{engine: e, statement: s, group: group, route: routeOf(snapshot.Bundle, group, s)}
	u.deadline = s.Arrived.Add(u.route.Deadline)
	var own traffic.RateCharge
	charge := s.Charge
	if charge == nil {
		charge = &own
	}
	if refused := e.chargeRate(s, charge); refused != nil {
		return nil, refused
	}
	ticket, refused := u.admitInTime(ctx)
	if refused != nil && s.Attempt == 0 {
		e.RefundRate(charge)
	}
	return ticket, refused
}

// admitInTime checks the retry budget, chooses the upstream and waits for a slot
// there, at most until the unit's deadline.
func (u *unit) admitInTime(ctx context.Context) (*traffic.Ticket, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	if refused := u.engine.checkRetryBudget(ctx, u.statement, u.deadline); refused != nil {
		return nil, refused
	}
	return u.admit(ctx)
}

// routeOf returns the route of a statement. A statement that no route matches is
// taken as one that may write and goes to the primary.
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

// admit chooses the upstream and waits for a slot there.
func (u *unit) admit(ctx context.Context) (*traffic.Ticket, *verdict.Error) {
	decision, refused := u.chooseUpstream(ctx)
	if refused != nil {
		return nil, refused
	}
	upstream, found := u.group.Upstream(decision.Upstream)
	if !found {
		return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the upstream was removed").WithRetryAfter(u.engine.retryDelay())
	}
	slot, refused := u.engine.slotQueue(upstream.ID).acquire(ctx, u)
	if refused != nil {
		return nil, refused
	}
	return &traffic.Ticket{
		ForwardTo:  u.forwardTo(upstream.ID),
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

// MaySend checks, immediately before sending, that t's upstream still accepts work
// of t's generation. The path may call it again for further statements of the unit.
func (e *Engine) MaySend(t *traffic.Ticket) *verdict.Error {
	// The unit is counted before the check: whoever has sealed the permit and
	// then reads a count of zero knows that all later checks fail.
	first := e.countWrite(t)
	refused := e.checkGeneration(e.snapshot.Load(), t)
	if refused != nil && first {
		e.uncountWrite(t)
	}
	return refused
}

// countWrite counts a unit on the primary as in flight unless it is counted
// already, and reports whether it did.
func (e *Engine) countWrite(t *traffic.Ticket) bool {
	if !t.Primary || t.CountedInFlight {
		return false
	}
	t.CountedInFlight = true
	e.writeCount(generationKey{t.Group.ID, t.Generation}).Add(1)
	return true
}

// uncountWrite undoes countWrite, if the unit is counted.
func (e *Engine) uncountWrite(t *traffic.Ticket) {
	if !t.CountedInFlight {
		return
	}
	t.CountedInFlight = false
	e.writeCount(generationKey{t.Group.ID, t.Generation}).Add(-1)
}

// checkGeneration returns an error unless t's generation is the current one and
// t's upstream may serve the unit in it.
func (e *Engine) checkGeneration(snapshot *control.Snapshot, t *traffic.Ticket) *verdict.Error {
	group, found := snapshot.View.Group(t.Group.ID)
	if !found || group.Generation != t.Generation {
		return verdict.New(verdict.NoPermit, verdict.NotRun, "the primary was replaced").WithRetryAfter(e.retryDelay())
	}
	if !t.Primary {
		return e.checkReplica(snapshot, t)
	}
	if group.Sealed || e.config.Clock.Now() >= group.PermitUntil {
		return verdict.New(verdict.NoPermit, verdict.NotRun, "no permit for the group's primary").WithRetryAfter(e.retryDelay())
	}
	return nil
}

// checkReplica returns an error unless t's replica is still in use.
func (e *Engine) checkReplica(snapshot *control.Snapshot, t *traffic.Ticket) *verdict.Error {
	group, found := snapshot.Routing.Group(t.Group.ID)
	if found && isReplicaUsable(group.Upstreams, t.Upstream.ID) {
		return nil
	}
	return verdict.New(verdict.NoUpstream, verdict.NotRun, "the replica is out of use").WithRetryAfter(e.retryDelay())
}

// ReleaseSlot frees the slot of t once the upstream has answered. The answer may
// still wait for the mark to be stored and for replicas; a home that does not
// answer must not occupy slots meanwhile.
func (e *Engine) ReleaseSlot(t *traffic.Ticket) {
	if t.Slot == noSlot {
		return
	}
	e.slotQueue(t.Upstream.ID).release(admission.UnitID(t.Slot))
	t.Slot = noSlot
}

// noSlot is Ticket.Slot after the slot was freed; IDs of units start at 1.
const noSlot = 0

// Done ends the unit of work and frees its slot.
func (e *Engine) Done(t *traffic.Ticket, r traffic.Result) {
	e.stats.done.Add(1)
	e.uncountWrite(t)
	e.ReleaseSlot(t)
	e.slotQueue(t.Upstream.ID).recordLatency(r)
}

// retryDelay returns the time after which a refused caller may retry: between one
// and two times minRetryDelay, at random, so that callers do not retry together.
func (e *Engine) retryDelay() time.Duration {
	return minRetryDelay + time.Duration(e.config.Random()%uint64(minRetryDelay))
}

const minRetryDelay = 100 * time.Millisecond

// marksKey identifies the session's marks in the unit's group.
func (u *unit) marksKey() marksKey { return marksKey{Session: u.statement.Session, Group: u.group.ID} }

// slotQueue returns the slotQueue of an upstream. One that is created here has
// one slot until the next resizeQueues.
func (e *Engine) slotQueue(id model.UpstreamID) *slotQueue {
	e.mu.RLock()
	found, exists := e.slotQueues[id]
	e.mu.RUnlock()
	if exists {
		return found
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, exists = e.slotQueues[id]; !exists {
		found = newSlotQueue(e, 1)
		e.slotQueues[id] = found
	}
	return found
}

// forwardTo returns the peer to forward the unit to, or "" if it runs on a
// connection of this instance. A unit is forwarded only if this instance has
// neither an open connection to the upstream nor a grant for one.
func (u *unit) forwardTo(upstream model.UpstreamID) model.InstanceID {
	snapshot := u.engine.snapshot.Load()
	own := snapshot.Connections[upstream]
	if own.Grant > 0 || own.Open > 0 {
		return ""
	}
	peers := snapshot.PeerLoads(upstream)
	peer, found := grants.ChoosePeer(peers, snapshot.Routing.DataCentre, false, u.engine.config.Random())
	if found {
		u.engine.stats.forwarded.Add(1)
	}
	return peer
}
