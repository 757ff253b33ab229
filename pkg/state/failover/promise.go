package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// promises renews permits while the table gives no answer: if every member of
// the known row confirms after the question that it knows no newer row, no
// member has started to wait out the permits of an older row before then. So
// each of them waits for at least the permit lifetime from then on.
type promises struct {
	lastRound uint64
	askedAt   time.Duration
	// renewedFrom is the start of the newest renewal by promises.
	renewedFrom time.Duration
	// rounds holds the last rounds, oldest first.
	rounds []*promiseRound
}

type promiseRound struct {
	id          uint64
	askedAt     time.Duration
	headVersion model.RowVersion
	given       map[model.InstanceID]bool
}

// decidePromises asks for promises when no read has renewed the permits in half
// of their lifetime.
func (m *Machine) decidePromises() {
	if !m.isHolder() || len(m.groups) == 0 || m.head.Version == 0 {
		return
	}
	renewed := max(m.headFresh, m.promises.renewedFrom)
	if m.now-renewed < m.cfg.PermitLifetime/2 {
		return
	}
	if m.now-m.promises.askedAt < m.cfg.ResendInterval {
		return
	}
	if m.now-m.reads.okStart > m.cfg.MaxPromiseTime {
		return
	}
	m.askPromises()
}

func (m *Machine) askPromises() {
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
	m.settlePromises(round)
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
			m.settlePromises(round)
		}
	}
}

// settlePromises renews the permits once every member has promised.
func (m *Machine) settlePromises(round *promiseRound) {
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
