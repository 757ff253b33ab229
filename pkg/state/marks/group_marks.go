package marks

import (
	"container/list"
	"time"

	"gypsumdock/pkg/state/model"
)

// groupMarks holds the marks of one group.
type groupMarks struct {
	head model.GroupHead
	// floor stands for the writes of sessions without a mark of their own.
	floor model.Mark
	marks map[model.SessionID]*list.Element
	// order holds the entries of marks, the least recently stored first.
	order *list.List
	// lost holds the marks of lost writes whose sessions were not told yet.
	lost map[model.SessionID]model.Mark
	// lostFloor is a floor that did not survive: any session without a mark
	// of its own may have lost a write, and is told so once.
	lostFloor model.Mark
	// lostSince is when lostFloor was noticed.
	lostSince time.Duration
	// toldFloor holds the sessions that were told of lostFloor.
	toldFloor map[model.SessionID]bool
	maxLost   int
	// overflowed counts the marks merged into floor for lack of room.
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

// setGeneration takes a newer generation. Marks that survived are carried over
// to it. The others become lost, and from then on stand for the start of the
// generation: where one was missed, it is not certain that they were lost.
func (g *groupMarks) setGeneration(now time.Duration, head model.GroupHead) {
	if head.Generation <= g.head.Generation {
		return
	}
	g.head = head
	if g.isLost(g.floor) {
		g.lostFloor = g.lostFloor.Max(g.floor)
		g.lostSince = now
		g.toldFloor = make(map[model.SessionID]bool)
	}
	g.floor = g.carryOver(g.floor)
	for at := g.order.Front(); at != nil; at = at.Next() {
		held := at.Value.(entry)
		if g.isLost(held.mark) {
			g.addLost(held)
		}
		held.mark = g.carryOver(held.mark)
		at.Value = held
	}
}

// carryOver returns the mark that stands for an older one in the present
// generation.
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
// of the group's present generation. It is false also where a generation in
// between was missed, so that nothing is known.
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

// lostMark returns the mark up to which the session must be told of a loss.
func (g *groupMarks) lostMark(session model.SessionID) (model.Mark, bool) {
	lost, found := g.lost[session]
	if !g.lostFloor.IsZero() && !g.toldFloor[session] {
		return lost.Max(g.lostFloor), true
	}
	return lost, found
}

func (g *groupMarks) told(session model.SessionID, mark model.Mark) {
	if lost, found := g.lost[session]; found && !mark.Before(lost) {
		delete(g.lost, session)
	}
	if g.lostFloor.IsZero() || mark.Before(g.lostFloor) {
		return
	}
	if len(g.toldFloor) >= g.maxLost {
		g.lostFloor, g.toldFloor = model.Mark{}, nil
		g.overflowed++
		return
	}
	g.toldFloor[session] = true
}

// floorLossMemory is how long sessions are told of a lost floor. Later most
// sessions without a mark have come since, and lost nothing.
const floorLossMemory = time.Hour

func (g *groupMarks) expireLostFloor(now time.Duration) {
	if now >= g.lostSince+floorLossMemory {
		g.lostFloor, g.toldFloor = model.Mark{}, nil
	}
}

func (g *groupMarks) raiseFloor(at model.Mark) { g.floor = g.floor.Max(at) }

func (g *groupMarks) store(session model.SessionID, mark model.Mark, limit int) {
	at, found := g.marks[session]
	if !found {
		g.makeRoom(limit)
		g.marks[session] = g.order.PushBack(entry{session: session, mark: mark})
		return
	}
	held := at.Value.(entry)
	if held.mark.Before(mark) {
		at.Value = entry{session: session, mark: mark}
		g.order.MoveToBack(at)
	}
}

// makeRoom merges the oldest marks into the floor while there are limit.
func (g *groupMarks) makeRoom(limit int) {
	for g.order.Len() >= max(limit, 1) {
		oldest := g.order.Front()
		g.raiseFloor(oldest.Value.(entry).mark)
		g.remove(oldest)
		g.overflowed++
	}
}

func (g *groupMarks) remove(at *list.Element) {
	delete(g.marks, at.Value.(entry).session)
	g.order.Remove(at)
}

func (g *groupMarks) answer(session model.SessionID) model.Mark {
	at, found := g.marks[session]
	if !found {
		return g.floor
	}
	return g.floor.Max(at.Value.(entry).mark)
}

// drop removes the marks that every replica in use has passed. It stops at the
// first mark that is newer; one stored out of order waits for its turn. A
// position of a generation that is not known yet is ignored: marks of the
// earlier one may be lost, which the new generation's start will tell.
func (g *groupMarks) drop(passed model.Mark) {
	if passed.Generation > g.head.Generation {
		return
	}
	for at := g.order.Front(); at != nil; at = g.order.Front() {
		if passed.Before(at.Value.(entry).mark) {
			break
		}
		g.remove(at)
	}
	if !passed.Before(g.floor) {
		g.floor = model.Mark{}
	}
}
