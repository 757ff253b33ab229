package failover

import (
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

// membership is the state of this instance's own registration and of the
// evictions of others.
type membership struct {
	// stopping is true after StopRequested, and finished after StopFinished.
	stopping bool
	finished bool
	// vacantSince is when the row was found to have a vacancy for this
	// instance; zero while it has none. vacant tells the two apart at time zero.
	vacantSince time.Duration
	vacant      bool
	// usable is the number of members that this observer found able to serve,
	// if reported is true.
	usable   int
	reported bool
	// registered is true while the newest known row lists this instance.
	registered bool
	// registeredAt is when this instance first read a row with its
	// registration, and registeredVersion the version of that row.
	registeredAt      time.Duration
	registeredVersion model.RowVersion
	// established is defined in the package documentation.
	established bool
	// confirmed is true once an established member has confirmed that it knows
	// a row with this registration, and confirmedAt is when. askedAt is when
	// the members were last asked.
	confirmed   bool
	confirmedAt time.Duration
	askedAt     time.Duration
	// goneSince holds, for each member in state members.Gone, when it was first
	// found in it.
	goneSince map[model.InstanceID]time.Duration
	// evictions holds the evicted members that the head row still lists.
	evictions map[model.InstanceID]eviction
}

// reportMembers reports which members joined and which were removed between two
// rows.
func (m *Machine) reportMembers(before, after *model.Head) {
	for _, member := range after.Members {
		if _, known := before.Member(member.ID); !known {
			m.report(ReportMemberJoined, "", string(member.ID))
		}
	}
	for _, member := range before.Members {
		if _, still := after.Member(member.ID); !still {
			m.report(ReportMemberRemoved, "", string(member.ID))
		}
	}
}

// applyHead updates the membership state to the newest known row.
func (s *membership) applyHead(m *Machine) {
	s.applyOwnEntry(m)
	evictions := map[model.InstanceID]eviction{}
	for _, member := range m.head.Members {
		if member.Evicted == 0 {
			continue
		}
		known := s.evictions[member.ID]
		if known.membersVersion != member.Evicted {
			known = eviction{membersVersion: member.Evicted, learnedAt: m.now}
		}
		evictions[member.ID] = known
	}
	s.evictions = evictions
}

// applyOwnEntry updates the state of this instance's registration. The first
// member of a region is established at once, since no permit can be older than
// its registration.
func (s *membership) applyOwnEntry(m *Machine) {
	_, found := m.head.Member(m.self)
	if !found {
		s.registered = false
		s.established = false
		s.confirmed = false
		return
	}
	if s.registered {
		return
	}
	s.registered = true
	s.registeredAt = m.now
	s.registeredVersion = m.head.Version
	first := m.head.MembersVersion == 1 && len(m.head.Members) == 1
	s.established = first || m.cfg.Rules.EstablishedAtOnce
}

func (m *Machine) decideMembership(changes *edits) {
	m.decideRegistration(changes)
	m.decideEstablished()
	if m.membership.established && m.isPlatformReachable() {
		m.decideEvictions(changes)
	}
}

// decideRegistration writes this instance's entry in the head row if it is
// missing or differs, and removes it after StopFinished.
func (m *Machine) decideRegistration(changes *edits) {
	wanted := m.cfg.Self
	wanted.Leaving = m.membership.stopping
	wanted.Evicted = 0
	current, found := m.head.Member(m.self)
	if m.membership.finished {
		if found {
			changes.add(func(head *model.Head) { removeMember(head, m.self) })
		}
		return
	}
	if found && current == wanted {
		return
	}
	if !found && (m.isObserver() || !m.hasReadForRegistration()) {
		return
	}
	changes.add(func(head *model.Head) { setMember(head, wanted) })
}

// hasReadForRegistration reports whether the row was read recently enough for a
// registration. An observer does not follow the row, so a write that is based on
// what it knows would most likely conflict with that of another one.
func (m *Machine) hasReadForRegistration() bool {
	if m.cfg.MaxMembers == 0 || m.headReadAt != 0 && m.now-m.headReadAt <= maxRegistrationReadAge {
		return true
	}
	m.reads.wanted = true
	m.decideReads()
	return false
}

// updateVacancy records since when the newest known row has a vacancy for this
// instance.
func (m *Machine) updateVacancy() {
	s := &m.membership
	vacant := m.hasVacancy()
	if vacant && !s.vacant {
		s.vacantSince = m.now
	}
	s.vacant = vacant
}

// hasVacancy reports whether the newest known row has fewer members than this
// instance accepts as enough, or too few that are able to serve.
func (m *Machine) hasVacancy() bool {
	return m.cfg.MaxMembers == 0 || m.activeMembers() < m.cfg.MaxMembers || m.lacksUsableMembers()
}

// lacksUsableMembers reports whether fewer than MinMembers are able to serve,
// although the row lists more.
func (m *Machine) lacksUsableMembers() bool {
	return m.membership.reported && m.membership.usable < m.cfg.MinMembers
}

// activeMembers returns the number of members that neither leave nor are
// evicted.
func (m *Machine) activeMembers() int {
	count := 0
	for _, member := range m.head.Members {
		if !member.Leaving && member.Evicted == 0 {
			count++
		}
	}
	return count
}

// isObserver reports whether this instance knows a row but does not register:
// the row has no vacancy, or has not had it for long enough. One that replaces
// an earlier process of its machine needs no vacancy.
func (m *Machine) isObserver() bool {
	if m.head == nil {
		return false
	}
	for _, member := range m.head.Members {
		if member.ID == m.self || member.Machine != "" && member.Machine == m.cfg.Self.Machine {
			return false
		}
	}
	s := &m.membership
	if s.stopping || s.finished || !s.vacant {
		return true
	}
	since := s.vacantSince
	if m.cfg.MaxMembers > 0 && m.activeMembers() >= m.cfg.MaxMembers {
		// The members that are cut off may be about to return, for example after
		// an outage of the table.
		if !m.isPlatformReachable() {
			return true
		}
		since = max(since, m.reads.answeringSince+replaceDelay)
	}
	return m.now-since < m.joinDelay()
}

// joinDelay returns how long a vacancy must have lasted before this instance
// registers.
func (m *Machine) joinDelay() time.Duration {
	if m.activeMembers() < m.cfg.MinMembers || m.lacksUsableMembers() {
		return m.cfg.UrgentJoinDelay
	}
	return m.cfg.JoinDelay
}

// decideEstablished makes this instance established once every permit from
// before its registration has expired. That takes permitExpiryWait after the
// confirmation of an established member or, without one, promiseExpiryWait
// after the registration.
func (m *Machine) decideEstablished() {
	s := &m.membership
	if !s.registered || s.established {
		return
	}
	byConfirmation := s.confirmed && m.now-s.confirmedAt >= m.cfg.permitExpiryWait()
	byTime := m.now-s.registeredAt >= m.cfg.promiseExpiryWait()
	if byConfirmation || byTime {
		s.established = true
		return
	}
	if !s.confirmed && (s.askedAt == 0 || m.now-s.askedAt >= m.cfg.MembershipRetryInterval) {
		s.askedAt = m.now
		m.sendMembers(AdoptionAsked{HeadVersion: s.registeredVersion})
	}
}

// unansweredRequests is the number of AdoptionAsked messages without an answer after
// which no member is taken to be established.
const unansweredRequests = 2

// expectsEstablished reports whether this instance is not established but another
// member may be: one has confirmed, or there was no time yet for all to answer. After
// a restart of all instances none is.
func (m *Machine) expectsEstablished() bool {
	s := &m.membership
	if s.established {
		return false
	}
	return s.confirmed || m.now-s.registeredAt < unansweredRequests*m.cfg.MembershipRetryInterval
}

func (m *Machine) adoptionAsked(from model.InstanceID, message AdoptionAsked) {
	if m.head == nil || !m.membership.established {
		return
	}
	if m.head.Version < message.HeadVersion {
		m.headChanged(HeadChanged{Version: message.HeadVersion})
		return
	}
	m.send(from, AdoptionConfirmed(message))
}

func (m *Machine) adoptionConfirmed(message AdoptionConfirmed) {
	s := &m.membership
	if !s.registered || s.confirmed || message.HeadVersion < s.registeredVersion {
		return
	}
	s.confirmed = true
	s.confirmedAt = m.now
}

func setMember(head *model.Head, member model.Member) {
	head.MembersVersion++
	for i := range head.Members {
		if head.Members[i].ID == member.ID {
			head.Members[i] = member
			return
		}
	}
	head.Members = append(withoutPredecessor(head.Members, member), member)
	sort.Slice(head.Members, func(i, j int) bool { return head.Members[i].ID < head.Members[j].ID })
}

// withoutPredecessor returns all without an earlier process on the same machine
// as member. That process has ended, so it holds no permit and will confirm
// nothing.
func withoutPredecessor(all []model.Member, member model.Member) []model.Member {
	kept := make([]model.Member, 0, len(all))
	for _, other := range all {
		if member.Machine == "" || other.Machine != member.Machine {
			kept = append(kept, other)
		}
	}
	return kept
}
