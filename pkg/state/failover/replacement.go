package failover

import (
	"slices"

	"gypsumdock/pkg/state/model"
)

// mayHavePromoted reports whether the platform may have promoted an upstream of
// the sealed group, and thereby deposed its primary. The upstreams need not show
// that: the promoted one may be out of reach for all others. The old primary may
// then start a generation only if the platform has promoted it again, or has
// confirmed that it is still the primary.
func (m *Machine) mayHavePromoted(g *group, gh model.GroupHead) bool {
	if !m.cfg.PlatformPromotes || m.cfg.Rules.ForgetPromotions {
		return false
	}
	ordered := g.promotion.ordered || g.promotion.orderedBefore
	return ordered || gh.Seal.TakenOver || m.isTimelineOutdated(g, gh)
}

// isTimelineOutdated reports whether an upstream is found on a later timeline than that
// of the head row.
func (m *Machine) isTimelineOutdated(g *group, gh model.GroupHead) bool {
	return slices.ContainsFunc(g.upstreams, func(up *upstream) bool {
		return m.isProbeFresh(up) && up.probe.Timeline > gh.Timeline
	})
}

// replacementCandidate returns the upstream that is to become primary in place
// of candidate, as long as this instance has not ordered its promotion; empty
// keeps candidate.
func (m *Machine) replacementCandidate(g *group, gh model.GroupHead, candidate *upstream) model.UpstreamID {
	promoted := m.promotedUpstream(g, gh)
	if promoted != nil {
		return promoted.spec.ID
	}
	if gh.Seal.Candidate == gh.Primary {
		return m.replacementOfPrimary(g, gh, candidate)
	}
	if gh.Seal.Planned {
		return m.replacementOfTarget(g, gh, candidate)
	}
	if m.isPrimaryUsable(g, gh) {
		return gh.Primary
	}
	best := m.mostAdvancedReplica(g, gh, "")
	if best == nil {
		return ""
	}
	if !m.isEligible(g, gh, candidate) || best.probe.LSN > candidate.probe.LSN {
		return best.spec.ID
	}
	return ""
}

// replacementOfPrimary returns the replica that is to become primary in place of
// the old primary, if that is lost and follows no upstream that was promoted.
func (m *Machine) replacementOfPrimary(g *group, gh model.GroupHead, primary *upstream) model.UpstreamID {
	if primary == nil || !m.isLost(primary) || m.followsPromoted(g, gh, primary) {
		return ""
	}
	return idOf(m.mostAdvancedReplica(g, gh, ""))
}

// replacementAfterTimeout returns the upstream that is to become primary in place of a
// candidate whose promotion timed out; empty if there is none.
func (m *Machine) replacementAfterTimeout(g *group, gh model.GroupHead) model.UpstreamID {
	promoted := m.promotedUpstream(g, gh)
	if promoted != nil && promoted.spec.ID != gh.Seal.Candidate {
		return promoted.spec.ID
	}
	if gh.Seal.Candidate != gh.Primary && m.isPrimaryUsable(g, gh) {
		return gh.Primary
	}
	return idOf(m.mostAdvancedReplica(g, gh, gh.Seal.Candidate))
}

// isPrimaryUsable reports whether the old primary was found healthy after the last
// permit had expired or was given up. It then has every acknowledged write.
func (m *Machine) isPrimaryUsable(g *group, gh model.GroupHead) bool {
	primary := g.upstream(gh.Primary)
	return m.isProbeFresh(primary) && m.isServing(g, primary) && g.isProbedSinceStop(primary)
}
