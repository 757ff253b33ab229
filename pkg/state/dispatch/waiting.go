package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"gypsumdock/pkg/state/fairqueue"
	"gypsumdock/pkg/state/model"
)

// The lanes of a line. A read is lagging while no replica is expected to have
// applied its position soon, so that only the primary could run it. A late unit
// can meet its deadline but no longer its target.
const (
	laneOnTime = iota
	laneLagging
	laneLate
	laneLateLagging
	laneCount
)

// maxIdleLines is the number of lines that are kept although they are idle.
// Routes have few priorities, but a peer may send any number.
const maxIdleLines = 16

type (
	unitQueue  = fairqueue.Queue[model.CallerName, uint64, *waitingUnit]
	callerFlow = fairqueue.Flow[model.CallerName, uint64, *waitingUnit]
	queuedUnit = fairqueue.Item[model.CallerName, uint64, *waitingUnit]
	unitCharge = fairqueue.Charge[model.CallerName, uint64, *waitingUnit]
)

// line is the queue of the units of one priority that need a primary, or of
// those that do not. Both have start tags of their own, because a caller's use
// of the replicas must not put it behind others at the primary.
type line struct {
	priority     int
	needsPrimary bool
	units        *unitQueue
	// running is the number of placements that are charged to the line.
	running int
	// owed is the slot time by which the line is behind its guaranteed share.
	owed time.Duration
	// failures counts, by lane, the units that the current call of DecideWaiting
	// could not place.
	failures [laneCount]int
}

// classKey identifies units that are refused by the same rules.
type classKey struct {
	route        string
	priority     int
	needsPrimary bool
	maxAge       time.Duration
}

// class holds the queued units of a classKey by the times at which they are
// refused.
type class struct {
	key classKey
	// targets holds the units that are not late, by the end of the time in which
	// they are wanted; deadlines holds all units by deadline.
	targets   unitHeap
	deadlines unitHeap
	// lastDeadline is the latest deadline of a unit that was queued.
	lastDeadline time.Duration
}

// waitingUnit is a unit in the queue.
type waitingUnit struct {
	unit  *Unit
	line  *line
	class *class
	item  *queuedUnit
	// recheckAt is when a lagging unit is checked for a replica again.
	recheckAt time.Duration
	// positions holds the positions in the heaps plus one, by unitHeap.kind;
	// zero if the unit is not in the heap.
	positions [heapCount]int
}

// The kinds of unitHeap.
const (
	heapTargets = iota
	heapDeadlines
	heapRechecks
	heapCount
)

// unitHeap orders queued units by one of their times.
type unitHeap struct {
	kind  int
	units []*waitingUnit
}

func (h *unitHeap) at(w *waitingUnit) time.Duration {
	switch h.kind {
	case heapTargets:
		return w.unit.wantedUntil()
	case heapDeadlines:
		return w.unit.Deadline
	default:
		return w.recheckAt
	}
}

func (h *unitHeap) Len() int { return len(h.units) }

func (h *unitHeap) Less(i, j int) bool {
	a, b := h.units[i], h.units[j]
	return cmp.Or(cmp.Compare(h.at(a), h.at(b)), cmp.Compare(a.unit.sequence, b.unit.sequence)) < 0
}

func (h *unitHeap) Swap(i, j int) {
	h.units[i], h.units[j] = h.units[j], h.units[i]
	h.units[i].positions[h.kind] = i + 1
	h.units[j].positions[h.kind] = j + 1
}

func (h *unitHeap) Push(x any) {
	w := x.(*waitingUnit)
	h.units = append(h.units, w)
	w.positions[h.kind] = len(h.units)
}

func (h *unitHeap) Pop() any {
	last := len(h.units) - 1
	w := h.units[last]
	h.units[last] = nil
	h.units = h.units[:last]
	w.positions[h.kind] = 0
	return w
}

func (h *unitHeap) add(w *waitingUnit) { heap.Push(h, w) }

// remove removes the unit if it is in the heap.
func (h *unitHeap) remove(w *waitingUnit) {
	if position := w.positions[h.kind]; position > 0 {
		heap.Remove(h, position-1)
	}
}

// first returns the unit with the earliest time, or nil.
func (h *unitHeap) first() *waitingUnit {
	if len(h.units) == 0 {
		return nil
	}
	return h.units[0]
}

// compareUnits orders the units of a session by deadline. All units without a
// caller belong to one session.
func compareUnits(a, b *waitingUnit) int { return cmp.Compare(a.unit.Deadline, b.unit.Deadline) }

