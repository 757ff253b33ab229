// Package dispatcher is the seam between the path of statements and the
// control state of a hosted instance: it keeps the decisions of package
// dispatch for each group, hands placements to the goroutines that wait for
// them, and checks permits.
package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/lending"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// borrowedUnits bounds the units of this instance on connections of others to
// one upstream.
const borrowedUnits = 3

// Config is what a Dispatcher needs.
type Config struct {
	Clock region.Clock
	// Home is the data centre of this instance.
	Home model.DataCentre
	// Self is this instance.
	Self model.InstanceID
	// UseUpstreams is told of the upstreams in use, and how they are reached,
	// whenever that changes.
	UseUpstreams func(map[model.UpstreamID]catalog.Upstream, map[model.UpstreamID]lending.Plan)
}

// Dispatcher implements region.Traffic. It is safe for concurrent use.
type Dispatcher struct {
	config   Config
	snapshot atomic.Pointer[region.Snapshot]

	mu     sync.Mutex
	groups map[model.GroupID]*group
}

// group guards the decisions of one group.
type group struct {
	mu      sync.Mutex
	decides *dispatch.Group
	waiters map[*dispatch.Unit]chan dispatch.Decision
	sign    region.PassiveHealth
	// inFlight counts the units at the primary by generation.
	inFlight map[model.Generation]int
}

var _ region.Traffic = (*Dispatcher)(nil)

// New returns a dispatcher without groups.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config, groups: make(map[model.GroupID]*group)}
	d.snapshot.Store(&region.Snapshot{Catalog: &catalog.Catalog{}})
	return d
}

// Now returns the time of the decisions.
func (d *Dispatcher) Now() time.Duration { return d.config.Clock.Now() }

// Catalog returns the configuration in force.
func (d *Dispatcher) Catalog() *catalog.Catalog { return d.snapshot.Load().Catalog }

// group returns the record of a group, made on first use.
func (d *Dispatcher) group(id model.GroupID) *group {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.groups[id]
	if known == nil {
		known = &group{
			decides:  dispatch.NewGroup(d.config.Home),
			waiters:  make(map[*dispatch.Unit]chan dispatch.Decision),
			inFlight: make(map[model.Generation]int),
		}
		d.groups[id] = known
	}
	return known
}

// Publish puts a snapshot in force. Units that wait and can run are placed.
func (d *Dispatcher) Publish(snapshot *region.Snapshot) {
	before := d.snapshot.Swap(snapshot)
	changed := before.InstanceCount != snapshot.InstanceCount || before.Catalog != snapshot.Catalog ||
		!maps.Equal(before.Upstreams, snapshot.Upstreams) || !slices.Equal(serving(before), serving(snapshot))
	var plans map[model.UpstreamID]lending.Plan
	if changed {
		plans = d.plans(snapshot)
		d.config.UseUpstreams(snapshot.Upstreams, plans)
	}
	for _, configured := range snapshot.Catalog.RoutedGroups() {
		known := d.group(configured.ID)
		known.mu.Lock()
		if changed {
			known.decides.SetUpstreams(specs(snapshot, &configured, plans))
		}
		known.decides.SetLeadership(leadership(snapshot, configured.ID))
		known.settle(d.Now())
		known.mu.Unlock()
	}
}

// serving returns the instances that are known to serve.
func serving(snapshot *region.Snapshot) []model.Member {
	var present []model.Member
	for _, member := range snapshot.View.Members {
		if member.State == members.Live && !member.Member.Leaving && member.Member.Evicted == 0 {
			present = append(present, member.Member)
		}
	}
	return present
}

// plans returns how this instance reaches each upstream.
func (d *Dispatcher) plans(snapshot *region.Snapshot) map[model.UpstreamID]lending.Plan {
	present := serving(snapshot)
	plans := make(map[model.UpstreamID]lending.Plan, len(snapshot.Upstreams))
	for id, upstream := range snapshot.Upstreams {
		configured, found := snapshot.Catalog.Group(upstream.Group)
		if !found {
			continue
		}
		plans[id] = lending.NewPlan(d.config.Self, lending.Upstream{
			ID: id, DataCentre: upstream.DataCentre, MaxConnections: configured.MaxConnections,
		}, snapshot.InstanceCount, present)
	}
	return plans
}

