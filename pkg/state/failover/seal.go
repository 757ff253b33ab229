package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

func (m *Machine) reportSeal(g *group, gh model.GroupHead) {
	kind := ReportSealed
	if gh.Seal.Planned {
		kind = ReportSwitchStarted
	}
	m.report(kind, g.id, string(gh.Seal.Candidate))
}

// decideSeal seals an open group whose primary is lost, or that is to be
// switched.
func (m *Machine) decideSeal(g *group, gh model.GroupHead, changes *edits) {
	m.noteDeposed(g, gh)
	if !m.member.registered || m.member.finished {
		return
	}
	if g.lost {
		m.decideLost(g, gh, changes)
		return
	}
	m.decideSwitchSeal(g, gh, changes)
}

func (m *Machine) decideLost(g *group, gh model.GroupHead, changes *edits) {
	stagger := time.Duration(m.rank("seal/"+string(g.id), "")) * m.cfg.SealStagger
	candidate := m.best(g, gh, "")
	if candidate == nil || m.now-g.lostSince < stagger || !m.isFresh() {
		return
	}
	m.seal(gh, candidate.spec.ID, gh.Generation+1, false, changes)
}

func (m *Machine) seal(gh model.GroupHead, candidate model.UpstreamID, next model.Generation, planned bool, changes *edits) {
	content := model.Seal{Next: next, Candidate: candidate, By: m.self, Planned: planned}
	changes.addGroup(gh.ID, func(group *model.GroupHead) { group.Seal = &content })
}

// decideTakeOver replaces a promoter that is suspect, unregistered or stuck.
func (m *Machine) decideTakeOver(g *group, gh model.GroupHead, changes *edits) {
	if !m.member.registered || m.member.finished {
		return
	}
	wait := m.cfg.TakeoverStuckAfter
	_, registered := m.head.Member(gh.Seal.By)
	if !registered || !m.tracker.IsResponsive(m.now, gh.Seal.By) {
		wait = m.cfg.TakeoverSuspectAfter
	}
	if !m.member.established {
		wait += m.cfg.TakeoverStuckAfter
	}
	wait += time.Duration(m.rank("takeover/"+string(g.id), gh.Seal.By)) * m.cfg.TakeoverStagger
	if m.now-g.seal.contentAt < wait || !m.isFresh() {
		return
	}
	changes.addGroup(gh.ID, func(group *model.GroupHead) { group.Seal.By = m.self })
}
