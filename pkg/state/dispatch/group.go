package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

const (
	// firstUsual is the latency of a kind of work that has not been seen yet.
	firstUsual = 15 * time.Millisecond
	// usualGain is the weight of one statement in the usual latency.
	usualGain = 0.05
	// primaryBias is added to the cost of a read at the primary, whose slots
	// writes and reads of the latest data need.
	primaryBias = 5 * time.Millisecond
	// primaryWeight multiplies the cost of a read at the primary.
	primaryWeight = 1.2
	// distantBias is the way to another data centre and back.
	distantBias = 2 * time.Millisecond
	// maxCatchUp is the time for which a read is sent ahead to a replica that
	// is about to have its position.
	maxCatchUp = 3 * time.Millisecond
	// minPatience is the least patience for an answer; it is else the greater
	// of usualPatience usual latencies, and of the longest one of late times
	// longestPatience / patienceScale.
	minPatience     = 120 * time.Millisecond
	usualPatience   = 8
	longestPatience = 3
	patienceScale   = 2
	// longestDecay is the share of the longest latency that a statement leaves.
	longestDecay = 0.998
	// serviceMargin is the time, in usual latencies, that is left for a unit once
	// it is let in.
	serviceMargin = 2
	// answerMargin is the least time that must be left when a unit is sent.
	answerMargin = 5 * time.Millisecond
	// replaceTime is the usual time from the failure of a primary to the first
	// work of the next one: detection, agreement and promotion.
	replaceTime = 1600 * time.Millisecond
	// noPrimaryRetry is advised where it is not known when the group is led
	// again.
	noPrimaryRetry = 500 * time.Millisecond
)

// Leadership is what is known of a group's primary.
type Leadership struct {
	Generation model.Generation
	Primary    model.UpstreamID
	// PermitUntil is when the permit for the generation runs out.
	PermitUntil time.Duration
	// Sealed is true while the primary is being replaced.
	Sealed bool
	// ExpectedAt is when a primary is expected to take work again; zero if
	// that is not known.
	ExpectedAt time.Duration
	// Term and StartNumber are those of the generation's log.
	Term        uint32
	StartNumber model.LSN
}

// isOpen reports whether the primary may get work.
func (l Leadership) isOpen(now time.Duration) bool {
	return l.Primary != "" && !l.Sealed && now < l.PermitUntil
}

// Group places the units of one group.
type Group struct {
	home      model.DataCentre
	upstreams []*upstream
	leader    Leadership
	tracker   *freshness.Tracker
	usual     map[string]time.Duration
	// longest holds a decaying maximum of the latencies of each kind of work.
	longest map[string]time.Duration
	// waiting is ordered by priority, deadline and arrival.
	waiting []*Unit
	placed  uint64
}

// NewGroup returns a group without upstreams for an instance in the data
// centre.
func NewGroup(home model.DataCentre) *Group {
	return &Group{home: home, tracker: freshness.New(), usual: make(map[string]time.Duration), longest: make(map[string]time.Duration)}
}

// Freshness returns the tracker of the group's log positions.
func (g *Group) Freshness() *freshness.Tracker { return g.tracker }

