package dispatch

import (
	"math"
	"time"
)

// lastAdmission returns the last time at which the unit may leave the queue to
// be on time. If it ran later, its answer would be late and it would delay
// other units.
func (g *Group) lastAdmission(unit *Unit) time.Duration {
	return unit.wantedUntil() - serviceMarginFactor*g.averageLatency(unit.Route)
}

// lastStart returns the last time at which the unit should leave the queue to
// meet its deadline.
func (g *Group) lastStart(unit *Unit) time.Duration {
	return unit.Deadline - serviceMarginFactor*g.averageLatency(unit.Route)
}

// isTooLate reports whether the unit would miss its deadline even if it ran now.
func (g *Group) isTooLate(now time.Duration, unit *Unit) bool {
	return now+max(minTimeLeft, g.averageLatency(unit.Route)) >= unit.Deadline
}

// refuseWaiting refuses the queued units that cannot be served in time even with
// free connections.
func (g *Group) refuseWaiting(now time.Duration, decisions []Decision) []Decision {
	for i := 0; i < len(g.classes); i++ {
		c := g.classes[i]
		awaits := g.classAwaitsPrimary(now, c)
		for first := c.deadlines.first(); first != nil; first = c.deadlines.first() {
			var refusal *Refusal
			switch {
			case first.isLate() && !awaits && now >= g.lastStart(first.unit):
				g.lateServed(first.unit.NeedsPrimary).recordExpired(now)
				refusal = g.refuseTooLong(now, first.unit)
			case g.isTooLate(now, first.unit):
				refusal = g.refuseTooLong(now, first.unit)
			case awaits:
				refusal = g.refuseWithoutPrimary(now, first.unit)
			}
			if refusal == nil {
				break
			}
			g.dequeue(first)
			decisions = append(decisions, Decision{Unit: first.unit, Refusal: refusal})
		}
		if c.deadlines.Len() == 0 {
			i--
		}
	}
	return decisions
}

// classAwaitsPrimary reports whether the units of the class can run only at a
// primary, and the group has none that accepts work now.
func (g *Group) classAwaitsPrimary(now time.Duration, c *class) bool {
	return g.awaitsPrimary(now, &Unit{NeedsPrimary: c.key.needsPrimary, MaxAge: c.key.maxAge})
}

// refuseUnservable returns a refusal if the unit cannot be served in time even
// with free connections, and nil otherwise.
func (g *Group) refuseUnservable(now time.Duration, unit *Unit) *Refusal {
	if g.isTooLate(now, unit) {
		return g.refuseTooLong(now, unit)
	}
	if !unit.NeedsPrimary {
		if _, _, proven := unit.requiredPosition(g.tracker, now); proven {
			return nil
		}
	}
	return g.refuseWithoutPrimary(now, unit)
}

// awaitsPrimary reports whether the unit can run only at a primary, and none
// accepts work now.
func (g *Group) awaitsPrimary(now time.Duration, unit *Unit) bool {
	if _, awaited := g.primaryExpected(now); !awaited {
		return false
	}
	if unit.NeedsPrimary {
		return true
	}
	_, _, proven := unit.requiredPosition(g.tracker, now)
	return !proven
}

// refuseWithoutPrimary returns a refusal if no primary will accept work in time
// for the unit, and nil otherwise.
func (g *Group) refuseWithoutPrimary(now time.Duration, unit *Unit) *Refusal {
	expected, awaited := g.primaryExpected(now)
	if !awaited {
		return nil
	}
	if expected == 0 {
		return &Refusal{Reason: g.reasonWithoutPrimary(now), RetryAfter: unknownRetryAfter}
	}
	if max(expected, now)+g.averageLatency(unit.Route) > unit.Deadline {
		return &Refusal{Reason: RefusedNoPrimary, RetryAfter: max(expected-now, minTimeLeft)}
	}
	return nil
}

