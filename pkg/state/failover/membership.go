package failover

import (
	"sort"
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// membership is this instance's own registration and what it does about others.
type membership struct {
	stopping bool
	finished bool
	// registered is true while the newest known row lists this instance.
	registered   bool
	registeredAt time.Duration
	version      model.RowVersion
	// established is explained in the package documentation.
	established bool
	confirmed   bool
	confirmedAt time.Duration
	askedAt     time.Duration
	// goneSince holds when each member that is Gone was first found so.
	goneSince map[model.InstanceID]time.Duration
	evictions map[model.InstanceID]eviction
}

// eviction records when this instance learned of an eviction.
type eviction struct {
	mark      uint64
	learnedAt time.Duration
}

// reportMembers reports the differences between two rows' members.
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

// follow brings the record in line with the newest known row.
func (s *membership) follow(m *Machine) {
	s.followOwn(m)
	evictions := map[model.InstanceID]eviction{}
	for _, member := range m.head.Members {
		if member.Evicted == 0 {
			continue
		}
		known := s.evictions[member.ID]
		if known.mark != member.Evicted {
			known = eviction{mark: member.Evicted, learnedAt: m.now}
		}
		evictions[member.ID] = known
	}
	s.evictions = evictions
}

func (s *membership) followOwn(m *Machine) {
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
	s.version = m.head.Version
	first := m.head.MembersVersion == 1 && len(m.head.Members) == 1
	s.established = first || m.cfg.Rules.EstablishedAtOnce
}

func (m *Machine) decideMembership(changes *edits) {
	m.decideRegistration(changes)
	m.decideEstablished()
	if m.member.established && m.isPlatformReachable() {
		m.decideEvictions(changes)
	}
}

// decideRegistration keeps this instance's own entry in the row as it should be.
func (m *Machine) decideRegistration(changes *edits) {
	wanted := m.cfg.Self
	wanted.Leaving = m.member.stopping
	wanted.Evicted = 0
	current, found := m.head.Member(m.self)
	if m.member.finished {
		if found {
			changes.add(func(head *model.Head) { removeMember(head, m.self) })
		}
		return
	}
	if found && current == wanted {
		return
	}
	changes.add(func(head *model.Head) { setMember(head, wanted) })
}

// decideEstablished asks the older members for a confirmation, and counts the
// time after which no permit from before the registration is left.
func (m *Machine) decideEstablished() {
	s := &m.member
	if !s.registered || s.established {
		return
	}
	byConfirmation := s.confirmed && m.now-s.confirmedAt >= m.cfg.confirmWait()
	byTime := m.now-s.registeredAt >= m.cfg.promiseWait()
	if byConfirmation || byTime {
		s.established = true
		return
	}
	if !s.confirmed && (s.askedAt == 0 || m.now-s.askedAt >= m.cfg.MembershipRetryInterval) {
		s.askedAt = m.now
		m.sendMembers(AdoptionAsked{HeadVersion: s.version})
	}
}

func (m *Machine) adoptionAsked(from model.InstanceID, message AdoptionAsked) {
	if m.head == nil || !m.member.established {
		return
	}
	if m.head.Version < message.HeadVersion {
		m.headChanged(HeadChanged{Version: message.HeadVersion})
		return
	}
	m.send(from, AdoptionConfirmed(message))
}

func (m *Machine) adoptionConfirmed(message AdoptionConfirmed) {
	s := &m.member
	if !s.registered || s.confirmed || message.HeadVersion < s.version {
		return
	}
	s.confirmed = true
	s.confirmedAt = m.now
}

// decideEvictions withdraws the permits of members that are gone, and removes
// their entries once every permit from before has run out.
func (m *Machine) decideEvictions(changes *edits) {
	if m.member.goneSince == nil {
		m.member.goneSince = map[model.InstanceID]time.Duration{}
	}
	for _, member := range m.head.Members {
		if member.ID == m.self {
			continue
		}
		if member.Evicted == 0 {
			m.decideEviction(member.ID, changes)
			continue
		}
		known := m.member.evictions[member.ID]
		if m.now-known.learnedAt < m.cfg.confirmWait() && !m.cfg.Rules.RemoveAtOnce {
			continue
		}
		changes.add(func(head *model.Head) { removeMember(head, member.ID) })
	}
}

func (m *Machine) decideEviction(id model.InstanceID, changes *edits) {
	if m.tracker.State(m.now, id) != members.Gone {
		delete(m.member.goneSince, id)
		return
	}
	since, known := m.member.goneSince[id]
	if !known {
		since = m.now
		m.member.goneSince[id] = since
	}
	stagger := time.Duration(m.rank("evict/"+string(id), id)) * m.cfg.TakeoverStagger
	if m.now-since < stagger {
		return
	}
	changes.add(func(head *model.Head) { evictMember(head, id) })
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

// withoutPredecessor returns the members without the earlier process of the
// same machine, which has ended: it holds no permit and answers nobody.
func withoutPredecessor(all []model.Member, member model.Member) []model.Member {
	kept := make([]model.Member, 0, len(all))
	for _, other := range all {
		if member.Machine == "" || other.Machine != member.Machine {
			kept = append(kept, other)
		}
	}
	return kept
}

func evictMember(head *model.Head, id model.InstanceID) {
	head.MembersVersion++
	for i := range head.Members {
		if head.Members[i].ID == id {
			head.Members[i].Evicted = head.MembersVersion
		}
	}
}

func removeMember(head *model.Head, id model.InstanceID) {
	head.MembersVersion++
	kept := make([]model.Member, 0, len(head.Members))
	for _, member := range head.Members {
		if member.ID != id {
			kept = append(kept, member)
		}
	}
	head.Members = kept
}
