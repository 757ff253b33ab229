// Package dispatcher connects the statement path of a hosted instance with its
// control state. For each group it runs the state machine of package dispatch
// under a lock, delivers its placements to the goroutines that wait for them,
// and checks permits.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	Clock region.Clock
	// Home is the data centre of this instance.
	Home model.DataCentre
	// UseTopology is called whenever the topology changes.
	UseTopology func(Topology)
	// Self is the ID of this instance. If it is empty, the servers of a group do
	// not share the slots of its upstreams by load.
	Self model.InstanceID
	// Logger may be nil.
	Logger *slog.Logger
}

// Dispatcher implements region.Traffic for the control state, and places units of
// work for the statement path. It is safe for concurrent use.
type Dispatcher struct {
	config   Config
	snapshot atomic.Pointer[region.Snapshot]
	loads    *loads

	mu     sync.Mutex
	groups map[model.GroupID]*group
}

// group is the dispatch state of one group. mu guards all of it.
type group struct {
	mu        sync.Mutex
	decisions *dispatch.Group
	waiters   map[*dispatch.Unit]chan dispatch.Decision
	health    region.PassiveHealth
	// inFlight is the number of units placed on the primary, by generation.
	inFlight map[model.Generation]int
}

var _ region.Traffic = (*Dispatcher)(nil)

// New returns a dispatcher without groups.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config, loads: newLoads(), groups: make(map[model.GroupID]*group)}
	d.snapshot.Store(&region.Snapshot{Catalog: &catalog.Catalog{}})
	return d
}

// Now returns the time of the clock that decisions are based on.
func (d *Dispatcher) Now() time.Duration { return d.config.Clock.Now() }

// Catalog returns the active configuration.
func (d *Dispatcher) Catalog() *catalog.Catalog { return d.snapshot.Load().Catalog }

// group returns the state of a group, and creates it on first use.
func (d *Dispatcher) group(id model.GroupID) *group {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[id]
	if g == nil {
		g = &group{
			decisions: dispatch.NewGroup(d.config.Home),
			waiters:   make(map[*dispatch.Unit]chan dispatch.Decision),
			inFlight:  make(map[model.Generation]int),
		}
		d.groups[id] = g
	}
	return g
}

// Publish makes snapshot the current one, and places the waiting units that can
// now run.
func (d *Dispatcher) Publish(snapshot *region.Snapshot) {
	previous := d.snapshot.Swap(snapshot)
	changed := previous.TopologyVersion != snapshot.TopologyVersion
	if changed {
		d.config.UseTopology(topology(snapshot))
		d.loads.setUpstreams(sharedUpstreams(snapshot, d.config.Self))
	}
	for id, served := range snapshot.Serving {
		if !served.Local && !changed {
			continue
		}
		d.publishGroup(snapshot, id, served, changed)
	}
}

// publishGroup updates the dispatch state of one group.
func (d *Dispatcher) publishGroup(snapshot *region.Snapshot, id model.GroupID, served region.Serving, changed bool) {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if changed {
		specs := upstreamSpecs(snapshot, id, served)
		g.decisions.SetUpstreams(specs)
		for _, spec := range specs {
			g.decisions.LimitOutstanding(spec.ID, d.loads.limit(d.Now(), spec.ID))
		}
	}
	g.decisions.SetLeadership(leadership(snapshot, id))
	g.deliverDecisions(d.Now())
	d.logAvoidances(id, g.decisions.TakeAvoidances())
}

// Serves reports whether this instance places the units of a group itself.
func (d *Dispatcher) Serves(id model.GroupID) bool {
	return d.snapshot.Load().Serving[id].Local
}

// leadership returns the state of a group's primary and permit in the snapshot.
func leadership(snapshot *region.Snapshot, id model.GroupID) dispatch.Leadership {
	state, found := snapshot.View.Group(id)
	if !found {
		return dispatch.Leadership{ExpectedAt: snapshot.WritesExpectedAt[id]}
	}
	return dispatch.Leadership{
		Generation:  state.Generation,
		Primary:     state.Primary,
		PermitUntil: state.PermitUntil,
		Sealed:      state.Sealed,
		ExpectedAt:  snapshot.WritesExpectedAt[id],
		Term:        state.Timeline,
		StartLSN:    state.StartLSN,
	}
}

