package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

// group is the set of members that share the region's tokens by demand.
type group struct {
	// id identifies the members, and those of them that are in touch with this
	// one. agreedID is that of the group that was used last.
	id       uint64
	agreedID uint64
	// until is when this member stops to rely on the group; zero without one.
	until time.Duration
	// number counts the changes between a group and none.
	number uint64
	// linked holds the peers of the group.
	linked []*peer
	// acked is the time of the newest report that all of them have confirmed.
	acked uint64
	// agreedSince is since when all of them have named the same group; negative if
	// they do not.
	agreedSince time.Duration
	// silent is the number of members that are assumed to spend an equal share.
	silent  float64
	changed bool
}

func hashIDs(ids []model.InstanceID) uint64 {
	digest := xxhash.New()
	for _, id := range ids {
		_, _ = digest.WriteString(string(id))
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// groupID identifies the members and those of them in touch with each other.
func groupID(members uint64, linked []model.InstanceID) uint64 {
	slices.Sort(linked)
	// The multiplication makes the order of the two matter; zero means none.
	return max(1, members*31+hashIDs(linked))
}

// inGroup reports whether this member may rely on its group.
func (m *Machine) inGroup() bool {
	return m.group.until != 0 && (m.now < m.group.until || m.config.Rules.NoLease)
}

// isLinked reports whether this member and a peer have heard each other.
func (m *Machine) isLinked(p *peer) bool {
	if p.removedAt != 0 || !p.heard || p.echo == 0 {
		return false
	}
	return m.config.Rules.NoLease || m.now-p.heardAt < leaseTime && m.now-milliseconds(p.echo) < leaseTime
}

func milliseconds(value uint64) time.Duration { return time.Duration(value) * time.Millisecond }

// updateGroup determines who is in touch and whether they agree on it.
func (m *Machine) updateGroup() {
	g := &m.group
	wasIn := g.until != 0
	expired := wasIn && !m.inGroup()
	ids := append(make([]model.InstanceID, 0, len(m.peers)+1), m.config.Self)
	linked := g.linked[:0:0]
	until := m.now + leaseTime
	acked := uint64(m.now / time.Millisecond)
	for _, p := range m.peers {
		if !m.isLinked(p) {
			continue
		}
		linked = append(linked, p)
		ids = append(ids, p.id)
		until = min(until, milliseconds(p.echo)+leaseTime, p.heardAt+leaseTime)
		acked = min(acked, p.echo)
	}
	id := groupID(m.membersHash, ids)
	agreed := m.registered && len(linked) > 0
	sameAsBefore := g.agreedID == id
	for _, p := range linked {
		agreed = agreed && (p.group == id || m.config.Rules.NoAgreement)
		sameAsBefore = sameAsBefore && p.lastGroup == id
	}
	if id != g.id {
		g.agreedSince = -1
	}
	if id != g.id || g.changed {
		m.fillAll()
		for _, c := range m.callers {
			c.peerDemand = -1
		}
	}
	if !wasIn || expired || id != g.agreedID || !agreed {
		m.leaveGroup(wasIn)
	}
	g.changed = false
	g.id, g.linked, g.acked = id, linked, acked
	g.silent = m.silentPeers()
	if !agreed {
		g.agreedSince = -1
		return
	}
	if g.agreedSince < 0 {
		g.agreedSince = m.now
	}
	settled := sameAsBefore || g.until != 0 || m.now-g.agreedSince >= settleTime || m.config.Rules.NoSettle
	if !settled || !m.maySpendWith(len(linked)) {
		return
	}
	if g.until == 0 {
		g.number++
		g.agreedID = id
	}
	g.until = until
}

// leaveGroup ends the use of the group. What is left of the shares is determined
// before the members of the group change.
func (m *Machine) leaveGroup(wasIn bool) {
	if !wasIn {
		return
	}
	left := min(m.now, m.group.until)
	for _, c := range m.callers {
		m.carry(c, left)
	}
	m.group.until = 0
	m.group.number++
}

// maySpendWith reports whether a member that is in touch with a number of peers
// may spend: it is in touch with half of the members, or it is neither new nor
// can have been removed without its knowledge.
func (m *Machine) maySpendWith(linked int) bool {
	if !m.registered {
		return false
	}
	members := 1
	for _, p := range m.peers {
		if p.removedAt == 0 {
			members++
		}
	}
	if linked > 0 && 2*(linked+1) >= members {
		return true
	}
	isNew := m.now-m.registeredAt < joinWait && !m.config.Rules.NoJoinWait
	isConfirmed := m.now-m.confirmedAt <= confirmedFor || m.config.Rules.NoConfirmation
	return !isNew && isConfirmed
}

// linkedPeers returns the number of peers in touch with this member.
func (m *Machine) linkedPeers() int {
	linked := 0
	for _, p := range m.peers {
		if m.isLinked(p) {
			linked++
		}
	}
	return linked
}
