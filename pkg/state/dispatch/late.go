package dispatch

import (
	"math"
	"time"
)

const (
	// lateOptimism is the time for which units that can be on time must have been
	// waiting before the number of late units is bounded by the rate at which they
	// have been served. After it the overload is taken as lasting, and most late
	// units would be refused after their wait.
	lateOptimism = 500 * time.Millisecond
	// lateRateSpan is the time constant of that rate.
	lateRateSpan = time.Second
)

// lateUnits is what is known of the late units of one kind.
type lateUnits struct {
	// served is a decaying count of the late units that were placed, which
	// approximates their number in the last lateRateSpan before servedAt.
	served   float64
	servedAt time.Duration
	// expiredAt is when a late unit was last refused after it had waited; zero if
	// none was.
	expiredAt time.Duration
	// idleAt is when no unit that could be on time was last waiting.
	idleAt time.Duration
}

// lateServed returns what is known of the late units of a kind.
func (g *Group) lateServed(needsPrimary bool) *lateUnits { return &g.late[kindIndex(needsPrimary)] }

// recordIdle records the kinds of units of which none that could be on time is
// waiting.
func (g *Group) recordIdle(now time.Duration) {
	busy := [len(g.late)]bool{}
	for _, l := range g.lines {
		if l.onTime() > 0 {
			busy[kindIndex(l.needsPrimary)] = true
		}
	}
	for i := range g.late {
		if !busy[i] {
			g.late[i].idleAt = now
		}
	}
}

// count records that a late unit was placed.
func (l *lateUnits) count(now time.Duration) {
	l.served = l.servedIn(now) + 1
	l.servedAt = now
}

func (l *lateUnits) servedIn(now time.Duration) float64 {
	return l.served * math.Exp(-float64(now-l.servedAt)/float64(lateRateSpan))
}

// recordExpired records that a late unit was refused after it had waited.
func (l *lateUnits) recordExpired(now time.Duration) { l.expiredAt = max(now, 1) }

// lateFits reports whether a unit that cannot be on time is expected to meet its
// deadline behind all units that can, and behind the late ones ahead of it.
func (g *Group) lateFits(now time.Duration, unit *Unit) bool {
	left := g.lastStart(unit) - now
	ahead := g.lateAhead(unit)
	wait, found := g.queueWait(now, unit, g.onTimeWaiting(unit)+ahead+1)
	if !found || wait > left {
		return false
	}
	known := g.lateServed(unit.NeedsPrimary)
	if now-known.idleAt < lateOptimism && known.expiredAt <= known.idleAt {
		return true
	}
	expected := known.servedIn(now) * left.Seconds() / lateRateSpan.Seconds()
	// One more unit is accepted, so that it shows when late units are served again.
	return float64(ahead) < expected+1
}

// lateAhead returns the number of late units that run before the unit if it is
// late.
func (g *Group) lateAhead(unit *Unit) int {
	ahead := 0
	for _, l := range g.lines {
		if l.needsPrimary == unit.NeedsPrimary && l.priority <= unit.Priority {
			ahead += l.units.QueuedIn(laneLate) + l.units.QueuedIn(laneLateLagging)
		}
	}
	return ahead
}

// onTimeWaiting returns the number of queued units of the unit's kind that can
// still be on time.
func (g *Group) onTimeWaiting(unit *Unit) int {
	waiting := 0
	for _, l := range g.lines {
		if l.needsPrimary == unit.NeedsPrimary {
			waiting += l.onTime()
		}
	}
	return waiting
}

// moveOverdue moves the queued units that can no longer be on time behind all
// others, and returns them.
func (g *Group) moveOverdue(now time.Duration) []*waitingUnit {
	var moved []*waitingUnit
	for _, c := range g.classes {
		if g.classAwaitsPrimary(now, c) {
			continue
		}
		for first := c.targets.first(); first != nil; first = c.targets.first() {
			if now < g.lastAdmission(first.unit) || !first.unit.canBeLate() {
				break
			}
			first.moveLate()
			moved = append(moved, first)
		}
	}
	return moved
}

// refuseOverdue refuses the units whose last time of admission has passed and
// whose answer is of no use later, and those of the moved ones that are not
// expected to meet their deadline. Units that need a new primary stay queued: a
// failover may take longer than their target.
func (g *Group) refuseOverdue(now time.Duration, moved []*waitingUnit, decisions []Decision) []Decision {
	for _, w := range moved {
		if g.waiting[w.unit] == w && !g.lateFits(now, w.unit) {
			decisions = append(decisions, g.refuseQueued(now, w))
		}
	}
	for i := 0; i < len(g.classes); i++ {
		c := g.classes[i]
		if g.classAwaitsPrimary(now, c) {
			continue
		}
		for first := c.targets.first(); first != nil; first = c.targets.first() {
			if now < g.lastAdmission(first.unit) || first.unit.canBeLate() {
				break
			}
			decisions = append(decisions, g.refuseQueued(now, first))
		}
		if c.deadlines.Len() == 0 {
			i--
		}
	}
	return decisions
}

// refuseQueued removes a unit from the queue and refuses it.
func (g *Group) refuseQueued(now time.Duration, w *waitingUnit) Decision {
	g.dequeue(w)
	return Decision{Unit: w.unit, Refusal: g.refuseTooLong(now, w.unit)}
}
