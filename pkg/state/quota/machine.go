package quota

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// Machine is the state of one member. It is not safe for concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	callers map[model.CallerName]*caller
	// names holds the keys of callers in order.
	names []model.CallerName

	// registeredAt is when this instance was first seen as a member.
	registered   bool
	registeredAt time.Duration
	confirmedAt  time.Duration
	membersHash  uint64
	// peers holds the other members, and those that were removed a short time
	// ago, ordered by ID.
	peers []*peer

	group group
	// activeUntil is until when reports are sent without a change because of this
	// member's use, and wantedUntil because of that of another one. All members
	// send reports then, as a group forms only if all know of each other.
	activeUntil time.Duration
	wantedUntil time.Duration
	lastSent    time.Duration
	// retired holds the use of callers that have no limit any more. The use that is
	// reported of a caller must not fall when it gets a limit again.
	retired map[model.CallerName]uint64
}

// peer is another member.
type peer struct {
	id model.InstanceID
	// machine is where the peer runs; empty if it is not known.
	machine string
	// removedAt is when the members no longer contained the peer; zero for never.
	removedAt time.Duration
	// heardAt is when its newest report arrived.
	heardAt time.Duration
	// touchedAt is when the two members last heard each other, or when the peer
	// became a member.
	touchedAt time.Duration
	// heard is set once a report has arrived, whose time is sent.
	heard bool
	sent  uint64
	// echo is the time of the newest report of this member that the peer has
	// confirmed; zero for none.
	echo uint64
	// group is what the peer says of its group.
	group uint64
	// lastGroup is the group that the peer has relied on last.
	lastGroup uint64
	// silent is set while the peer is assumed to spend an equal share.
	silent bool
	// sentAt is when the last report was sent to the peer.
	sentAt time.Duration
	use    map[model.CallerName]*peerUse
}

// peerUse is the use of a caller at a peer.
type peerUse struct {
	used   uint64
	demand float64
}

// New returns the machine of a member that knows neither members nor limits.
func New(config Config) *Machine {
	return &Machine{config: config, callers: make(map[model.CallerName]*caller), retired: make(map[model.CallerName]uint64)}
}

// advance sets the time of the machine. An earlier time than the present one is
// ignored.
func (m *Machine) advance(now time.Duration) { m.now = max(m.now, now) }

// SetLimits replaces the limits. A caller whose Rate is not positive, and one
// that is missing, has no limit.
func (m *Machine) SetLimits(now time.Duration, limits []Limit) {
	m.advance(now)
	kept := make(map[model.CallerName]*caller, len(limits))
	m.names = m.names[:0]
	for _, limit := range limits {
		if !(limit.Rate > 0) || limit.Caller == "" || kept[limit.Caller] != nil {
			continue
		}
		c := m.callers[limit.Caller]
		if c == nil {
			c = m.newCaller(limit)
		} else {
			m.fill(c, m.now)
			c.setLimit(m, limit)
		}
		kept[limit.Caller] = c
		m.names = append(m.names, limit.Caller)
	}
	slices.Sort(m.names)
	for name := range m.callers {
		if kept[name] == nil {
			m.forget(name)
		}
	}
	m.callers = kept
}

func (m *Machine) forget(name model.CallerName) {
	if len(m.retired) >= maxRetired {
		clear(m.retired)
	}
	m.retired[name] = m.callers[name].used
	for _, p := range m.peers {
		delete(p.use, name)
	}
}

// Limited reports whether there is any limit.
func (m *Machine) Limited() bool { return len(m.callers) > 0 }

