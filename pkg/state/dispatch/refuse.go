package dispatch

import (
	"time"
)

// refuseOverdue returns a refusal for a queued unit whose last time of admission
// has passed, and nil otherwise. Units that need a new primary stay queued: a
// failover may take longer than their target.
func (g *Group) refuseOverdue(now time.Duration, unit *Unit) *Refusal {
	if g.awaitsPrimary(now, unit) {
		return nil
	}
	if now < g.lastAdmission(unit) {
		return nil
	}
	return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: g.queueWait(now, unit)}
}

// lastAdmission returns the last time at which the unit may leave the queue to
// run. If it ran later, its answer would be too late for its caller and it would
// delay other units.
func (g *Group) lastAdmission(unit *Unit) time.Duration {
	end := unit.Deadline
	if unit.Target != 0 {
		end = min(end, unit.Target)
	}
	return end - serviceMarginFactor*g.averageLatency(unit.Route)
}

// refuseUnservable returns a refusal if the unit cannot be served in time even
// with free connections, and nil otherwise.
func (g *Group) refuseUnservable(now time.Duration, unit *Unit) *Refusal {
	if now+max(minTimeLeft, g.averageLatency(unit.Route)) >= unit.Deadline {
		return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: g.queueWait(now, unit)}
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
// wait too long in the queue, and nil otherwise.
func (g *Group) refuseToQueue(now time.Duration, unit *Unit) *Refusal {
	if len(g.upstreams) == 0 {
		return &Refusal{Reason: RefusedNoUpstream, RetryAfter: unknownRetryAfter}
	}
	if g.awaitsPrimary(now, unit) {
		return nil
	}
	wait := g.queueWait(now, unit)
	if now+wait > g.lastAdmission(unit) {
		return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: wait}
	}
	return nil
}

// queueWait estimates the time until the unit leaves the queue to run, after
// those ahead of it.
func (g *Group) queueWait(now time.Duration, unit *Unit) time.Duration {
	ahead := 1
	for _, other := range g.waiting {
		if compareUnits(other, unit) < 0 {
			ahead++
		}
	}
	servers := 0
	var wait time.Duration
	for _, candidate := range g.upstreams {
		if g.canServe(now, unit, candidate) {
			servers++
			wait = max(wait, candidate.queueWait(now, ahead))
		}
	}
	if servers == 0 {
		return unknownRetryAfter
	}
	return wait / time.Duration(servers)
}

// canServe reports whether the upstream can run the unit before its deadline,
// whether or not it has a free connection now.
func (g *Group) canServe(now time.Duration, unit *Unit, candidate *upstream) bool {
	if candidate.spec.ID == g.leadership.Primary {
		return true
	}
	if unit.NeedsPrimary || candidate.spec.Draining || unit.hasFailedAt(candidate.spec.ID) {
		return false
	}
	position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
	return proven && now+g.tracker.EstimatedWait(candidate.spec.ID, now, position, reachedAt) < unit.Deadline
}
