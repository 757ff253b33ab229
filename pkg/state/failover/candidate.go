package failover

import "gypsumdock/pkg/state/model"

// isProbeFresh reports whether the last probe of up may be used.
func (m *Machine) isProbeFresh(up *upstream) bool {
	return up != nil && up.known && up.probe.Reachable && m.now-up.probe.StartedAt <= m.cfg.ProbeMaxAge
}

// probeNow asks for probes while a decision waits for a position.
func (m *Machine) probeNow(g *group) {
	if m.now-g.probeAskedAt < m.cfg.TickInterval {
		return
	}
	g.probeAskedAt = m.now
	m.emit(ProbeNow{Group: g.id})
}

// isReplica reports whether up replays the generation's timeline.
func (m *Machine) isReplica(gh model.GroupHead, up *upstream) bool {
	if !m.isProbeFresh(up) || up.spec.ID == gh.Primary {
		return false
	}
	return up.probe.Recovering && up.probe.Timeline == gh.Timeline
}

// isPromoted reports whether up was promoted from the generation's timeline.
func (m *Machine) isPromoted(gh model.GroupHead, up *upstream) bool {
	if !m.isProbeFresh(up) || up.spec.ID == gh.Primary {
		return false
	}
	return !up.probe.Recovering && up.probe.Timeline > gh.Timeline
}

// best returns the most advanced replica, or nil. With routes that wait for
// replicas, so many must be eligible that one of them has every such write.
func (m *Machine) best(g *group, gh model.GroupHead, except model.UpstreamID) *upstream {
	var best *upstream
	eligible := 0
	for _, up := range g.upstreams {
		if !m.isReplica(gh, up) {
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
	if g.sync > 0 && eligible < replicas-g.sync+1 {
		return nil
	}
	return best
}

// isUsableReplica reports whether reads may go to up. Where another upstream
// may have started the head's timeline too, only a replica that is known to
// follow the primary is on its history.
func (m *Machine) isUsableReplica(g *group, gh model.GroupHead, up *upstream) bool {
	if !m.isReplica(gh, up) || up.spec.Leaving {
		return false
	}
	if m.cfg.Rules.TrustTimeline || up.probe.Follows == gh.Primary {
		return true
	}
	return up.probe.Follows == "" && !gh.Contested && !g.twin
}

// noteDeposed records an upstream that takes writes although the head names
// another primary. It gets no work.
func (m *Machine) noteDeposed(g *group, gh model.GroupHead) {
	for _, up := range g.upstreams {
		if up.spec.ID == gh.Primary || !m.isProbeFresh(up) || up.probe.Recovering {
			continue
		}
		if up.probe.Timeline == gh.Timeline {
			g.twin = true
		}
		if g.deposed[up.spec.ID] {
			continue
		}
		g.deposed[up.spec.ID] = true
		m.report(ReportDeposedReturned, g.id, string(up.spec.ID))
	}
}