// PassiveHealth returns the state of a group's upstreams as observed from
// callers' statements.
func (d *Dispatcher) PassiveHealth(id model.GroupID) region.PassiveHealth {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	health := g.health
	health.Suspects = g.decisions.Suspects(d.Now())
	health.Refusing = g.decisions.RefusingConnections()
	return health
}

// ProbeAnswered records that an upstream has answered a probe.
func (d *Dispatcher) ProbeAnswered(id model.GroupID, upstream model.UpstreamID) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.ProbeAnswered(now, upstream) })
}

// WritesInFlight returns the number of units placed on the primary of the
// generation.
func (d *Dispatcher) WritesInFlight(id model.GroupID, generation model.Generation) int {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[generation]
}

// Acquire waits until the unit is placed or refused, at most until its deadline
// or the end of ctx. The caller must call Release for a placement.
func (d *Dispatcher) Acquire(ctx context.Context, id model.GroupID, unit *dispatch.Unit) (*dispatch.Placement, *dispatch.Refusal) {
	g := d.group(id)
	g.mu.Lock()
	placement, refusal := g.decisions.Submit(d.Now(), unit)
	if placement != nil {
		g.countInFlight(placement, 1)
	}
	if placement != nil || refusal != nil {
		g.mu.Unlock()
		return placement, refusal
	}
	waiter := make(chan dispatch.Decision, 1)
	g.waiters[unit] = waiter
	g.mu.Unlock()
	timer := time.NewTimer(unit.Deadline - d.Now())
	defer timer.Stop()
	select {
	case decision := <-waiter:
		return decision.Placement, decision.Refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.cancelWait(g, unit, waiter)
}

// cancelWait ends the wait of a unit. If a decision was made in the meantime, it
// returns that one, which may be a placement.
func (d *Dispatcher) cancelWait(g *group, unit *dispatch.Unit, waiter chan dispatch.Decision) (*dispatch.Placement, *dispatch.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, unit)
	if g.decisions.Cancel(unit) {
		return nil, &dispatch.Refusal{Reason: dispatch.RefusedQueueTooLong}
	}
	decision := <-waiter
	return decision.Placement, decision.Refusal
}

// deliverDecisions decides the waiting units that can be decided now and wakes
// their goroutines. g.mu must be held.
func (g *group) deliverDecisions(now time.Duration) {
	if g.decisions.Waiting() == 0 {
		return
	}
	for _, decision := range g.decisions.DecideWaiting(now) {
		waiter := g.waiters[decision.Unit]
		delete(g.waiters, decision.Unit)
		if decision.Placement != nil {
			g.countInFlight(decision.Placement, 1)
		}
		waiter <- decision
	}
}

// countInFlight adds change to the number of units in flight if the placement is
// on the primary. g.mu must be held.
func (g *group) countInFlight(placement *dispatch.Placement, change int) {
	if !placement.Primary {
		return
	}
	g.inFlight[placement.Generation] += change
	if g.inFlight[placement.Generation] <= 0 {
		delete(g.inFlight, placement.Generation)
	}
}

// update applies a change to the group's state and delivers the decisions that
// result from it.
func (d *Dispatcher) update(id model.GroupID, change func(now time.Duration, g *group)) {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := d.Now()
	change(now, g)
	g.deliverDecisions(now)
	d.logAvoidances(id, g.decisions.TakeAvoidances())
}

// Release ends a placement and frees its connection for other units.
func (d *Dispatcher) Release(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) {
		g.decisions.Release(now, placement)
		g.countInFlight(placement, -1)
	})
}

// Sent records that a statement was sent and is outstanding.
func (d *Dispatcher) Sent(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.Sent(now, placement) })
}

// Answer describes an upstream's answer to a statement.
type Answer struct {
	// Route is the name of the statement's route.
	Route  string
	SentAt time.Duration
	// Position is the upstream's log position that came with the answer.
	Position model.Position
	// Fault says how the upstream failed the statement, if it did.
	Fault dispatch.Fault
}

