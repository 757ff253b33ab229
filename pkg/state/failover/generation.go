package failover

import (
	"gypsumdock/pkg/state/model"
)

// startOnCandidate starts the next generation on the promoted candidate, or on the
// old primary if the platform has confirmed that it still is the primary.
func (m *Machine) startOnCandidate(g *group, gh model.GroupHead, result Promoted, changes *edits) {
	if result.Timeline > gh.Timeline {
		m.startGeneration(gh, result.Timeline, result.StartLSN, changes)
		return
	}
	if m.isTimelineOutdated(g, gh) {
		// The platform has promoted another upstream since it confirmed this one.
		g.promotion.restart()
		return
	}
	m.startOnOldPrimary(g, gh, changes)
}

// startOnOldPrimary starts the next generation on the old primary if that is
// healthy again, and otherwise names another candidate. The start position is
// probed after the last permit has expired or was given up, so no acknowledged
// write lies above it.
func (m *Machine) startOnOldPrimary(g *group, gh model.GroupHead, changes *edits) {
	primary := g.upstream(gh.Primary)
	if primary == nil {
		return
	}
	if m.isLost(primary) {
		best := m.mostAdvancedReplica(g, gh, "")
		if best != nil {
			m.sealGroup(gh, best.spec.ID, gh.Seal.Next+1, false, changes)
		}
		return
	}
	if !m.isProbeFresh(primary) || !m.isServing(g, primary) || !g.isProbedSinceStop(primary) {
		m.probeNow(g)
		return
	}
	m.startGeneration(gh, gh.Timeline, primary.probe.LSN, changes)
}

// startGeneration writes the next generation, and thereby removes the seal.
func (m *Machine) startGeneration(gh model.GroupHead, timeline uint32, start model.LSN, changes *edits) {
	changes.addGroup(gh.ID, func(group *model.GroupHead) {
		group.Generation = gh.Seal.Next
		group.Contested = m.isContested(gh)
		group.Primary = gh.Seal.Candidate
		group.StartLSN = start
		group.Timeline = timeline
		group.Promoter = m.self
		group.Seal = nil
	})
}

// isContested reports whether another upstream may have started the timeline of
// the generation that follows gh, since an earlier candidate was replaced. Where
// the platform promotes, no two upstreams start the same timeline.
func (m *Machine) isContested(gh model.GroupHead) bool {
	if m.cfg.PlatformPromotes {
		return false
	}
	if gh.Seal.Candidate == gh.Primary {
		return gh.Contested
	}
	return gh.Seal.Next > gh.Generation+1
}
