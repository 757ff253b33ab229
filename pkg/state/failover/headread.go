package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// reads schedules the reads of the head row and records their results.
type reads struct {
	sentAt time.Duration
	// waiting is true while the last read has not been answered.
	waiting bool
	started bool
	// wanted asks for a read before ReadInterval has passed.
	wanted bool
	// lastOKStart is the start of the newest request that the table answered,
	// and everOK whether there was any.
	lastOKStart time.Duration
	everOK      bool
	// answeredAt is when the newest answer arrived, and answeringSince when the
	// first one did after which there was neither a failure nor a long silence.
	answeredAt     time.Duration
	answeringSince time.Duration
	// failed is true if the newest result was a failure.
	failed bool
}

// decideReads starts a read of the head row if one is due. After a failure the
// next read waits for ResendInterval, as a table that turns this instance away
// answers at once.
func (m *Machine) decideReads() {
	if !m.needsReads() {
		return
	}
	since := m.now - m.reads.sentAt
	if m.reads.started && m.reads.waiting && since < m.cfg.ReadTimeout {
		return
	}
	if m.reads.started && m.reads.failed && since < m.cfg.ResendInterval {
		return
	}
	unknown := m.head == nil && m.reads.failed
	due := !m.reads.started || m.reads.wanted || unknown || since >= m.cfg.ReadInterval
	if !due {
		return
	}
	m.reads.started = true
	m.reads.waiting = true
	m.reads.wanted = false
	m.reads.sentAt = m.now
	m.emit(ReadHead{})
}

// needsReads reports whether this instance reads the table itself. An observer
// gets the row from a member unless too few of these are able to serve, and an
// instance that just started waits for a peer that knows the row.
func (m *Machine) needsReads() bool {
	if m.head == nil {
		return m.now-m.startedAt >= m.cfg.FirstReadDelay
	}
	return !m.isObserver() || m.lacksUsableMembers()
}

func (m *Machine) headRead(event HeadRead) {
	if event.StartedAt >= m.reads.sentAt {
		m.reads.waiting = false
	}
	if event.Failed {
		m.reads.failed = true
		return
	}
	head := event.Head
	if head == nil {
		head = &model.Head{}
	}
	m.tableAnswered(event.StartedAt, head)
}

// tableAnswered handles a row that the table returned to a read or write of
// this instance. The request started at startedAt.
func (m *Machine) tableAnswered(startedAt time.Duration, head *model.Head) {
	if m.reads.failed || !m.reads.everOK || m.now-m.reads.answeredAt > 2*m.cfg.ReadInterval {
		m.reads.answeringSince = m.now
	}
	m.reads.failed = false
	m.reads.answeredAt = m.now
	if startedAt >= m.reads.lastOKStart {
		m.reads.lastOKStart = startedAt
		m.reads.everOK = true
	}
	m.adoptHead(head)
	m.resolveWrite(startedAt, head)
	if head.Version != m.head.Version {
		return
	}
	m.headReadAt = max(m.headReadAt, startedAt)
	from := startedAt
	if m.cfg.Rules.PermitFromAnswer {
		from = m.now
	}
	m.renewPermits(from)
}

// adoptHead makes head the newest known row, if it is newer.
func (m *Machine) adoptHead(head *model.Head) {
	if head == nil {
		return
	}
	if m.head != nil && head.Version == m.head.Version {
		return
	}
	if m.head != nil && head.Version < m.head.Version && !m.cfg.Rules.AcceptOldHead {
		return
	}
	if m.head != nil {
		m.reportMembers(m.head, head)
	}
	m.head = head
	m.indexGroups()
	m.headReadAt = 0
	m.tracker.SetMembers(m.now, head.Members)
	m.membership.applyHead(m)
	m.applyHead()
}

// indexGroups rebuilds groupIndex for the newest known row.
func (m *Machine) indexGroups() {
	m.groupIndex = make(map[model.GroupID]int, len(m.head.Groups))
	for i, gh := range m.head.Groups {
		m.groupIndex[gh.ID] = i
	}
}

// groupHead returns the group's state in the newest known row.
func (m *Machine) groupHead(id model.GroupID) (model.GroupHead, bool) {
	i, found := m.groupIndex[id]
	if !found {
		return model.GroupHead{}, false
	}
	return m.head.Groups[i], true
}

// applyHead updates every group to the newest known row.
func (m *Machine) applyHead() {
	for _, g := range m.groups {
		gh, found := m.groupHead(g.id)
		if found {
			m.applyGroupHead(g, gh)
		}
	}
}

func (m *Machine) headChanged(message HeadChanged) {
	if m.head == nil || message.Version > m.head.Version {
		m.reads.wanted = true
	}
}

// isHeadFresh reports whether the table has returned the newest known row to a
// request that started after the last pause of the process. If not, it asks for
// a read.
func (m *Machine) isHeadFresh() bool {
	if m.headReadAt == 0 || m.headReadAt < m.pausedUntil {
		m.reads.wanted = true
		return false
	}
	return true
}

// isPlatformReachable reports whether the table has answered within
// PlatformReachableFor, and the newest request has not failed.
func (m *Machine) isPlatformReachable() bool {
	return m.reads.everOK && !m.reads.failed && m.now-m.reads.answeredAt < m.cfg.PlatformReachableFor
}
