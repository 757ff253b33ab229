package failover

import (
	"maps"
	"time"

	"gypsumdock/pkg/state/model"
)

// promises renews permits while the table gives no answer. If every member of
// the known row confirms, after the request was sent at askedAt, that it knows
// no newer row, then no member knew a newer row at askedAt, and so none had
// started to wait for the permits of this row to expire. A member that starts
// to wait later waits for at least the permit lifetime, which outlasts permits
// renewed from askedAt.
type promises struct {
	lastRound uint64
	askedAt   time.Duration
	// renewedFrom is the start of the newest round that renewed the permits.
	renewedFrom time.Duration
	// rounds holds the newest rounds, oldest first, at most maxPromiseRounds.
	rounds []*promiseRound
}

// promiseRound is one request for promises to all members, and the members that
// granted it.
type promiseRound struct {
	id          uint64
	askedAt     time.Duration
	headVersion model.RowVersion
	given       map[model.InstanceID]bool
}

// decidePromises asks for promises if nothing has renewed the permits for half
// of their lifetime, up to MaxPromiseTime after the last answer of the table.
func (m *Machine) decidePromises() {
	if !m.isPermitHolder() || len(m.groups) == 0 || m.head.Version == 0 {
		return
	}
	renewed := max(m.headReadAt, m.promises.renewedFrom)
	if m.now-renewed < m.cfg.PermitLifetime/2 {
		return
	}
	if m.now-m.promises.askedAt < m.cfg.ResendInterval {
		return
	}
	if m.now-m.reads.lastOKStart > m.cfg.MaxPromiseTime {
		return
	}
	m.askPromises()
}

func (m *Machine) askPromises() {
	m.sendHeadToUnconfirmed()
	p := &m.promises
	p.lastRound++
	p.askedAt = m.now
	round := &promiseRound{
		id:          p.lastRound,
		askedAt:     m.now,
		headVersion: m.head.Version,
		given:       map[model.InstanceID]bool{m.self: true},
	}
	p.rounds = append(p.rounds, round)
	if len(p.rounds) > maxPromiseRounds {
		p.rounds = p.rounds[1:]
	}
	m.sendMembers(PromiseAsked{
		Round:          round.id,
		MembersVersion: m.head.MembersVersion,
		HeadVersion:    m.head.Version,
	})
	m.renewByPromises(round)
}

// sendHeadToUnconfirmed sends the newest known row to the members that have granted
// no round about it although there was one. A member whose row does not list this
// instance yet cannot answer: it has no connection to it. That happens if the table
// falls silent right after this instance has registered.
func (m *Machine) sendHeadToUnconfirmed() {
	granted := map[model.InstanceID]bool{m.self: true}
	asked := false
	for _, round := range m.promises.rounds {
		if round.headVersion != m.head.Version {
			continue
		}
		asked = true
		maps.Copy(granted, round.given)
	}
	if !asked {
		return
	}
	for _, member := range m.head.Members {
		if !granted[member.ID] {
			m.send(member.ID, HeadSent{Head: m.head})
		}
	}
}

func (m *Machine) promiseAsked(from model.InstanceID, message PromiseAsked) {
	if m.head == nil {
		return
	}
	if m.head.Version != message.HeadVersion && !m.cfg.Rules.PromiseOnNewerHead {
		m.send(from, PromiseRefused{Round: message.Round, HeadVersion: m.head.Version})
		if m.head.Version > message.HeadVersion {
			m.send(from, HeadSent{Head: m.head})
		}
		return
	}
	m.send(from, PromiseGiven(message))
}

func (m *Machine) promiseRefused(from model.InstanceID, message PromiseRefused) {
	if m.head != nil && message.HeadVersion < m.head.Version {
		m.send(from, HeadSent{Head: m.head})
	}
}

func (m *Machine) promiseGiven(from model.InstanceID, message PromiseGiven) {
	for _, round := range m.promises.rounds {
		if round.id == message.Round {
			round.given[from] = true
			m.renewByPromises(round)
		}
	}
}

// renewByPromises renews the permits if every member has granted the round and
// the newest known row is still the one that it asked about.
func (m *Machine) renewByPromises(round *promiseRound) {
	if round.headVersion != m.head.Version || !m.hasPromises(round) {
		return
	}
	m.promises.renewedFrom = max(m.promises.renewedFrom, round.askedAt)
	m.renewPermits(round.askedAt)
}

func (m *Machine) hasPromises(round *promiseRound) bool {
	given := 0
	for _, member := range m.head.Members {
		if round.given[member.ID] {
			given++
		}
	}
	if m.cfg.Rules.PromiseByMajority {
		return given*2 > len(m.head.Members)
	}
	return given == len(m.head.Members)
}
