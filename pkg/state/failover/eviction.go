package failover

import (
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// eviction records when this instance learned of an eviction. membersVersion is
// the model.Member.Evicted that tells it from an earlier one.
type eviction struct {
	membersVersion uint64
	learnedAt      time.Duration
}

// decideEvictions evicts members that are gone, and removes the entries of
// evicted members once every permit from before the eviction has expired.
func (m *Machine) decideEvictions(changes *edits) {
	if m.membership.goneSince == nil {
		m.membership.goneSince = map[model.InstanceID]time.Duration{}
	}
	for _, member := range m.head.Members {
		if member.ID == m.self {
			continue
		}
		if member.Evicted == 0 {
			m.decideEviction(member.ID, changes)
			continue
		}
		known := m.membership.evictions[member.ID]
		if m.now-known.learnedAt < m.cfg.permitExpiryWait() && !m.cfg.Rules.RemoveAtOnce {
			continue
		}
		changes.add(func(head *model.Head) { removeMember(head, member.ID) })
	}
}

func (m *Machine) decideEviction(id model.InstanceID, changes *edits) {
	if m.tracker.State(m.now, id) != members.Gone {
		delete(m.membership.goneSince, id)
		return
	}
	since, known := m.membership.goneSince[id]
	if !known {
		since = m.now
		m.membership.goneSince[id] = since
	}
	stagger := time.Duration(m.rank("evict/"+string(id), id)) * m.cfg.TakeoverStagger
	if m.now-since < stagger {
		return
	}
	changes.add(func(head *model.Head) { evictMember(head, id) })
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
