package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// permit is the right to send writes to a group and to acknowledge them.
type permit struct {
	generation model.Generation
	until      time.Duration
	// drainUntil is non-zero while a planned switch lets writes in flight end.
	drainUntil time.Duration
	// askedBy is the promoter that asked for the drain, if the seal itself has
	// not been read yet.
	askedBy model.InstanceID
}

func (p *permit) renew(generation model.Generation, until time.Duration) {
	if generation != p.generation {
		*p = permit{generation: generation}
	}
	p.until = max(p.until, until)
}

// follow drops a permit of a generation older than current.
func (p *permit) follow(current model.Generation) {
	if p.generation < current {
		*p = permit{}
	}
}

func (p *permit) drop() { *p = permit{} }

// isHolder reports whether this instance may hold permits under the newest
// known row.
func (m *Machine) isHolder() bool {
	if m.cfg.Rules.PermitUnregistered {
		return true
	}
	own, found := m.head.Member(m.self)
	return found && own.Evicted == 0 && !m.member.finished
}

// confirmation is a time before the row of a version was seen to be in force.
type confirmation struct {
	version model.RowVersion
	from    time.Duration
}

// confirmedFrom returns a time before the newest known row was seen to be in
// force, or zero.
func (m *Machine) confirmedFrom() time.Duration {
	if m.head == nil || m.confirmed.version != m.head.Version {
		return 0
	}
	return m.confirmed.from
}

// renewPermits renews the permits of all open groups. from is a time before the
// newest known row was seen to be in force.
func (m *Machine) renewPermits(from time.Duration) {
	m.confirmed = confirmation{version: m.head.Version, from: max(from, m.confirmedFrom())}
	if !m.isHolder() {
		return
	}
	for _, g := range m.groups {
		m.renewPermit(g, from)
	}
}

func (m *Machine) renewPermit(g *group, from time.Duration) {
	gh, found := m.groupHead(g.id)
	if !found || gh.Seal != nil {
		return
	}
	if gh.Generation <= g.stopped && !m.cfg.Rules.ForgetStopped {
		return
	}
	g.permit.renew(gh.Generation, from+m.cfg.PermitLifetime)
}

// settlePermits ends the permits that the newest known row no longer allows,
// and the drains that are over, and reports a change.
func (m *Machine) settlePermits() {
	held := 0
	for _, g := range m.groups {
		if !m.isHolder() {
			g.permit.drop()
		}
		if g.permit.drainUntil != 0 && m.now >= g.permit.drainUntil {
			m.confirmStop(g, g.permit.generation)
		}
		if m.now < g.permit.until {
			held++
		}
	}
	all := held == len(m.groups) && held > 0
	if all && !m.permitsHeld {
		m.report(ReportPermitsRegained, "", "")
	}
	if !all && m.permitsHeld {
		m.report(ReportPermitsLost, "", "")
	}
	m.permitsHeld = all
}

// stopFor gives up the permit of generation, after a drain if planned.
func (m *Machine) stopFor(g *group, generation model.Generation, planned bool) {
	if g.stopped >= generation {
		return
	}
	holds := g.permit.generation == generation && m.now < g.permit.until
	if !planned || !holds {
		m.confirmStop(g, generation)
		return
	}
	if g.permit.drainUntil == 0 {
		g.permit.drainUntil = min(g.permit.until, m.now+m.cfg.DrainTimeout)
	}
}

// confirmStop gives up the permit of generation for good and tells the promoter.
func (m *Machine) confirmStop(g *group, generation model.Generation) {
	g.stopped = max(g.stopped, generation)
	askedBy := g.permit.askedBy
	if g.permit.generation <= generation {
		g.permit.drop()
	}
	if g.seal.generation == generation && g.seal.known {
		m.sendStopped(g, generation, g.seal.content.By)
		return
	}
	m.sendStopped(g, generation, askedBy)
}

func (m *Machine) sendStopped(g *group, generation model.Generation, to model.InstanceID) {
	if to == m.self {
		g.seal.confirmed[m.self] = true
		return
	}
	m.send(to, WritesStopped{Group: g.id, Generation: generation, HeadVersion: m.head.Version})
}

func (m *Machine) stopWrites(from model.InstanceID, message StopWrites) {
	m.headChanged(HeadChanged{Version: message.HeadVersion})
	if m.head == nil {
		return
	}
	g := m.record(message.Group)
	m.stopFor(g, message.Generation, message.Planned)
	if g.stopped >= message.Generation {
		m.sendStopped(g, message.Generation, from)
		return
	}
	g.permit.askedBy = from
}

func (m *Machine) writesDrained(event WritesDrained) {
	g := m.groupByID[event.Group]
	if g == nil || g.permit.drainUntil == 0 || g.permit.generation != event.Generation {
		return
	}
	m.confirmStop(g, event.Generation)
}

func (m *Machine) writesStopped(from model.InstanceID, message WritesStopped) {
	g := m.groupByID[message.Group]
	if g == nil || g.seal.generation != message.Generation {
		return
	}
	g.seal.confirmed[from] = true
}
