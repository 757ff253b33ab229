package failover

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

// edit changes a private copy of the head row.
type edit func(*model.Head)

// edits collects the changes that one decision round asks for. They go into one
// conditional put.
type edits struct{ list []edit }

func (e *edits) add(change edit) { e.list = append(e.list, change) }

// addGroup adds a change of the group named id.
func (e *edits) addGroup(id model.GroupID, change func(*model.GroupHead)) {
	e.add(func(head *model.Head) {
		for i := range head.Groups {
			if head.Groups[i].ID == id {
				change(&head.Groups[i])
			}
		}
	})
}

// writes holds the one conditional put that may be in flight. Its outcome is
// found in the row itself: decisions are taken anew from what is read back. A
// put that lands late does no harm, since it lands only on the row version for
// which it was decided.
type writes struct {
	lastOp  uint64
	pending *pendingWrite
	// conflicts counts the puts lost in a row to other writers.
	conflicts int
	notBefore time.Duration
}

type pendingWrite struct {
	op        uint64
	ifVersion model.RowVersion
	sentAt    time.Duration
	// unknownAt is when the outcome became unknown.
	unknownAt time.Duration
	unknown   bool
}

func (m *Machine) write(changes edits) {
	m.expireWrite()
	if len(changes.list) == 0 || m.writes.pending != nil || m.now < m.writes.notBefore {
		return
	}
	if !m.isPlatformReachable() || !m.hasReadSinceConflict() {
		return
	}
	head := m.head.Clone()
	for _, change := range changes.list {
		change(head)
	}
	m.writes.lastOp++
	m.writes.pending = &pendingWrite{op: m.writes.lastOp, ifVersion: m.head.Version, sentAt: m.now}
	m.emit(WriteHead{Op: m.writes.lastOp, IfVersion: m.head.Version, Head: head})
}

// hasReadSinceConflict reports whether the row was read after the pause that
// follows a conflict. What the conflict returned is old by then, and a put on it
// would most likely be lost to another writer too.
func (m *Machine) hasReadSinceConflict() bool {
	if m.writes.conflicts == 0 || m.headFresh >= m.writes.notBefore {
		return true
	}
	m.reads.wanted = true
	m.decideReads()
	return false
}

func (m *Machine) expireWrite() {
	pending := m.writes.pending
	if pending == nil || pending.unknown || m.now-pending.sentAt < m.cfg.WriteTimeout {
		return
	}
	m.markUnknown(pending)
}

func (m *Machine) markUnknown(pending *pendingWrite) {
	pending.unknown = true
	pending.unknownAt = m.now
	m.reads.wanted = true
	m.decideReads()
}

func (m *Machine) headWritten(event HeadWritten) {
	pending := m.writes.pending
	if pending == nil || pending.op != event.Op {
		if event.Outcome != WriteUnknown {
			m.adopt(event.Head)
		}
		return
	}
	if event.Outcome == WriteUnknown {
		m.markUnknown(pending)
		return
	}
	m.writes.pending = nil
	m.backOff(event.Outcome)
	head := event.Head
	if head == nil {
		head = &model.Head{}
	}
	m.tableAnswered(pending.sentAt, head)
	if event.Outcome == WriteApplied {
		m.sendMembers(HeadChanged{Version: head.Version})
	}
}

// backOff spreads the next puts of writers that collide.
func (m *Machine) backOff(outcome WriteOutcome) {
	if outcome == WriteApplied {
		m.writes.conflicts = 0
		return
	}
	m.writes.conflicts++
	slots := uint64(1) << min(m.writes.conflicts, maxWriteBackoffAttempts)
	if m.head != nil && !m.member.registered {
		// All instances may be starting at once.
		slots = max(slots, uint64(len(m.head.Members)))
	}
	slot := xxhash.Sum64String(string(m.self)+string(rune('a'+m.writes.conflicts))) % slots
	m.writes.notBefore = m.now + time.Duration(slot)*writeBackoffUnit
}

// settleWrite ends a put of unknown outcome once a read that started later has
// been answered, or the row has moved on.
func (m *Machine) settleWrite(startedAt time.Duration, head *model.Head) {
	pending := m.writes.pending
	if pending == nil {
		return
	}
	readAfter := pending.unknown && startedAt >= pending.unknownAt
	if readAfter || head.Version > pending.ifVersion && pending.unknown {
		m.writes.pending = nil
	}
}

// rank returns the place of this instance among the heard members, in an order
// that differs from key to key. skip is left out.
func (m *Machine) rank(key string, skip model.InstanceID) int {
	rank := 0
	own := xxhash.Sum64String(key + string(m.self))
	for _, member := range m.head.Members {
		if member.ID == m.self || member.ID == skip || !m.tracker.IsResponsive(m.now, member.ID) {
			continue
		}
		if xxhash.Sum64String(key+string(member.ID)) < own {
			rank++
		}
	}
	return rank
}

func sortGroups(groups []*group) {
	sort.Slice(groups, func(i, j int) bool { return groups[i].id < groups[j].id })
}