func specs(
	snapshot *region.Snapshot, configured *catalog.Group, plans map[model.UpstreamID]lending.Plan,
) []dispatch.UpstreamSpec {
	var made []dispatch.UpstreamSpec
	for _, upstream := range snapshot.Upstreams {
		if upstream.Group != configured.ID || upstream.Address == "" {
			continue
		}
		made = append(made, dispatch.UpstreamSpec{
			ID:             upstream.ID,
			DataCentre:     upstream.DataCentre,
			Slots:          upstream.Slots,
			MaxConnections: unitLimit(plans[upstream.ID]),
			MaxOutstanding: statementWindow(upstream.Slots, snapshot.InstanceCount),
			Draining:       upstream.Draining,
		})
	}
	return made
}

// unitLimit returns the number of units that this instance may have at an
// upstream.
func unitLimit(plan lending.Plan) int {
	if plan.Borrows() {
		return borrowedUnits
	}
	return plan.OwnConnections
}

// statementWindow returns the number of statements that one of the instances
// sends to an upstream at once: about twice its slots over all, so that a slot
// does not wait for the way of the next statement, and one more for an
// instance that has more than its share of the callers.
func statementWindow(slots, instances int) int {
	return (2*slots+instances-1)/instances + 1
}

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

// PassiveHealth returns what was seen of a group's upstreams.
func (d *Dispatcher) PassiveHealth(id model.GroupID) region.PassiveHealth {
	known := d.group(id)
	known.mu.Lock()
	defer known.mu.Unlock()
	sign := known.sign
	sign.Suspects = known.decides.Suspects(d.Now())
	sign.Refusing = known.decides.RefusingConnections()
	return sign
}

// ProbeAnswered says that an upstream has answered a probe.
func (d *Dispatcher) ProbeAnswered(id model.GroupID, upstream model.UpstreamID) {
	d.with(id, func(now time.Duration, g *group) { g.decides.ProbeAnswered(now, upstream) })
}

// WritesInFlight returns the number of units at the primary of the generation.
func (d *Dispatcher) WritesInFlight(id model.GroupID, generation model.Generation) int {
	known := d.group(id)
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.inFlight[generation]
}

// Acquire waits until the unit may run, or is refused.
func (d *Dispatcher) Acquire(ctx context.Context, id model.GroupID, unit *dispatch.Unit) (*dispatch.Placement, *dispatch.Refusal) {
	known := d.group(id)
	known.mu.Lock()
	placement, refusal := known.decides.Submit(d.Now(), unit)
	if placement != nil {
		known.count(placement, 1)
	}
	if placement != nil || refusal != nil {
		known.mu.Unlock()
		return placement, refusal
	}
	waiter := make(chan dispatch.Decision, 1)
	known.waiters[unit] = waiter
	known.mu.Unlock()
	timer := time.NewTimer(unit.Deadline - d.Now())
	defer timer.Stop()
	select {
	case decided := <-waiter:
		return decided.Placement, decided.Refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.giveUp(known, unit, waiter)
}

// giveUp ends the wait of a unit, which may just have been placed.
func (d *Dispatcher) giveUp(known *group, unit *dispatch.Unit, waiter chan dispatch.Decision) (*dispatch.Placement, *dispatch.Refusal) {
	known.mu.Lock()
	defer known.mu.Unlock()
	delete(known.waiters, unit)
	if known.decides.Cancel(unit) {
		return nil, &dispatch.Refusal{Reason: dispatch.RefusedQueueTooLong}
	}
	decided := <-waiter
	return decided.Placement, decided.Refusal
}

// settle hands decisions to those who wait. g.mu is held.
func (g *group) settle(now time.Duration) {
	if g.decides.Waiting() == 0 {
		return
	}
	for _, decided := range g.decides.DecideWaiting(now) {
		waiter := g.waiters[decided.Unit]
		delete(g.waiters, decided.Unit)
		if decided.Placement != nil {
			g.count(decided.Placement, 1)
		}
		waiter <- decided
	}
}

// count follows the units at the primary. g.mu is held.
func (g *group) count(placement *dispatch.Placement, change int) {
	if !placement.Primary {
		return
	}
	g.inFlight[placement.Generation] += change
	if g.inFlight[placement.Generation] <= 0 {
		delete(g.inFlight, placement.Generation)
	}
}

// with runs a change of the group's decisions and settles what follows.
func (d *Dispatcher) with(id model.GroupID, change func(now time.Duration, g *group)) {
	known := d.group(id)
	known.mu.Lock()
	defer known.mu.Unlock()
	now := d.Now()
	change(now, known)
	known.settle(now)
}

// Release gives back the connection of a placement.
func (d *Dispatcher) Release(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(now time.Duration, g *group) {
		g.decides.Release(now, placement)
		g.count(placement, -1)
	})
}