// line returns the queue of the unit's priority and kind, which it creates if
// necessary.
func (g *Group) line(priority int, needsPrimary bool) *line {
	at, found := slices.BinarySearchFunc(g.lines, priority, func(l *line, priority int) int {
		return cmp.Or(cmp.Compare(l.priority, priority), compareKinds(l.needsPrimary, needsPrimary))
	})
	if found {
		return g.lines[at]
	}
	if len(g.lines) >= maxIdleLines {
		g.lines = slices.DeleteFunc(g.lines, func(l *line) bool { return l.running == 0 && l.units.Queued() == 0 })
	}
	created := &line{
		priority: priority, needsPrimary: needsPrimary,
		units: fairqueue.New[model.CallerName, uint64](laneCount, compareUnits),
	}
	g.lines = append(g.lines, created)
	slices.SortFunc(g.lines, func(a, b *line) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), compareKinds(a.needsPrimary, b.needsPrimary))
	})
	return created
}

// compareKinds orders the lines of a priority: first the one whose units need a
// primary.
func compareKinds(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (g *Group) class(unit *Unit) *class {
	key := classKey{route: unit.Route, priority: unit.Priority, needsPrimary: unit.NeedsPrimary, maxAge: unit.MaxAge}
	for _, existing := range g.classes {
		if existing.key == key {
			return existing
		}
	}
	created := &class{key: key, targets: unitHeap{kind: heapTargets}, deadlines: unitHeap{kind: heapDeadlines}}
	g.classes = append(g.classes, created)
	return created
}

// flow returns the state of the unit's caller in a line.
func (l *line) flow(unit *Unit) *callerFlow { return l.units.Flow(unit.Caller, unit.Weight) }

// session returns the session of the unit. Units without a caller have no turns,
// so that their order is that of their deadlines.
func (u *Unit) session() uint64 {
	if u.Caller == "" {
		return 0
	}
	return u.Session
}

// enqueue adds a unit to the queue.
func (g *Group) enqueue(now time.Duration, unit *Unit, late bool) {
	g.lastSequence++
	unit.sequence = g.lastSequence
	line := g.line(unit.Priority, unit.NeedsPrimary)
	w := &waitingUnit{unit: unit, line: line, class: g.class(unit)}
	lane := laneOnTime
	if late {
		lane = laneLate
	}
	w.item = line.units.Push(line.flow(unit), unit.session(), lane, w)
	w.class.deadlines.add(w)
	w.class.lastDeadline = max(w.class.lastDeadline, unit.Deadline)
	if !late {
		w.class.targets.add(w)
	}
	g.waiting[unit] = w
	g.checkLagging(now, w)
}

// dequeue removes a unit from the queue.
func (g *Group) dequeue(w *waitingUnit) {
	w.line.units.Remove(w.item)
	g.forget(w)
}

// forget removes a unit that its line no longer holds from the other indexes.
func (g *Group) forget(w *waitingUnit) {
	w.class.targets.remove(w)
	w.class.deadlines.remove(w)
	g.rechecks.remove(w)
	delete(g.waiting, w.unit)
	if w.line.units.Queued() == 0 {
		w.line.owed = 0
	}
	if w.class.deadlines.Len() == 0 {
		g.classes = slices.DeleteFunc(g.classes, func(c *class) bool { return c == w.class })
	}
}

// Cancel removes a unit from the queue. It reports whether the unit was there.
func (g *Group) Cancel(unit *Unit) bool {
	w := g.waiting[unit]
	if w == nil {
		return false
	}
	g.dequeue(w)
	return true
}

// Waiting returns the number of units in the queue.
func (g *Group) Waiting() int { return len(g.waiting) }

func (w *waitingUnit) isLate() bool {
	return w.item.Lane() == laneLate || w.item.Lane() == laneLateLagging
}

// moveLate moves a unit behind all units that can still be on time.
func (w *waitingUnit) moveLate() {
	w.class.targets.remove(w)
	w.line.units.Move(w.item, lateLane(w.item.Lane()))
}

func lateLane(lane int) int {
	if lane == laneLagging {
		return laneLateLagging
	}
	return laneLate
}

// checkLagging moves a read to the lane of those that wait for a replica to
// catch up, or back.
func (g *Group) checkLagging(now time.Duration, w *waitingUnit) {
	if w.unit.NeedsPrimary {
		return
	}
	g.rechecks.remove(w)
	lagging := g.isLagging(now, w.unit)
	lane := laneOnTime
	switch {
	case w.isLate() && lagging:
		lane = laneLateLagging
	case w.isLate():
		lane = laneLate
	case lagging:
		lane = laneLagging
	}
	w.line.units.Move(w.item, lane)
	if lagging {
		w.recheckAt = now + laggingRecheckInterval
		g.rechecks.add(w)
	}
}
