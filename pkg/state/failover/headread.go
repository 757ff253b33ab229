package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// reads schedules the reads of the head row.
type reads struct {
	sentAt time.Duration
	// waiting is true while the last read has no answer.
	waiting bool
	started bool
	// wanted asks for a read before the interval has passed.
	wanted bool
	// okStart is the start of the newest read that was answered.
	okStart time.Duration
	ok      bool
	// answeredAt is when the newest answer came.
	answeredAt time.Duration
	// failed is true when the newest answer was a failure.
	failed bool
}

func (m *Machine) decideReads() {
	since := m.now - m.reads.sentAt
	if m.reads.started && m.reads.waiting && since < m.cfg.ReadTimeout {
		return
	}
	unknown := m.head == nil && m.reads.failed && since >= m.cfg.ResendInterval
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

// tableAnswered takes a row that the table returned to a request of this
// instance which started at startedAt.
func (m *Machine) tableAnswered(startedAt time.Duration, head *model.Head) {
	m.reads.failed = false
	m.reads.answeredAt = m.now
	if startedAt >= m.reads.okStart {
		m.reads.okStart = startedAt
		m.reads.ok = true
	}
	m.adopt(head)
	m.settleWrite(startedAt, head)
	if head.Version != m.head.Version {
		return
	}
	m.headFresh = max(m.headFresh, startedAt)
	from := startedAt
	if m.cfg.Rules.PermitFromAnswer {
		from = m.now
	}
	m.renewPermits(from)
}

// adopt takes head if it is newer than the newest known row.
func (m *Machine) adopt(head *model.Head) {
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
	m.headFresh = 0
	m.tracker.SetMembers(m.now, head.Members)
	m.member.follow(m)
	m.followHead()
}

// indexGroups remembers the place of each group in the newest known row.
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

// followHead brings every group in line with the newest known row.
func (m *Machine) followHead() {
	for _, g := range m.groups {
		gh, found := m.groupHead(g.id)
		if found {
			m.followGroup(g, gh)
		}
	}
}

func (m *Machine) headChanged(message HeadChanged) {
	if m.head == nil || message.Version > m.head.Version {
		m.reads.wanted = true
	}
}

// isFresh reports whether a table read that started after the last pause of the
// process found the row that the machine knows.
func (m *Machine) isFresh() bool {
	if m.headFresh == 0 || m.headFresh < m.pausedUntil {
		m.reads.wanted = true
		return false
	}
	return true
}

// isPlatformReachable reports whether the table has answered lately, and has
// not failed since.
func (m *Machine) isPlatformReachable() bool {
	return m.reads.ok && !m.reads.failed && m.now-m.reads.answeredAt < m.cfg.PlatformReachableFor
}
