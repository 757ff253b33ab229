package failover

import (
	"gypsumdock/pkg/state/model"
)

// sendStopWrites asks the members that have not confirmed yet to give up their
// permits. One that does not confirm may be cut off from the table and not know
// this instance, so that it cannot answer: it gets the head row too.
func (m *Machine) sendStopWrites(g *group, gh model.GroupHead) {
	if g.seal.holdersStopped || g.seal.stopSentAt != 0 && m.now-g.seal.stopSentAt < m.cfg.ResendInterval {
		return
	}
	resent := g.seal.stopSentAt != 0
	g.seal.stopSentAt = m.now
	for _, member := range m.head.Members {
		if m.hasStopped(g, member.ID) {
			continue
		}
		if resent {
			m.send(member.ID, HeadSent{Head: m.head})
		}
		m.send(member.ID, StopWrites{
			Group:       g.id,
			Generation:  gh.Generation,
			HeadVersion: m.head.Version,
			Planned:     gh.Seal.Planned,
		})
	}
}

// haveHoldersStopped reports whether no permit of the sealed generation is
// left: every member has confirmed, or this instance is established and has
// waited until every permit from before the seal has expired.
func (m *Machine) haveHoldersStopped(g *group) bool {
	if g.seal.holdersStopped {
		return true
	}
	waited := m.membership.established && m.now-g.seal.learnedAt >= m.cfg.permitExpiryWait()
	if !waited && !m.allConfirmed(g) && !m.cfg.Rules.SkipConfirmation {
		return false
	}
	g.seal.holdersStopped = true
	g.seal.holdersStoppedAt = m.now
	m.report(ReportHoldersStopped, g.id, "")
	return true
}

func (m *Machine) allConfirmed(g *group) bool {
	for _, member := range m.head.Members {
		if m.cfg.Rules.ConfirmByServers && !g.isServedBy(member.ID) {
			continue
		}
		if !m.hasStopped(g, member.ID) {
			return false
		}
	}
	return true
}

// isProbedSinceStop reports whether the last probe of up, answered or not, started after
// the permit holders had stopped.
func (g *group) isProbedSinceStop(up *upstream) bool {
	return up.known && up.probe.StartedAt >= g.seal.holdersStoppedAt
}

// hasStopped reports whether a member has confirmed that it holds no permit for the
// sealed generation. This instance knows that of itself: it may have given its permit
// up, or never held one, before it became promoter.
func (m *Machine) hasStopped(g *group, id model.InstanceID) bool {
	if id == m.self {
		return g.stoppedGeneration >= g.seal.generation
	}
	return g.seal.confirmed[id]
}
