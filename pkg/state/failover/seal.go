package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// sealDuty orders the members that may seal a group.
const sealDuty = "seal/"

func (m *Machine) reportSeal(g *group, gh model.GroupHead) {
	kind := ReportSealed
	if gh.Seal.Planned {
		kind = ReportSwitchStarted
	}
	m.report(kind, g.id, string(gh.Seal.Candidate))
}

// decideSeal seals an open group if its primary is lost or a planned switch was
// requested.
func (m *Machine) decideSeal(g *group, gh model.GroupHead, changes *edits) {
	m.recordDeposed(g, gh)
	if !m.membership.registered || m.membership.finished {
		return
	}
	if g.lost {
		m.decideLost(g, gh, changes)
		return
	}
	m.decideSwitchSeal(g, gh, changes)
}

// sealRank returns this instance's place, from 0, among the members that would
// replace the primary. The holder of the promotion lease comes first, since the
// others could order a promotion only after that lease has expired.
func (m *Machine) sealRank(g *group, gh model.GroupHead) int {
	holder := m.leaseHolder(g, gh)
	switch {
	case holder == m.self:
		return 0
	case holder != "" && m.tracker.IsResponsive(m.now, holder):
		return 1 + m.serverRank(g, sealDuty, holder)
	default:
		return m.serverRank(g, sealDuty, "")
	}
}

// decideLost seals a group whose primary is lost. The members do so in the
// order of their ranks, SealStagger apart, so that usually only one of them
// writes.
func (m *Machine) decideLost(g *group, gh model.GroupHead, changes *edits) {
	stagger := time.Duration(m.sealRank(g, gh)) * m.cfg.SealStagger
	candidate := m.promotedUpstream(g, gh)
	if candidate == nil {
		candidate = m.mostAdvancedReplica(g, gh, "")
	}
	if candidate == nil || m.now-g.lostSince < stagger || !m.isHeadFresh() {
		return
	}
	m.sealGroup(gh, candidate.spec.ID, gh.Generation+1, false, changes)
}

// sealGroup writes a seal with this instance as promoter.
func (m *Machine) sealGroup(gh model.GroupHead, candidate model.UpstreamID, next model.Generation, planned bool, changes *edits) {
	content := model.Seal{Next: next, Candidate: candidate, By: m.self, Planned: planned}
	if gh.Seal != nil {
		content.TakenOver = gh.Seal.TakenOver
	}
	changes.addGroup(gh.ID, func(group *model.GroupHead) { group.Seal = &content })
}

// decideTakeover makes this instance the promoter if the present one is
// suspect, not registered any more, or makes no progress. Established members
// come first if there may be any, since the others need the confirmation of every
// member to complete a promotion.
func (m *Machine) decideTakeover(g *group, gh model.GroupHead, changes *edits) {
	if !m.membership.registered || m.membership.finished {
		return
	}
	wait := m.cfg.TakeoverStuckAfter
	_, registered := m.head.Member(gh.Seal.By)
	if !registered || !m.tracker.IsResponsive(m.now, gh.Seal.By) {
		wait = m.cfg.TakeoverSuspectAfter
	}
	if m.expectsEstablished() {
		wait += m.cfg.TakeoverStuckAfter
	}
	wait += time.Duration(m.serverRank(g, "takeover/", gh.Seal.By)) * m.cfg.TakeoverStagger
	if m.now-g.seal.contentAt < wait || !m.isHeadFresh() {
		return
	}
	replacePromoter(gh.ID, m.self, changes)
}

// replacePromoter makes another member the promoter of a sealed group.
func replacePromoter(id model.GroupID, promoter model.InstanceID, changes *edits) {
	changes.addGroup(id, func(group *model.GroupHead) {
		group.Seal.By = promoter
		group.Seal.TakenOver = true
	})
}
