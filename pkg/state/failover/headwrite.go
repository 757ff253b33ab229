package failover

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

// edit changes a private copy of the head row.
type edit func(*model.Head)

// edits collects the changes of one pass of decisions. They are written
// together, in one conditional write.
type edits struct{ list []edit }

func (e *edits) add(change edit) { e.list = append(e.list, change) }

// addGroup adds a change of the group with the given ID.
func (e *edits) addGroup(id model.GroupID, change func(*model.GroupHead)) {
	e.add(func(head *model.Head) {
		for i := range head.Groups {
			if head.Groups[i].ID == id {
				change(&head.Groups[i])
			}
		}
	})
}

// writes tracks the conditional write of the head row, of which at most one is
// in flight. Its effect is never assumed: the row that is read back decides
// what to do next. A write that is executed late does no harm, since it applies
// only to the row version from which it was derived.
type writes struct {
	lastOp  uint64
	pending *pendingWrite
	// conflicts counts the successive writes that failed because another
	// instance had written first. After each, notBefore delays the next write.
	conflicts int
	notBefore time.Duration
}

type pendingWrite struct {
	op        uint64
	ifVersion model.RowVersion
	sentAt    time.Duration
	// unknownAt is when the outcome became unknown, if unknown is true.
	unknownAt time.Duration
	unknown   bool
}

// writeHead starts a write of the changes unless one is in flight, the writer
// backs off, or the platform is unreachable. Changes that are not written are
// decided again later.
func (m *Machine) writeHead(changes edits) {
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

// hasReadSinceConflict reports whether the row was read after the backoff that
// follows a conflict. The row that the conflict returned is out of date by
// then, so a write based on it would most likely conflict again.
func (m *Machine) hasReadSinceConflict() bool {
	if m.writes.conflicts == 0 || m.headReadAt >= m.writes.notBefore {
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
	m.markWriteUnknown(pending)
}

// markWriteUnknown records that the outcome of a write is not known, and asks
// for a read that resolves it.
func (m *Machine) markWriteUnknown(pending *pendingWrite) {
	pending.unknown = true
	pending.unknownAt = m.now
	m.reads.wanted = true
	m.decideReads()
}

func (m *Machine) headWritten(event HeadWritten) {
	pending := m.writes.pending
	if pending == nil || pending.op != event.Op {
		if event.Outcome != WriteUnknown {
			m.adoptHead(event.Head)
		}
		return
	}
	if event.Outcome == WriteUnknown {
		m.markWriteUnknown(pending)
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

// backOff sets the time before the next write after a conflict. A hash of the
// instance ID spreads the writers, since a random source would make the machine
// non-deterministic.
func (m *Machine) backOff(outcome WriteOutcome) {
	if outcome == WriteApplied {
		m.writes.conflicts = 0
		return
	}
	m.writes.conflicts++
	slots := uint64(1) << min(m.writes.conflicts, maxWriteBackoffAttempts)
	if m.head != nil && !m.membership.registered {
		// All instances may be registering at once.
		slots = max(slots, uint64(len(m.head.Members)))
	}
	slot := xxhash.Sum64String(string(m.self)+string(rune('a'+m.writes.conflicts))) % slots
	m.writes.notBefore = m.now + time.Duration(slot)*writeBackoffUnit
}

// resolveWrite ends a write of unknown outcome once a read that started later
// has been answered, or the row has a newer version.
func (m *Machine) resolveWrite(startedAt time.Duration, head *model.Head) {
	pending := m.writes.pending
	if pending == nil {
		return
	}
	readAfter := pending.unknown && startedAt >= pending.unknownAt
	if readAfter || head.Version > pending.ifVersion && pending.unknown {
		m.writes.pending = nil
	}
}

// rank returns this instance's place, from 0, among the members that are heard
// from. The order is pseudo-random and differs from key to key. skip is not
// counted.
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

// serverRank returns this instance's place, from 0, among the members that serve
// the group and are heard from. Without a list of servers all members serve it,
// in the pseudo-random order of duty. skip is not counted.
func (m *Machine) serverRank(g *group, duty string, skip model.InstanceID) int {
	if len(g.servers) == 0 {
		return m.rank(duty+string(g.id), skip)
	}
	rank := 0
	for _, id := range g.servers {
		if id == m.self {
			return rank
		}
		if id != skip && m.tracker.IsResponsive(m.now, id) {
			rank++
		}
	}
	return rank
}

func sortGroups(groups []*group) {
	sort.Slice(groups, func(i, j int) bool { return groups[i].id < groups[j].id })
}