// Sent records a statement that waits for its answer.
func (d *Dispatcher) Sent(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(now time.Duration, g *group) { g.decides.Sent(now, placement) })
}

// Answer is an upstream's answer to a statement.
type Answer struct {
	Route    string
	SentAt   time.Duration
	Position model.Position
}

// Answered records the answer to a statement, and the position in it.
func (d *Dispatcher) Answered(id model.GroupID, placement *dispatch.Placement, answer Answer) {
	d.with(id, func(now time.Duration, g *group) {
		g.decides.Answered(now, placement, answer.Route, now-answer.SentAt)
		if !placement.Primary {
			g.decides.Freshness().AddReplicaSample(placement.Upstream, answer.SentAt, answer.Position)
			return
		}
		leader := g.decides.Leadership()
		if leader.Generation != placement.Generation || answer.SentAt >= leader.PermitUntil {
			return
		}
		g.decides.Freshness().AddPrimarySample(answer.SentAt, answer.Position)
		g.sign = region.PassiveHealth{
			Primary: placement.Upstream, Generation: placement.Generation,
			SentAt: answer.SentAt, LSN: answer.Position.LSN,
		}
	})
}

// Abandoned records that an answer is no longer waited for.
func (d *Dispatcher) Abandoned(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(_ time.Duration, g *group) { g.decides.Abandoned(placement) })
}

// ConnectionLost records a statement that ended with its connection.
func (d *Dispatcher) ConnectionLost(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(now time.Duration, g *group) { g.decides.ConnectionLost(now, placement) })
}

// ConnectFailed records a connection that could not be opened or has ended.
func (d *Dispatcher) ConnectFailed(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(now time.Duration, g *group) { g.decides.ConnectFailed(now, placement.Upstream) })
}

// Connected records a connection that was opened.
func (d *Dispatcher) Connected(id model.GroupID, placement *dispatch.Placement) {
	d.with(id, func(now time.Duration, g *group) { g.decides.Connected(now, placement.Upstream) })
}

// ConnectRefused records that an upstream refused a connection.
func (d *Dispatcher) ConnectRefused(id model.GroupID, placement *dispatch.Placement, refused dispatch.ConnectRefusal) {
	d.with(id, func(now time.Duration, g *group) { g.decides.ConnectRefused(now, placement.Upstream, refused) })
}

// AnswerTimeout returns the time after which an answer to a route's statements is
// more likely lost than late.
func (d *Dispatcher) AnswerTimeout(id model.GroupID, route string) time.Duration {
	known := d.group(id)
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.decides.AnswerTimeout(route)
}

// MaySend reports whether the primary of the placement still takes work.
func (d *Dispatcher) MaySend(id model.GroupID, placement *dispatch.Placement) bool {
	state, found := d.snapshot.Load().View.Group(id)
	return found && !state.Sealed && state.Generation == placement.Generation && d.Now() < state.PermitUntil
}

// MayAcknowledge reports whether an answer of the placement's primary may be
// given: no other primary can have started.
func (d *Dispatcher) MayAcknowledge(id model.GroupID, placement *dispatch.Placement) bool {
	state, found := d.snapshot.Load().View.Group(id)
	return found && state.Generation == placement.Generation && d.Now() < state.PermitUntil
}

// SurvivedFailover reports whether a position of an older term is in the log of the
// term that is led now.
func (d *Dispatcher) SurvivedFailover(id model.GroupID, position model.Position) bool {
	state, found := d.snapshot.Load().View.Group(id)
	if !found || position.Term >= state.Timeline {
		return true
	}
	return position.LSN <= state.StartLSN
}

// Leadership returns what is known of a group's primary.
func (d *Dispatcher) Leadership(id model.GroupID) dispatch.Leadership {
	return leadership(d.snapshot.Load(), id)
}