// Answered records the answer to a statement, with its latency and log position.
// A primary's position counts only if the statement was sent under its permit.
func (d *Dispatcher) Answered(id model.GroupID, placement *dispatch.Placement, answer Answer) {
	d.update(id, func(now time.Duration, g *group) {
		if answer.Fault == dispatch.FaultNone {
			g.decisions.Answered(now, placement, answer.Route, now-answer.SentAt)
		} else if g.decisions.AnswerFailed(now, placement, answer.Route, now-answer.SentAt, answer.Fault) {
			telemetry.UpstreamFaults.With(string(placement.Upstream)).Inc()
		}
		if !placement.Primary {
			g.decisions.Freshness().AddReplicaSample(placement.Upstream, answer.SentAt, answer.Position)
			return
		}
		current := g.decisions.Leadership()
		if current.Generation != placement.Generation || answer.SentAt >= current.PermitUntil {
			return
		}
		g.decisions.Freshness().AddPrimarySample(answer.SentAt, answer.Position)
		g.health = region.PassiveHealth{
			Primary: placement.Upstream, Generation: placement.Generation,
			SentAt: answer.SentAt, LSN: answer.Position.LSN,
		}
	})
}

// Abandoned records that there was no answer to a statement in time, which counts
// as a fault of the upstream.
func (d *Dispatcher) Abandoned(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.AnswerMissed(now, placement) })
}

// ConnectionLost records that a statement's connection failed before the answer.
func (d *Dispatcher) ConnectionLost(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.ConnectionLost(now, placement) })
}

// ConnectFailed records that a connection could not be opened or has ended.
func (d *Dispatcher) ConnectFailed(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.ConnectFailed(now, placement.Upstream) })
}

// Connected records that a connection was opened.
func (d *Dispatcher) Connected(id model.GroupID, placement *dispatch.Placement) {
	d.update(id, func(now time.Duration, g *group) {
		g.decisions.Connected(now, placement.Upstream)
		g.decisions.Opened(placement, now-placement.PlacedAt)
	})
}

// ConnectRefused records that an upstream refused a connection.
func (d *Dispatcher) ConnectRefused(id model.GroupID, placement *dispatch.Placement, refused dispatch.ConnectRefusal) {
	d.update(id, func(now time.Duration, g *group) { g.decisions.ConnectRefused(now, placement.Upstream, refused) })
}

// AnswerTimeout returns the time after which an outstanding answer to a
// statement of the route is taken as lost.
func (d *Dispatcher) AnswerTimeout(id model.GroupID, route string) time.Duration {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decisions.AnswerTimeout(route)
}

// MaySend reports whether statements may still be sent to the primary of the
// placement: its permit is valid and not sealed, and it was not replaced.
func (d *Dispatcher) MaySend(id model.GroupID, placement *dispatch.Placement) bool {
	state, found := d.snapshot.Load().View.Group(id)
	return found && !state.Sealed && state.Generation == placement.Generation && d.Now() < state.PermitUntil
}

// MayAcknowledge reports whether an answer of the placement's primary may go to
// the caller. While the permit of its generation is valid, no other primary can
// have started. A seal prevents new work only, not acknowledgements.
func (d *Dispatcher) MayAcknowledge(id model.GroupID, placement *dispatch.Placement) bool {
	state, found := d.snapshot.Load().View.Group(id)
	return found && state.Generation == placement.Generation && d.Now() < state.PermitUntil
}

// SurvivedFailover reports whether the log of the current term contains a
// position of an older term.
func (d *Dispatcher) SurvivedFailover(id model.GroupID, position model.Position) bool {
	state, found := d.snapshot.Load().View.Group(id)
	if !found || position.Term >= state.Timeline {
		return true
	}
	return position.LSN <= state.StartLSN
}

// Leadership returns the newest known state of a group's primary and permit.
func (d *Dispatcher) Leadership(id model.GroupID) dispatch.Leadership {
	return leadership(d.snapshot.Load(), id)
}