// SetUpstreams replaces the upstreams. The load of those that stay is kept.
func (g *Group) SetUpstreams(specs []Spec) {
	upstreams := make([]*upstream, 0, len(specs))
	for _, spec := range specs {
		known := g.upstream(spec.ID)
		if known == nil {
			known = newUpstream(spec)
		}
		known.spec = spec
		upstreams = append(upstreams, known)
	}
	slices.SortFunc(upstreams, func(a, b *upstream) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	g.upstreams = upstreams
}

// SetLeadership replaces what is known of the primary.
func (g *Group) SetLeadership(leader Leadership) { g.leader = leader }

// Leadership returns what is known of the primary.
func (g *Group) Leadership() Leadership { return g.leader }

func (g *Group) upstream(id model.UpstreamID) *upstream {
	for _, candidate := range g.upstreams {
		if candidate.spec.ID == id {
			return candidate
		}
	}
	return nil
}

// UsualLatency returns that of a kind of work.
func (g *Group) UsualLatency(route string) time.Duration {
	if usual, known := g.usual[route]; known {
		return usual
	}
	return firstUsual
}

// Patience returns the time after which an answer is more likely lost than
// late.
func (g *Group) Patience(route string) time.Duration {
	return max(minPatience, usualPatience*g.UsualLatency(route), longestPatience*g.longest[route]/patienceScale)
}

// Submit places a unit, or lets it wait, or refuses it. It waits if both
// results are nil; a later Next returns its placement.
func (g *Group) Submit(now time.Duration, unit *Unit) (*Placement, *Refusal) {
	if refusal := g.refuse(now, unit); refusal != nil {
		return nil, refusal
	}
	if placement := g.place(now, unit); placement != nil {
		return placement, nil
	}
	if refusal := g.refuseWait(now, unit); refusal != nil {
		return nil, refusal
	}
	g.enqueue(unit)
	return nil, nil
}

func (g *Group) enqueue(unit *Unit) {
	g.placed++
	unit.order = g.placed
	at, _ := slices.BinarySearchFunc(g.waiting, unit, compareUnits)
	g.waiting = slices.Insert(g.waiting, at, unit)
}

func compareUnits(a, b *Unit) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.order, b.order),
	)
}

