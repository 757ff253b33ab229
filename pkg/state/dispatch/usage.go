package dispatch

import (
	"math"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// usageSpan is the time constant over which the slot time of a caller is
	// measured.
	usageSpan = time.Second
	// usageTolerance is the multiple of its share by weight up to which a caller
	// keeps the priorities of its routes.
	usageTolerance = 2
	// usageFloor is the part of the slot time up to which a caller always keeps
	// them, so that a large account among many small ones is not affected.
	usageFloor = 1.0 / 8
	// usageSweep is the interval at which callers that are no longer active are
	// forgotten, after usageMemory without use.
	usageSweep  = time.Second
	usageMemory = 5 * usageSpan
	// usageLevels is the number of priorities that are measured apart; the last
	// one includes all lower priorities.
	usageLevels = 3
)

// usage measures which callers use more than their share of the slot time, over
// all priorities. The fair queue of one priority cannot bound a caller that
// floods a higher one.
type usage struct {
	callers map[model.CallerName]*callerUsage
	// total is the decaying slot time of all callers at totalAt, and weight the
	// sum of the callers' weights.
	total   float64
	totalAt time.Duration
	weight  int
	sweptAt time.Duration
	// excessive holds the callers that were above their share when they were last
	// charged, in the order in which they got there.
	excessive []model.CallerName
}

// callerUsage is the decaying slot time of a caller at the time at. Each level
// includes the higher priorities.
type callerUsage struct {
	levels [usageLevels]float64
	at     time.Duration
	weight int
}

// decay returns the rest of a decaying value after the elapsed time.
func decay(value float64, elapsed time.Duration) float64 {
	return value * math.Exp(-float64(elapsed)/float64(usageSpan))
}

// usageLevel returns the index of a priority in callerUsage.levels.
func usageLevel(priority int) int { return min(max(priority, 0), usageLevels-1) }

// charge records the slot time of a unit of a caller.
func (u *usage) charge(now time.Duration, capacity int, caller model.CallerName, priority, weight int, occupied time.Duration) {
	u.total = decay(u.total, now-u.totalAt) + occupied.Seconds()
	u.totalAt = now
	if caller == "" {
		return
	}
	if u.callers == nil {
		u.callers = make(map[model.CallerName]*callerUsage)
	}
	known := u.callers[caller]
	if known == nil {
		known = &callerUsage{at: now}
		u.callers[caller] = known
	}
	weight = max(weight, 1)
	u.weight += weight - known.weight
	known.weight = weight
	for level := range known.levels {
		known.levels[level] = decay(known.levels[level], now-known.at)
		if level >= usageLevel(priority) {
			known.levels[level] += occupied.Seconds()
		}
	}
	known.at = now
	u.sweep(now, capacity)
	if !slices.Contains(u.excessive, caller) && u.isExcessive(now, capacity, caller, usageLevels-1) {
		u.excessive = append(u.excessive, caller)
	}
}

// slots returns the average number of slots in use.
func (u *usage) slots(now time.Duration) float64 {
	return decay(u.total, now-u.totalAt) / usageSpan.Seconds()
}

// sweep forgets the callers that are no longer active or above their share.
func (u *usage) sweep(now time.Duration, capacity int) {
	if now-u.sweptAt < usageSweep {
		return
	}
	u.sweptAt = now
	for name, known := range u.callers {
		if now-known.at >= usageMemory {
			u.weight -= known.weight
			delete(u.callers, name)
		}
	}
	u.excessive = slices.DeleteFunc(u.excessive, func(name model.CallerName) bool {
		return !u.isExcessive(now, capacity, name, usageLevels-1)
	})
}

// isExcessive reports whether a caller uses more than its share with the units
// of the priority and higher ones. The slot time in use counts as at least half
// of the capacity, so that a few units at low load make no caller excessive.
func (u *usage) isExcessive(now time.Duration, capacity int, caller model.CallerName, priority int) bool {
	known := u.callers[caller]
	if known == nil || len(u.callers) < 2 {
		return false
	}
	share := max(usageFloor, usageTolerance*float64(known.weight)/float64(u.weight))
	total := max(decay(u.total, now-u.totalAt), float64(capacity)*usageSpan.Seconds()/2)
	return decay(known.levels[usageLevel(priority)], now-known.at) > share*total
}

// capacity returns the number of statements that this instance may send at once
// to the upstreams of a kind of unit.
func (g *Group) capacity(needsPrimary bool) int {
	capacity := 0
	for _, candidate := range g.upstreams {
		if !needsPrimary || candidate.spec.ID == g.leadership.Primary {
			capacity += candidate.maxOutstanding()
		}
	}
	return capacity
}

// isExcessive reports whether a caller uses more than its share of the slots of
// the line's kind with units of the line's priority and higher ones. A caller
// can get above its share only when it is charged, so that most calls only look
// at the list.
func (g *Group) isExcessive(now time.Duration, caller model.CallerName, l *line) bool {
	measured := g.usageOf(l)
	return slices.Contains(measured.excessive, caller) && measured.isExcessive(now, g.capacity(l.needsPrimary), caller, l.priority)
}

// excessWaiting returns the number of units of the line that can still be on
// time and whose callers use more than their shares.
func (g *Group) excessWaiting(now time.Duration, l *line) int {
	count := 0
	for _, name := range g.usageOf(l).excessive {
		flow := l.units.Lookup(name)
		if flow != nil && flow.Queued() > 0 && g.isExcessive(now, name, l) {
			count += flow.QueuedIn(laneOnTime) + flow.QueuedIn(laneLagging)
		}
	}
	return count
}

// usageOf returns the use of the slots by the units of a line's kind.
func (g *Group) usageOf(l *line) *usage { return &g.usages[kindIndex(l.needsPrimary)] }

// kindIndex returns the index of a kind of unit: 0 for those that need a primary
// and 1 for other reads.
func kindIndex(needsPrimary bool) int {
	if needsPrimary {
		return 0
	}
	return 1
}
