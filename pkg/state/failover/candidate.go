package failover

import "gypsumdock/pkg/state/model"

// isProbeFresh reports whether the last probe of up was answered and is recent
// enough to be used.
func (m *Machine) isProbeFresh(up *upstream) bool {
	return up != nil && up.known && up.probe.Reachable && m.now-up.probe.StartedAt <= m.cfg.ProbeMaxAge
}

// probeNow asks for a probe of the group's upstreams because a decision waits
// for a log position.
func (m *Machine) probeNow(g *group) {
	if m.now-g.probeRequestedAt < m.cfg.TickInterval {
		return
	}
	g.probeRequestedAt = m.now
	m.emit(ProbeNow{Group: g.id})
}

// isReplica reports whether up is a replica that replays the timeline of the
// generation.
func (m *Machine) isReplica(gh model.GroupHead, up *upstream) bool {
	if !m.isProbeFresh(up) || up.spec.ID == gh.Primary {
		return false
	}
	return up.probe.Recovering && up.probe.Timeline == gh.Timeline
}

// isPromoted reports whether up has already been promoted: it takes writes on a
// timeline that follows the generation's.
func (m *Machine) isPromoted(gh model.GroupHead, up *upstream) bool {
	return m.isProbeFresh(up) && !up.probe.Recovering && up.probe.Timeline > gh.Timeline
}

// promotedUpstream returns the upstream on the newest timeline that the platform has
// promoted without the head row naming it as primary, or nil.
func (m *Machine) promotedUpstream(g *group, gh model.GroupHead) *upstream {
	if !m.cfg.PlatformPromotes {
		return nil
	}
	var newest *upstream
	for _, up := range g.upstreams {
		if !m.isPromoted(gh, up) {
			continue
		}
		if newest == nil || up.probe.Timeline > newest.probe.Timeline {
			newest = up
		}
	}
	return newest
}

// followsPromoted reports whether up follows an upstream that the platform has promoted
// in the sealed generation. No write was acknowledged on that timeline, as no
// generation has started on it, so up has a part of the generation's log and nothing
// else. If routes wait for replicas, up may lack a write that they waited for.
func (m *Machine) followsPromoted(g *group, gh model.GroupHead, up *upstream) bool {
	if gh.Seal == nil || g.syncReplicas > 0 || !m.mayHavePromoted(g, gh) {
		return false
	}
	return m.isProbeFresh(up) && up.probe.Recovering && up.probe.Timeline > gh.Timeline
}

// isEligible reports whether up can become the next primary: it is a replica of the
// generation, or follows an upstream that was promoted in its place.
func (m *Machine) isEligible(g *group, gh model.GroupHead, up *upstream) bool {
	return m.isReplica(gh, up) || m.followsPromoted(g, gh, up)
}

// mostAdvancedReplica returns the replica with the highest log position that is
// neither leaving nor named by except, or nil. If routes wait for
// g.syncReplicas replicas before they acknowledge a write, it returns nil
// unless the eligible replicas are so many that at least one of them has every
// acknowledged write.
func (m *Machine) mostAdvancedReplica(g *group, gh model.GroupHead, except model.UpstreamID) *upstream {
	var best *upstream
	eligible := 0
	for _, up := range g.upstreams {
		if !m.isEligible(g, gh, up) {
			continue
		}
		if up.spec.Leaving || up.spec.ID == except {
			continue
		}
		eligible++
		if best == nil || up.probe.LSN > best.probe.LSN {
			best = up
		}
	}
	replicas := len(g.upstreams) - 1
	if g.syncReplicas > 0 && eligible < replicas-g.syncReplicas+1 {
		return nil
	}
	return best
}

// isUsableReplica reports whether reads may go to up. If another upstream may
// have started a timeline of the same number, up may have a different history,
// so it is usable only if it is known to follow the primary.
func (m *Machine) isUsableReplica(g *group, gh model.GroupHead, up *upstream) bool {
	if !m.isReplica(gh, up) || up.spec.Leaving {
		return false
	}
	if m.cfg.Rules.TrustTimeline || up.probe.Follows == gh.Primary {
		return true
	}
	return up.probe.Follows == "" && !gh.Contested && !g.timelineConflict
}

// recordDeposed records and reports upstreams that take writes although the
// head row names another primary. They get no requests.
func (m *Machine) recordDeposed(g *group, gh model.GroupHead) {
	for _, up := range g.upstreams {
		if up.spec.ID == gh.Primary || !m.isProbeFresh(up) || up.probe.Recovering {
			continue
		}
		if up.probe.Timeline == gh.Timeline {
			g.timelineConflict = true
		}
		if g.deposed[up.spec.ID] {
			continue
		}
		g.deposed[up.spec.ID] = true
		m.report(ReportDeposedReturned, g.id, string(up.spec.ID))
	}
}