// SetMembers replaces the registered instances; nil while this instance is not
// one of them. confirmedAt is when they were last known to be current.
func (m *Machine) SetMembers(now time.Duration, members []model.Member, confirmedAt time.Duration) {
	m.advance(now)
	m.confirmedAt = max(m.confirmedAt, confirmedAt)
	ids := make([]model.InstanceID, 0, len(members))
	for _, listed := range members {
		ids = append(ids, listed.ID)
	}
	member := slices.Contains(ids, m.config.Self)
	if member && !m.registered {
		m.registeredAt = m.now
		m.activeUntil = m.now + activeFor
		m.assumeFormer()
	}
	hash := hashIDs(ids)
	if member == m.registered && hash == m.membersHash {
		m.updatePeers()
		return
	}
	m.fillAll()
	m.registered, m.membersHash = member, hash
	for _, p := range m.peers {
		if p.removedAt == 0 && !slices.Contains(ids, p.id) {
			p.removedAt = m.now
		}
	}
	for _, listed := range members {
		if listed.ID != m.config.Self {
			m.addPeer(listed)
		}
	}
	m.dropPredecessors(members)
	slices.SortFunc(m.peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	m.updatePeers()
}

// dropPredecessors forgets the removed members whose machine runs a later process:
// they have ended, so that they need not be counted for formerFor.
func (m *Machine) dropPredecessors(members []model.Member) {
	runsOn := func(machine string) bool {
		return machine != "" && slices.ContainsFunc(members, func(listed model.Member) bool { return listed.Machine == machine })
	}
	m.peers = slices.DeleteFunc(m.peers, func(p *peer) bool { return p.removedAt != 0 && runsOn(p.machine) })
}

// assumeFormer counts one removed member that a new member has not seen, as that one
// may not know of its removal yet.
func (m *Machine) assumeFormer() {
	if m.config.Rules.NoFormerMembers {
		return
	}
	m.peers = append(m.peers, &peer{removedAt: max(m.now, 1), touchedAt: m.now})
}

func (m *Machine) addPeer(listed model.Member) {
	if p := m.peer(listed.ID); p != nil {
		p.removedAt = 0
		return
	}
	m.peers = append(m.peers, &peer{id: listed.ID, machine: listed.Machine, touchedAt: m.now, use: make(map[model.CallerName]*peerUse)})
}

func (m *Machine) peer(id model.InstanceID) *peer {
	for _, p := range m.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// size returns the number of members, with those that were removed a short time
// ago.
func (m *Machine) size() float64 { return float64(len(m.peers) + 1) }

// updatePeers forgets former members, begins to charge for silent ones, and
// updates the group.
func (m *Machine) updatePeers() {
	returned := false
	for _, p := range m.peers {
		expired := m.now-p.removedAt > formerFor || m.config.Rules.NoFormerMembers
		if p.removedAt != 0 && expired {
			m.fillAll()
			m.peers = slices.DeleteFunc(slices.Clone(m.peers), func(other *peer) bool { return other == p })
			m.group.changed = true
			if m.silentPeers() == 0 {
				m.dropCredit()
			}
			continue
		}
		returned = m.updateSilence(p) || returned
	}
	if returned && m.silentPeers() == 0 {
		m.useKnown()
	}
	m.updateGroup()
}

// updateSilence begins to charge for a peer that is out of touch, or ends it. It
// returns true if the peer is in touch again.
func (m *Machine) updateSilence(p *peer) (returned bool) {
	if m.isLinked(p) {
		returned = p.silent
		p.touchedAt = m.now
	}
	if returned {
		m.fillAll()
		p.silent = false
	}
	if !p.silent && m.now-p.touchedAt >= silentAfter {
		m.fillAll()
		p.silent = true
		for _, c := range m.callers {
			m.charge(c, m.now-p.touchedAt)
		}
	}
	return returned
}

// charge takes from the bucket what a silent member may have spent in a time.
func (m *Machine) charge(c *caller, silence time.Duration) {
	if m.config.Rules.NoSilenceCharge {
		return
	}
	spent := c.rate * silence.Seconds() / m.size()
	c.tokens -= spent
	c.credit += spent
	c.bound(m)
}

// dropCredit forgets what was charged for silent members, once there are none. What
// a removed one has used and not reported stays charged.
func (m *Machine) dropCredit() {
	for _, c := range m.callers {
		c.credit = 0
		c.known = c.tokens
	}
}

// useKnown replaces what was charged for silent members by their use, once all of
// them have reported it.
func (m *Machine) useKnown() {
	for _, c := range m.callers {
		c.credit = 0
		c.tokens = c.known
	}
}

func (m *Machine) silentPeers() float64 {
	silent := 0.0
	for _, p := range m.peers {
		if p.silent {
			silent++
		}
	}
	return silent
}

// fillAll brings all buckets up to date before a change of what they are filled
// with.
func (m *Machine) fillAll() {
	for _, c := range m.callers {
		m.fill(c, m.now)
	}
}
