package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// plannedSwitch is an operator's order that has not led to a seal yet.
type plannedSwitch struct {
	asked  bool
	target model.UpstreamID
	at     time.Duration
}

func (m *Machine) switchAsked(event SwitchRequested) {
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
	g.planned = plannedSwitch{asked: true, target: event.Target, at: m.now}
}

// refuseSwitch returns why a switch to target cannot start, or nothing.
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

// isFarBehind reports whether the target's newest probe lacks more of the
// primary's log than Config.SwitchMaxLag. A target that receives nothing
// would only keep writes waiting.
func (m *Machine) isFarBehind(primary, target *upstream) bool {
	if m.cfg.SwitchMaxLag == 0 || !m.isProbeFresh(primary) {
		return false
	}
	return target.probe.LSN+m.cfg.SwitchMaxLag < primary.probe.LSN
}

// leavePrimary orders a planned switch away from a primary that is leaving. The
// first heard member in rank does so, the next ones after LeavingStagger each,
// and again after LeavingRetryInterval if it fails.
func (m *Machine) leavePrimary(g *group, gh model.GroupHead) {
	primary := g.upstream(gh.Primary)
	if primary == nil || !primary.spec.Leaving {
		g.leavingSince = 0
		return
	}
	if g.leavingSince == 0 {
		g.leavingSince = m.now
	}
	if g.planned.asked {
		return
	}
	if g.leftAt != 0 && m.now-g.leftAt < m.cfg.LeavingRetryInterval {
		return
	}
	rank := m.rank("seal/"+string(g.id), "")
	if m.now-g.leavingSince < time.Duration(rank)*m.cfg.LeavingStagger {
		return
	}
	target := m.best(g, gh, "")
	if target == nil || m.refuseSwitch(g, target.spec.ID) != "" {
		return
	}
	g.leftAt = m.now
	g.planned = plannedSwitch{asked: true, target: target.spec.ID, at: m.now}
}

// decideSwitchSeal seals the group for a planned switch.
func (m *Machine) decideSwitchSeal(g *group, gh model.GroupHead, changes *edits) {
	m.leavePrimary(g, gh)
	if !g.planned.asked {
		return
	}
	if m.now-g.planned.at >= m.cfg.SwitchTimeout {
		g.planned = plannedSwitch{}
		m.report(ReportSwitchRefused, g.id, "the seal could not be written in time")
		return
	}
	if m.isFresh() {
		m.seal(gh, g.planned.target, gh.Generation+1, true, changes)
	}
}

// hasCaughtUp reports whether target has replayed the position that the primary
// had after the last permit was gone.
func (m *Machine) hasCaughtUp(g *group, gh model.GroupHead, target *upstream) bool {
	primary := g.upstream(gh.Primary)
	if primary == nil || !m.isProbeFresh(primary) || !m.isServing(g, primary) {
		return false
	}
	if primary.probe.StartedAt < g.seal.stoppedAt {
		return false
	}
	return m.isReplica(gh, target) && target.probe.LSN >= primary.probe.LSN
}

// otherTarget returns the upstream that is to go on in place of a switch's
// target; empty keeps the target. A primary that fails turns the switch into a
// failover; a target that is late leaves the primary in place.
func (m *Machine) otherTarget(g *group, gh model.GroupHead, target *upstream, healthy bool) model.UpstreamID {
	if g.lost {
		best := m.best(g, gh, "")
		if best != nil {
			return best.spec.ID
		}
		return ""
	}
	late := m.now-g.seal.learnedAt >= m.cfg.SwitchTimeout
	if late && healthy && !m.hasCaughtUp(g, gh, target) {
		if m.writes.pending == nil {
			m.report(ReportSwitchRefused, g.id, "the target was late")
		}
		return gh.Primary
	}
	return ""
}
