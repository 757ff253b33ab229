package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// permit is this instance's lease on the right to send writes to a group's
// primary and to acknowledge them. It belongs to one generation and is valid
// before until.
type permit struct {
	generation model.Generation
	until      time.Duration
	// drainUntil is the end of the drain in a planned switch, during which
	// writes in flight may complete but no new ones start; zero without one.
	drainUntil time.Duration
	// drainRequestedBy is the promoter that asked for the drain, for the case
	// that this instance has not read the seal yet.
	drainRequestedBy model.InstanceID
}

func (p *permit) renew(generation model.Generation, until time.Duration) {
	if generation != p.generation {
		*p = permit{generation: generation}
	}
	p.until = max(p.until, until)
}

// dropIfOlder drops a permit of a generation older than current.
func (p *permit) dropIfOlder(current model.Generation) {
	if p.generation < current {
		*p = permit{}
	}
}

func (p *permit) drop() { *p = permit{} }

// isPermitHolder reports whether this instance may hold permits: the newest
// known row lists it, it is not evicted, and it has not finished its stop.
func (m *Machine) isPermitHolder() bool {
	if m.cfg.Rules.PermitUnregistered {
		return true
	}
	own, found := m.head.Member(m.self)
	return found && own.Evicted == 0 && !m.membership.finished
}

// headConfirmation is the latest time at which the head row is known to have
// been at version.
type headConfirmation struct {
	version model.RowVersion
	at      time.Duration
}

// headConfirmedAt returns the latest time at which the newest known row is
// known to have been the current one, or zero.
func (m *Machine) headConfirmedAt() time.Duration {
	if m.head == nil || m.headConfirmation.version != m.head.Version {
		return 0
	}
	return m.headConfirmation.at
}

// renewPermits renews the permits of all open groups. at is a time at which
// the newest known row was the current one.
func (m *Machine) renewPermits(at time.Duration) {
	m.headConfirmation = headConfirmation{version: m.head.Version, at: max(at, m.headConfirmedAt())}
	if !m.isPermitHolder() {
		return
	}
	for _, g := range m.groups {
		m.renewPermit(g, at)
	}
}

// isCutOff reports whether this instance has had no answer of the table for most
// of a permit's lifetime, so that the groups that it serves are better served by
// others. Promises of the members may still renew its permits, but it could not
// replace a primary.
func (m *Machine) isCutOff() bool {
	const numerator, denominator = 3, 4
	return m.membership.registered && m.now-max(m.reads.lastOKStart, m.membership.registeredAt) > m.cfg.PermitLifetime*numerator/denominator
}

func (m *Machine) renewPermit(g *group, from time.Duration) {
	gh, found := m.groupHead(g.id)
	if !found || gh.Seal != nil {
		return
	}
	if gh.Generation <= g.stoppedGeneration && !m.cfg.Rules.ForgetStopped {
		return
	}
	g.permit.renew(gh.Generation, from+m.cfg.PermitLifetime)
}

// expirePermits drops the permits that the newest known row no longer allows,
// ends the drains whose time is over, and reports if the instance gains or
// loses the permits for all groups.
func (m *Machine) expirePermits() {
	held := 0
	for _, g := range m.groups {
		if !m.isPermitHolder() {
			g.permit.drop()
		}
		if g.permit.drainUntil != 0 && m.now >= g.permit.drainUntil {
			m.releasePermit(g, g.permit.generation)
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

// stopWriting gives up the permit for generation: at once, or after a drain if
// planned is true and a permit is held.
func (m *Machine) stopWriting(g *group, generation model.Generation, planned bool) {
	if g.stoppedGeneration >= generation {
		return
	}
	holds := g.permit.generation == generation && m.now < g.permit.until
	if !planned || !holds {
		m.releasePermit(g, generation)
		return
	}
	if g.permit.drainUntil == 0 {
		g.permit.drainUntil = min(g.permit.until, m.now+m.cfg.DrainTimeout)
	}
}

// releasePermit gives up the permit for generation for good and confirms that
// to the promoter.
func (m *Machine) releasePermit(g *group, generation model.Generation) {
	g.stoppedGeneration = max(g.stoppedGeneration, generation)
	promoter := g.permit.drainRequestedBy
	if g.permit.generation <= generation {
		g.permit.drop()
	}
	if g.seal.generation == generation && g.seal.known {
		m.sendWritesStopped(g, generation, g.seal.content.By)
		return
	}
	m.sendWritesStopped(g, generation, promoter)
}

// sendWritesStopped confirms to a promoter that the permit for generation was
// given up.
func (m *Machine) sendWritesStopped(g *group, generation model.Generation, to model.InstanceID) {
	m.send(to, WritesStopped{Group: g.id, Generation: generation, HeadVersion: m.head.Version})
}

func (m *Machine) stopWrites(from model.InstanceID, message StopWrites) {
	m.headChanged(HeadChanged{Version: message.HeadVersion})
	if m.head == nil {
		return
	}
	g := m.groupRecord(message.Group)
	m.stopWriting(g, message.Generation, message.Planned)
	if g.stoppedGeneration >= message.Generation {
		m.sendWritesStopped(g, message.Generation, from)
		return
	}
	g.permit.drainRequestedBy = from
}

func (m *Machine) writesDrained(event WritesDrained) {
	g := m.groupByID[event.Group]
	if g == nil || g.permit.drainUntil == 0 || g.permit.generation != event.Generation {
		return
	}
	m.releasePermit(g, event.Generation)
}

func (m *Machine) writesStopped(from model.InstanceID, message WritesStopped) {
	g := m.groupByID[message.Group]
	if g == nil || g.seal.generation != message.Generation {
		return
	}
	g.seal.confirmed[from] = true
}