// reasonWithoutPrimary tells a primary that only this instance may not use from
// one that no instance may use.
func (g *Group) reasonWithoutPrimary(now time.Duration) RefusalReason {
	if g.leadership.Primary != "" && !g.leadership.Sealed && now >= g.leadership.PermitUntil {
		return RefusedNoPermit
	}
	return RefusedNoPrimary
}

// primaryExpected reports in awaited whether no primary accepts work now, and
// returns when one is expected to; zero if it is not known.
func (g *Group) primaryExpected(now time.Duration) (expected time.Duration, awaited bool) {
	if !g.leadership.acceptsWork(now) {
		return g.leadership.ExpectedAt, true
	}
	primary := g.upstream(g.leadership.Primary)
	if primary == nil {
		return 0, true
	}
	if primary.refusesAll(now) {
		return primary.limitedUntil + connectRetryInterval, true
	}
	since, unhealthy := primary.unhealthySince(now)
	if !unhealthy {
		return 0, false
	}
	return since + failoverTime, true
}

// refuseToQueue returns a refusal if a unit that found no free connection would
// wait too long in the queue. Otherwise it reports whether the unit must wait
// behind those that can still be on time.
func (g *Group) refuseToQueue(now time.Duration, unit *Unit) (late bool, refusal *Refusal) {
	if len(g.upstreams) == 0 {
		return false, &Refusal{Reason: RefusedNoUpstream, RetryAfter: unknownRetryAfter}
	}
	if g.awaitsPrimary(now, unit) {
		return false, nil
	}
	wait, found := g.queueWait(now, unit, g.unitsAhead(now, unit)+1)
	if found && now+wait <= g.lastAdmission(unit) {
		return false, nil
	}
	if unit.canBeLate() && g.lateFits(now, unit) {
		return true, nil
	}
	return false, g.refuseTooLong(now, unit)
}

// refuseTooLong returns a refusal because of the queue. RetryAfter is spread
// between one and two times the expected wait, so that refused callers do not
// retry all at once.
func (g *Group) refuseTooLong(now time.Duration, unit *Unit) *Refusal {
	wait, found := g.queueWait(now, unit, g.unitsAhead(now, unit)+1)
	if !found {
		wait = g.catchUpOrUnknown(now, unit)
	}
	wait = max(wait, minRetryAfter)
	g.refusals++
	// The fractional parts of multiples of the golden ratio are spread evenly over
	// the unit interval for any number of refusals.
	_, spread := math.Modf(float64(g.refusals%spreadPeriod) * math.Phi)
	return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: wait + time.Duration(spread*float64(wait))}
}

const (
	// minRetryAfter is the least RetryAfter of a unit that was refused because of
	// the queue.
	minRetryAfter = 20 * time.Millisecond
	// spreadPeriod bounds the factor of the golden ratio, for its precision.
	spreadPeriod = 1 << 20
)

// catchUpOrUnknown returns the time until a replica can run the read, or
// unknownRetryAfter.
func (g *Group) catchUpOrUnknown(now time.Duration, unit *Unit) time.Duration {
	if !unit.NeedsPrimary {
		if wait, found := g.catchUpTime(now, unit); found {
			return min(wait, unknownRetryAfter)
		}
	}
	return unknownRetryAfter
}

// unitsAhead estimates the number of queued units of the same kind that leave
// the queue before the unit if it can be on time.
func (g *Group) unitsAhead(now time.Duration, unit *Unit) int {
	higher, own := 0, 0
	for _, l := range g.lines {
		if l.needsPrimary != unit.NeedsPrimary {
			continue
		}
		switch {
		case l.priority < unit.Priority:
			higher += l.onTime() - g.excessWaiting(now, l)
		case l.priority == unit.Priority:
			own = g.aheadInLine(l, unit)
		}
	}
	if unit.Priority > 0 {
		// The guaranteed share bounds the units of higher priorities that run first.
		higher = min(higher, guaranteedShare*(own+1))
	}
	return higher + own
}