// Withdraw removes a unit that waits. It reports whether the unit was waiting.
func (g *Group) Withdraw(unit *Unit) bool {
	at := slices.Index(g.waiting, unit)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// Waiting returns the number of units that wait.
func (g *Group) Waiting() int { return len(g.waiting) }

// Decided is the end of a unit's wait: one of the two is set.
type Decided struct {
	Unit      *Unit
	Placement *Placement
	Refusal   *Refusal
}

// Next places the units that wait and can run now, and refuses those that can
// no longer be served in time.
func (g *Group) Next(now time.Duration) []Decided {
	var decided []Decided
	kept := g.waiting[:0]
	for _, unit := range g.waiting {
		if refusal := g.refuse(now, unit); refusal != nil {
			decided = append(decided, Decided{Unit: unit, Refusal: refusal})
			continue
		}
		if placement := g.place(now, unit); placement != nil {
			decided = append(decided, Decided{Unit: unit, Placement: placement})
			continue
		}
		if refusal := g.refuseLate(now, unit); refusal != nil {
			decided = append(decided, Decided{Unit: unit, Refusal: refusal})
			continue
		}
		kept = append(kept, unit)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
	return decided
}

// refuseLate ends the wait of a unit that would come too late for its caller.
// While a primary is being replaced units wait up to their deadline.
func (g *Group) refuseLate(now time.Duration, unit *Unit) *Refusal {
	if g.awaitsPrimary(now, unit) {
		return nil
	}
	if now < g.waitUntil(unit) {
		return nil
	}
	return &Refusal{Reason: RefusedQueue, RetryAfter: g.queueTime(now, unit)}
}

// waitUntil returns when the unit stops to wait for room: what is let in later
// would come late for its caller, and make others late.
func (g *Group) waitUntil(unit *Unit) time.Duration {
	end := unit.Deadline
	if unit.Target != 0 {
		end = min(end, unit.Target)
	}
	return end - serviceMargin*g.UsualLatency(unit.Route)
}

// refuse returns why the unit cannot be served in time whatever is free.
func (g *Group) refuse(now time.Duration, unit *Unit) *Refusal {
	if now+max(answerMargin, g.UsualLatency(unit.Route)) >= unit.Deadline {
		return &Refusal{Reason: RefusedQueue, RetryAfter: g.queueTime(now, unit)}
	}
	if !unit.NeedsPrimary {
		if _, _, proven := unit.required(g.tracker, now); proven {
			return nil
		}
	}
	return g.refuseAtPrimary(now, unit)
}

// awaitsPrimary reports whether the unit can only run at a primary that is
// expected.
func (g *Group) awaitsPrimary(now time.Duration, unit *Unit) bool {
	if _, awaited := g.primaryExpected(now); !awaited {
		return false
	}
	if unit.NeedsPrimary {
		return true
	}
	_, _, proven := unit.required(g.tracker, now)
	return !proven
}

// refuseAtPrimary returns why no primary will serve the unit in time.
func (g *Group) refuseAtPrimary(now time.Duration, unit *Unit) *Refusal {
	expected, awaited := g.primaryExpected(now)
	if !awaited {
		return nil
	}
	if expected == 0 {
		return &Refusal{Reason: RefusedNoPrimary, RetryAfter: noPrimaryRetry}
	}
	if max(expected, now)+g.UsualLatency(unit.Route) > unit.Deadline {
		return &Refusal{Reason: RefusedNoPrimary, RetryAfter: max(expected-now, answerMargin)}
	}
	return nil
}

// primaryExpected returns when a primary is expected to take work, if none
// does now; zero if that is not known.
func (g *Group) primaryExpected(now time.Duration) (expected time.Duration, awaited bool) {
	if !g.leader.isOpen(now) {
		return g.leader.ExpectedAt, true
	}
	primary := g.upstream(g.leader.Primary)
	if primary == nil {
		return 0, true
	}
	if primary.isShut(now) {
		return primary.fullUntil + fullFor, true
	}
	since, troubled := primary.troubledSince(now)
	if !troubled {
		return 0, false
	}
	return since + replaceTime, true
}

// refuseWait returns why a unit that finds no room should not wait.
func (g *Group) refuseWait(now time.Duration, unit *Unit) *Refusal {
	if len(g.upstreams) == 0 {
		return &Refusal{Reason: RefusedNoUpstream, RetryAfter: noPrimaryRetry}
	}
	if g.awaitsPrimary(now, unit) {
		return nil
	}
	wait := g.queueTime(now, unit)
	if now+wait > g.waitUntil(unit) {
		return &Refusal{Reason: RefusedQueue, RetryAfter: wait}
	}
	return nil
}

// queueTime estimates how long it takes until the unit and those that go
// before it are let in.
func (g *Group) queueTime(now time.Duration, unit *Unit) time.Duration {
	ahead := 1
	for _, other := range g.waiting {
		if compareUnits(other, unit) < 0 {
			ahead++
		}
	}
	served := 0
	var wait time.Duration
	for _, candidate := range g.upstreams {
		if g.mayServe(now, unit, candidate) {
			served++
			wait = max(wait, candidate.waitFor(now, ahead))
		}
	}
	if served == 0 {
		return noPrimaryRetry
	}
	return wait / time.Duration(served)
}

// mayServe reports whether the upstream can take the unit before its deadline.
func (g *Group) mayServe(now time.Duration, unit *Unit, candidate *upstream) bool {
	if candidate.spec.ID == g.leader.Primary {
		return true
	}
	if unit.NeedsPrimary || candidate.spec.Draining || unit.hasFailedAt(candidate.spec.ID) {
		return false
	}
	position, at, proven := unit.required(g.tracker, now)
	return proven && now+g.tracker.ReadyIn(candidate.spec.ID, now, position, at) < unit.Deadline
}

// place takes a connection for the unit, or returns nil if none is free.
func (g *Group) place(now time.Duration, unit *Unit) *Placement {
	if unit.NeedsPrimary {
		return g.placeAtPrimary(now)
	}
	return g.placeRead(now, unit)
}

func (g *Group) placeAtPrimary(now time.Duration) *Placement {
	primary := g.upstream(g.leader.Primary)
	if primary == nil || !g.leader.isOpen(now) || !primary.hasRoom(now) || !primary.isReachable(now) {
		return nil
	}
	return g.take(now, primary, model.Position{})
}

// placeRead chooses the upstream at which the read is answered first.
func (g *Group) placeRead(now time.Duration, unit *Unit) *Placement {
	position, at, proven := unit.required(g.tracker, now)
	usual := g.UsualLatency(unit.Route)
	var best *upstream
	var bestCost time.Duration
	for _, candidate := range g.upstreams {
		cost, usable := g.readCost(now, unit, candidate, usual)
		if !usable {
			continue
		}
		if candidate.spec.ID != g.leader.Primary {
			ready := g.tracker.ReadyIn(candidate.spec.ID, now, position, at)
			if !proven || ready > maxCatchUp {
				continue
			}
			cost += ready
		}
		if best == nil || cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	if best == nil {
		return nil
	}
	if best.spec.ID == g.leader.Primary {
		position = model.Position{}
	} else {
		g.tracker.Asked(best.spec.ID, now)
	}
	return g.take(now, best, position)
}

// readCost estimates the latency of a read at an upstream, its log aside.
func (g *Group) readCost(now time.Duration, unit *Unit, candidate *upstream, usual time.Duration) (time.Duration, bool) {
	id := candidate.spec.ID
	if !candidate.hasRoom(now) || unit.hasFailedAt(id) || !candidate.isReachable(now) {
		return 0, false
	}
	cost := candidate.cost(now, usual)
	if candidate.spec.DataCentre != g.home {
		cost += distantBias
	}
	if id == g.leader.Primary {
		if !g.leader.isOpen(now) {
			return 0, false
		}
		return time.Duration(float64(cost)*primaryWeight) + primaryBias, true
	}
	return cost, !candidate.spec.Draining && !unit.wasBehind(id)
}

func (g *Group) take(now time.Duration, chosen *upstream, since model.Position) *Placement {
	chosen.inUse++
	chosen.active++
	return &Placement{
		active:     true,
		Upstream:   chosen.spec.ID,
		Primary:    chosen.spec.ID == g.leader.Primary,
		Generation: g.leader.Generation,
		Since:      since,
		At:         now,
	}
}

// Release gives back the connection of a placement.
func (g *Group) Release(now time.Duration, placement *Placement) {
	if held := g.upstream(placement.Upstream); held != nil && held.inUse > 0 {
		held.inUse--
		held.rest(placement)
		held.holding += time.Duration(usualGain * float64(now-placement.At-held.holding))
	}
}

// Sent records a statement that waits for the answer of an upstream.
func (g *Group) Sent(now time.Duration, placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.resume(placement)
		if target.pending == 0 {
			target.silentSince = now
		}
		target.pending++
	}
}

// Answered records the answer to a statement that was sent.
func (g *Group) Answered(now time.Duration, placement *Placement, route string, latency time.Duration) {
	target := g.upstream(placement.Upstream)
	if target == nil {
		return
	}
	target.rest(placement)
	target.pending = max(0, target.pending-1)
	target.well(now)
	target.observe(now, latency, g.UsualLatency(route))
	g.longest[route] = max(latency, time.Duration(longestDecay*float64(g.longest[route])))
	g.usual[route] = g.UsualLatency(route) + time.Duration(usualGain*float64(latency-g.UsualLatency(route)))
}

// GivenUp records that the answer to a statement is no longer waited for.
func (g *Group) GivenUp(placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.rest(placement)
		target.pending = max(0, target.pending-1)
	}
}

// Unreachable records a connection that failed.
func (g *Group) Unreachable(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		if !target.down {
			target.down = true
			target.downSince = now
		}
	}
}

// Reached records a connection that was opened.
func (g *Group) Reached(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.well(now)
	}
}

// Full records that an upstream refused a further connection while this
// instance had the given number.
func (g *Group) Full(now time.Duration, id model.UpstreamID, open int) {
	if target := g.upstream(id); target != nil {
		target.full = open
		target.fullUntil = now + fullFor
	}
}

// fullFor is the time after which a connection is tried again at an upstream
// that refused one.
const fullFor = 100 * time.Millisecond

// Suspects returns the upstreams that have been silent for too long.
func (g *Group) Suspects(now time.Duration) []model.UpstreamID {
	var suspects []model.UpstreamID
	for _, candidate := range g.upstreams {
		if candidate.down || candidate.isSuspect(now) {
			suspects = append(suspects, candidate.spec.ID)
		}
	}
	return suspects
}
