package marks

import (
	"container/list"
	"time"

	"gypsumdock/pkg/state/model"
)

// groupMarks holds the marks of one group.
type groupMarks struct {
	head model.GroupHead
	// floor stands for the writes of all sessions without an entry in marks.
	floor model.Mark
	marks map[model.SessionID]*list.Element
	// order holds the entries of marks, the least recently stored first.
	order *list.List
	// lost holds the lost marks whose sessions have not been told yet.
	lost map[model.SessionID]model.Mark
	// lostFloor is a floor that did not survive a change of primary, or zero.
	// Any session that the floor stood for may have lost a write, so each
	// session is told once.
	lostFloor model.Mark
	// lostFloorAt is when lostFloor was set.
	lostFloorAt time.Duration
	// reportedTo holds the sessions that have been told of lostFloor.
	reportedTo map[model.SessionID]bool
	maxLost    int
	// overflowed counts what did not fit: marks merged into floor, lost marks
	// that were dropped, and lost floors that are no longer reported.
	overflowed int
}

type entry struct {
	session model.SessionID
	mark    model.Mark
}

func newGroupMarks(maxLost int) *groupMarks {
	return &groupMarks{
		marks:   make(map[model.SessionID]*list.Element),
		order:   list.New(),
		lost:    make(map[model.SessionID]model.Mark),
		maxLost: maxLost,
	}
}

// setGeneration applies a newer generation. Marks of writes that survived move
// to it with their LSN. The others are added to lost and replaced by the start
// of the generation, because if a generation was missed their writes may have
// survived after all.
func (g *groupMarks) setGeneration(now time.Duration, head model.GroupHead) {
	if head.Generation <= g.head.Generation {
		return
	}
	g.head = head
	if g.isLost(g.floor) {
		g.lostFloor = g.lostFloor.Max(g.floor)
		g.lostFloorAt = now
		g.reportedTo = make(map[model.SessionID]bool)
	}
	g.floor = g.carryOver(g.floor)
	for element := g.order.Front(); element != nil; element = element.Next() {
		held := element.Value.(entry)
		if g.isLost(held.mark) {
			g.addLost(held)
		}
		held.mark = g.carryOver(held.mark)
		element.Value = held
	}
}

// carryOver translates a mark of an older generation to the current one.
func (g *groupMarks) carryOver(mark model.Mark) model.Mark {
	switch {
	case mark.IsZero():
		return mark
	case g.isLost(mark):
		return model.Mark{Generation: g.head.Generation, LSN: g.head.StartLSN}
	}
	return model.Mark{Generation: g.head.Generation, LSN: mark.LSN}
}

// Survived reports whether a write with the given mark is part of the history
// of the group's current generation. It also returns false if a generation in
// between was missed, because the outcome is then unknown.
func Survived(mark model.Mark, head model.GroupHead) bool {
	switch {
	case mark.IsZero() || mark.Generation >= head.Generation:
		return true
	case mark.Generation+1 == head.Generation:
		return mark.LSN <= head.StartLSN
	}
	return false
}

func (g *groupMarks) isLost(mark model.Mark) bool { return !Survived(mark, g.head) }

func (g *groupMarks) addLost(e entry) {
	known, found := g.lost[e.session]
	if !found && len(g.lost) >= g.maxLost {
		g.overflowed++
		return
	}
	g.lost[e.session] = e.mark.Max(known)
}

// lostMark returns the mark up to which writes of the session may be lost, if
// the session has yet to be told.
func (g *groupMarks) lostMark(session model.SessionID) (model.Mark, bool) {
	lost, found := g.lost[session]
	if !g.lostFloor.IsZero() && !g.reportedTo[session] {
		return lost.Max(g.lostFloor), true
	}
	return lost, found
}

// lossReported records that the session was told of the loss of its writes up
// to mark.
func (g *groupMarks) lossReported(session model.SessionID, mark model.Mark) {
	if lost, found := g.lost[session]; found && !mark.Before(lost) {
		delete(g.lost, session)
	}
	if g.lostFloor.IsZero() || mark.Before(g.lostFloor) {
		return
	}
	if len(g.reportedTo) >= g.maxLost {
		g.lostFloor, g.reportedTo = model.Mark{}, nil
		g.overflowed++
		return
	}
	g.reportedTo[session] = true
}

// lostFloorRetention is how long sessions are told of a lost floor. After that,
// most sessions without a mark have started since the loss and lost nothing.
const lostFloorRetention = time.Hour

func (g *groupMarks) expireLostFloor(now time.Duration) {
	if now >= g.lostFloorAt+lostFloorRetention {
		g.lostFloor, g.reportedTo = model.Mark{}, nil
	}
}

func (g *groupMarks) raiseFloor(position model.Mark) { g.floor = g.floor.Max(position) }

func (g *groupMarks) store(session model.SessionID, mark model.Mark, limit int) {
	element, found := g.marks[session]
	if !found {
		g.makeRoom(limit)
		g.marks[session] = g.order.PushBack(entry{session: session, mark: mark})
		return
	}
	held := element.Value.(entry)
	if held.mark.Before(mark) {
		element.Value = entry{session: session, mark: mark}
		g.order.MoveToBack(element)
	}
}

// makeRoom merges the oldest marks into the floor until there are fewer than
// limit (at least one).
func (g *groupMarks) makeRoom(limit int) {
	for g.order.Len() >= max(limit, 1) {
		oldest := g.order.Front()
		g.raiseFloor(oldest.Value.(entry).mark)
		g.remove(oldest)
		g.overflowed++
	}
}

func (g *groupMarks) remove(element *list.Element) {
	delete(g.marks, element.Value.(entry).session)
	g.order.Remove(element)
}

// lookup returns the mark that a replica must have applied to serve the
// session's reads.
func (g *groupMarks) lookup(session model.SessionID) model.Mark {
	element, found := g.marks[session]
	if !found {
		return g.floor
	}
	return g.floor.Max(element.Value.(entry).mark)
}

// removeApplied removes the marks up to the low watermark, which every replica
// in use has applied. It stops at the first newer mark in storing order, so an
// older mark that was stored later remains until that one is removed. A
// watermark of a generation that is not known yet is ignored: until the start
// of that generation is known, marks of the earlier one may be lost.
func (g *groupMarks) removeApplied(watermark model.Mark) {
	if watermark.Generation > g.head.Generation {
		return
	}
	for element := g.order.Front(); element != nil; element = g.order.Front() {
		if watermark.Before(element.Value.(entry).mark) {
			break
		}
		g.remove(element)
	}
	if !watermark.Before(g.floor) {
		g.floor = model.Mark{}
	}
}