// aheadInLine estimates the number of units of the same priority ahead of the
// unit: those that the other callers run while its own caller's queue is served.
func (g *Group) aheadInLine(l *line, unit *Unit) int {
	total := l.onTime()
	if total == 0 {
		return 0
	}
	weight := max(1, unit.Weight)
	flow := l.units.Lookup(unit.Caller)
	ownWaiting, totalWeight := 0, l.units.WaitingWeight()+weight
	if flow != nil && flow.Queued() > 0 {
		ownWaiting = flow.QueuedIn(laneOnTime) + flow.QueuedIn(laneLagging)
		totalWeight -= weight
	}
	if unit.Caller == "" {
		ownWaiting = min(ownWaiting, g.aheadByDeadline(unit))
	}
	return min(total, ownWaiting*totalWeight/weight)
}

// aheadByDeadline estimates the number of queued units of the unit's priority
// and kind that have an earlier deadline. The deadlines of a class are taken as
// evenly spread between the first and the last.
func (g *Group) aheadByDeadline(unit *Unit) int {
	ahead := 0.0
	for _, c := range g.classes {
		first := c.targets.first()
		if first == nil || c.key.priority != unit.Priority || c.key.needsPrimary != unit.NeedsPrimary {
			continue
		}
		earliest := min(first.unit.Deadline, c.lastDeadline)
		part := 1.0
		if unit.Deadline < earliest {
			part = 0
		} else if unit.Deadline < c.lastDeadline {
			part = float64(unit.Deadline-earliest) / float64(c.lastDeadline-earliest)
		}
		ahead += part * float64(c.targets.Len())
	}
	return int(ahead)
}

// onTime returns the number of queued units that can still be on time.
func (l *line) onTime() int { return l.units.QueuedIn(laneOnTime) + l.units.QueuedIn(laneLagging) }

// queueWait estimates the time until the given number of units have left the
// queue for the upstreams that can run the unit. found is false if there are
// none.
func (g *Group) queueWait(now time.Duration, unit *Unit, units int) (wait time.Duration, found bool) {
	servers := 0
	ready := time.Duration(math.MaxInt64)
	for _, candidate := range g.upstreams {
		catchUp, serves := g.canServe(now, unit, candidate)
		if !serves {
			continue
		}
		servers++
		ready = min(ready, catchUp)
		wait = max(wait, g.candidateWait(now, unit, candidate, units))
	}
	if servers == 0 {
		return 0, false
	}
	return max(wait/time.Duration(servers), ready), true
}

// candidateWait estimates the time until the given number of units have left the
// queue for an upstream. Reads whose replicas lag have only a part of the
// primary's slots, less what the units that need it use.
func (g *Group) candidateWait(now time.Duration, unit *Unit, candidate *upstream, units int) time.Duration {
	wait := candidate.queueWait(now, units)
	if unit.NeedsPrimary || candidate.spec.ID != g.leadership.Primary || !g.isLagging(now, unit) {
		return wait
	}
	taken := g.usages[kindIndex(true)].slots(now)
	left := max(1, float64(g.primaryReadLimit(now, candidate))-taken)
	return time.Duration(float64(wait) * float64(max(1, candidate.maxOutstanding())) / left)
}

// canServe reports whether the upstream can run the unit before its deadline,
// whether or not it has a free connection now, and how long it needs to catch up
// first.
func (g *Group) canServe(now time.Duration, unit *Unit, candidate *upstream) (catchUp time.Duration, serves bool) {
	if candidate.spec.ID == g.leadership.Primary {
		return 0, unit.NeedsPrimary || g.primaryReadLimit(now, candidate) > 0 || !g.isLagging(now, unit)
	}
	if unit.NeedsPrimary || candidate.spec.Draining || unit.hasFailedAt(candidate.spec.ID) {
		return 0, false
	}
	position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
	if !proven {
		return 0, false
	}
	wait := g.tracker.EstimatedWait(candidate.spec.ID, now, position, reachedAt)
	return max(0, wait-maxCatchUp), now+wait < unit.Deadline
}
