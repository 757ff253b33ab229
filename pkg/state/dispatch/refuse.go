package dispatch

import (
	"time"
)

// refuseLate ends the wait of a unit that would come too late for its caller.
// While a primary is being replaced units wait up to their deadline.
func (g *Group) refuseLate(now time.Duration, unit *Unit) *Refusal {
	if g.awaitsPrimary(now, unit) {
		return nil
	}
	if now < g.waitUntil(unit) {
		return nil
	}
	return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: g.queueTime(now, unit)}
}

// waitUntil returns when the unit stops to wait for room: what is let in later
// would come late for its caller, and make others late.
func (g *Group) waitUntil(unit *Unit) time.Duration {
	end := unit.Deadline
	if unit.Target != 0 {
		end = min(end, unit.Target)
	}
	return end - serviceMargin*g.usualLatency(unit.Route)
}

// refuse returns why the unit cannot be served in time whatever is free.
func (g *Group) refuse(now time.Duration, unit *Unit) *Refusal {
	if now+max(answerMargin, g.usualLatency(unit.Route)) >= unit.Deadline {
		return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: g.queueTime(now, unit)}
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
	if max(expected, now)+g.usualLatency(unit.Route) > unit.Deadline {
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
		return &Refusal{Reason: RefusedQueueTooLong, RetryAfter: wait}
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
