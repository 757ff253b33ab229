package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// plannedSwitch is a request to move the primary to target for which no seal
// has been written yet.
type plannedSwitch struct {
	requested   bool
	target      model.UpstreamID
	requestedAt time.Duration
}

// leavingPrimary records what this instance knows of a primary that is leaving,
// and has done about it.
type leavingPrimary struct {
	id model.UpstreamID
	// since is when this instance learned that the primary is leaving.
	since time.Duration
	// switchAt is when this instance last ordered a switch away from it, if
	// switched is true.
	switchAt time.Duration
	switched bool
}

func (m *Machine) switchRequested(event SwitchRequested) {
	g := m.groupByID[event.Group]
	if g == nil || m.head == nil {
		m.report(ReportSwitchRefused, event.Group, "the group is not known")
		return
	}
	refusal := m.refuseSwitch(g, event.Target)
	if refusal != "" {
		m.report(ReportSwitchRefused, event.Group, refusal)
		return
	}
	g.planned = plannedSwitch{requested: true, target: event.Target, requestedAt: m.now}
}

// refuseSwitch returns why a switch to target cannot start, or an empty string.
func (m *Machine) refuseSwitch(g *group, target model.UpstreamID) string {
	gh, found := m.groupHead(g.id)
	switch {
	case !found:
		return "the group has no primary yet"
	case gh.Seal != nil:
		return "the primary is being replaced"
	case gh.Primary == target:
		return "the target is the primary"
	case !m.isPlatformReachable():
		return "the platform does not answer"
	case g.upstream(target) == nil:
		return "the group has no such upstream"
	case !m.isUsableReplica(g, gh, g.upstream(target)):
		return "the target does not follow the primary"
	case m.isFarBehind(g.upstream(gh.Primary), g.upstream(target)):
		return "the target is far behind the primary"
	}
	return ""
}

// isFarBehind reports whether the target lacks more of the primary's log than
// Config.SwitchMaxLag. Writes are paused until the target has caught up, so a
// switch to a target that receives nothing would only delay them.
func (m *Machine) isFarBehind(primary, target *upstream) bool {
	if m.cfg.SwitchMaxLag == 0 || !m.isProbeFresh(primary) {
		return false
	}
	return target.probe.LSN+m.cfg.SwitchMaxLag < primary.probe.LSN
}

// switchFromLeavingPrimary requests a planned switch away from a primary that
// is leaving. The members do so in the order of their ranks, LeavingStagger
// apart, and again after LeavingRetryInterval if the switch fails. While another
// member holds the promotion lease, the switch is left to that one.
func (m *Machine) switchFromLeavingPrimary(g *group, gh model.GroupHead) {
	primary := g.upstream(gh.Primary)
	if primary == nil || !primary.spec.Leaving {
		g.leaving = leavingPrimary{}
		return
	}
	if g.leaving.id != gh.Primary {
		g.leaving = leavingPrimary{id: gh.Primary, since: m.now}
	}
	if g.planned.requested {
		return
	}
	if g.leaving.switched && m.now-g.leaving.switchAt < m.cfg.LeavingRetryInterval {
		return
	}
	holder := m.leaseHolder(g, gh)
	if holder != "" && holder != m.self {
		return
	}
	if m.now-g.leaving.since < time.Duration(m.sealRank(g, gh))*m.cfg.LeavingStagger {
		return
	}
	target := m.mostAdvancedReplica(g, gh, "")
	if target == nil || m.refuseSwitch(g, target.spec.ID) != "" {
		return
	}
	g.leaving.switched = true
	g.leaving.switchAt = m.now
	g.planned = plannedSwitch{requested: true, target: target.spec.ID, requestedAt: m.now}
}

// decideSwitchSeal seals the group for a requested planned switch.
func (m *Machine) decideSwitchSeal(g *group, gh model.GroupHead, changes *edits) {
	m.switchFromLeavingPrimary(g, gh)
	if !g.planned.requested {
		return
	}
	if m.now-g.planned.requestedAt >= m.cfg.SwitchTimeout {
		g.planned = plannedSwitch{}
		m.report(ReportSwitchRefused, g.id, "the seal could not be written in time")
		return
	}
	if m.isHeadFresh() {
		m.sealGroup(gh, g.planned.target, gh.Generation+1, true, changes)
	}
}

// hasCaughtUp reports whether target has replayed the log up to the position
// that the primary had after the permit holders stopped.
func (m *Machine) hasCaughtUp(g *group, gh model.GroupHead, target *upstream) bool {
	primary := g.upstream(gh.Primary)
	if primary == nil || !m.isProbeFresh(primary) || !m.isServing(g, primary) {
		return false
	}
	if !g.isProbedSinceStop(primary) {
		return false
	}
	return m.isReplica(gh, target) && target.probe.LSN >= primary.probe.LSN
}

// isSwitchLate reports whether the target of a planned switch has had SwitchTimeout to
// catch up. A promoter that has taken over late has to probe the target first, for
// which it has SwitchTimeout again.
func (m *Machine) isSwitchLate(g *group, target *upstream) bool {
	if m.now-g.seal.learnedAt < m.cfg.SwitchTimeout {
		return false
	}
	probed := target == nil || g.isProbedSinceStop(target)
	return probed || m.now-g.seal.holdersStoppedAt >= m.cfg.SwitchTimeout
}

// replacementOfTarget returns the upstream that is to become primary in place of
// a planned switch's target; empty keeps the target. If the primary is lost,
// the switch becomes a failover to the most advanced replica. If the target has
// not caught up within SwitchTimeout, the old primary stays.
func (m *Machine) replacementOfTarget(g *group, gh model.GroupHead, target *upstream) model.UpstreamID {
	if g.lost {
		return idOf(m.mostAdvancedReplica(g, gh, ""))
	}
	if m.isSwitchLate(g, target) && m.isPrimaryUsable(g, gh) && !m.hasCaughtUp(g, gh, target) {
		if m.writes.pending == nil {
			m.report(ReportSwitchRefused, g.id, "the target did not catch up in time")
		}
		return gh.Primary
	}
	return ""
}
