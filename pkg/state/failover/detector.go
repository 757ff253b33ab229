package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// vote is the newest report of a peer on a group's primary.
type vote struct {
	at         time.Duration
	generation model.Generation
	reachable  bool
}

// observeFreshIntervals is the age in observe intervals up to which a peer's
// vote counts.
const observeFreshIntervals = 3

// requiredDataCentres is the number of data centres in which members must have
// lost the primary before it is replaced. In a region with fewer data centres,
// all of them are required.
const requiredDataCentres = 2

func (m *Machine) probed(event Probed) {
	g := m.groupByID[event.Group]
	if g == nil {
		return
	}
	up := g.upstream(event.Upstream)
	if up == nil || up.known && event.StartedAt < up.probe.StartedAt {
		return
	}
	if !up.known {
		up.healthyAt = event.StartedAt
	}
	up.known = true
	up.probe = event
	up.probedAt = m.now
	m.countProbe(g, up)
}

func (m *Machine) countProbe(g *group, up *upstream) {
	if !m.isServing(g, up) {
		up.failures++
		return
	}
	up.failures = 0
	up.healthyAt = up.probe.StartedAt
}

// isServing reports whether the last probe reached the upstream. The primary of
// the head row must also take writes on the timeline that the row names.
func (m *Machine) isServing(g *group, up *upstream) bool {
	if !up.probe.Reachable {
		return false
	}
	if m.head == nil {
		return true
	}
	gh, found := m.groupHead(g.id)
	if !found || gh.Primary != up.spec.ID {
		return true
	}
	return !up.probe.Recovering && up.probe.Timeline == gh.Timeline
}

// isLost reports whether this instance's own probes of the upstream have failed
// for DetectAfter.
func (m *Machine) isLost(up *upstream) bool {
	return up.known && up.failures >= minProbeFailures && m.now-up.healthyAt >= m.cfg.DetectAfter
}

func (m *Machine) observed(from model.InstanceID, message Observed) {
	m.cutOff[from] = message.CutOff
	for _, observation := range message.Groups {
		g := m.groupByID[observation.Group]
		if g == nil {
			continue
		}
		g.votes[from] = vote{at: m.now, generation: observation.Generation, reachable: observation.Reachable}
	}
}

// detect decides whether the primary is lost: for this instance and for a
// majority of the members.
func (m *Machine) detect(g *group, gh model.GroupHead) {
	primary := g.upstream(gh.Primary)
	ownLost := primary != nil && m.isLost(primary)
	if ownLost != g.locallyLost {
		g.locallyLost = ownLost
		m.observeNow = true
	}
	if !ownLost || !m.isLostByMajority(g, gh) {
		g.lost = false
		return
	}
	if !g.lost {
		g.lost = true
		g.lostSince = m.now
		m.report(ReportPrimaryLost, g.id, string(gh.Primary))
	}
}

// isLostByMajority reports whether a majority of the servers with a recent vote
// has lost the primary, in at least requiredDataCentres data centres. The
// caller has checked that this instance has.
func (m *Machine) isLostByMajority(g *group, gh model.GroupHead) bool {
	if m.cfg.Rules.DetectAlone {
		return true
	}
	reporting := 0
	lost := 0
	all := dataCentres{}
	agreeing := dataCentres{}
	for _, member := range m.head.Members {
		if !g.isServedBy(member.ID) {
			continue
		}
		all.add(member.DataCentre)
		reachable, reports := m.voteOf(g, gh, member.ID)
		if !reports {
			continue
		}
		reporting++
		if !reachable {
			lost++
			agreeing.add(member.DataCentre)
		}
	}
	required := min(requiredDataCentres, len(all))
	return lost*2 > reporting && len(agreeing) >= required
}

// voteOf returns the vote of a member. reports is false if it has none for this
// generation, or only one that is too old.
func (m *Machine) voteOf(g *group, gh model.GroupHead, id model.InstanceID) (reachable, reports bool) {
	if id == m.self {
		return !g.locallyLost, true
	}
	newest, found := g.votes[id]
	if !found || newest.generation != gh.Generation {
		return false, false
	}
	if m.now-newest.at > observeFreshIntervals*m.cfg.ObserveInterval {
		return false, false
	}
	return newest.reachable, true
}

// dataCentres is a set of data centres; only its size is used.
type dataCentres map[model.DataCentre]struct{}

func (d dataCentres) add(name model.DataCentre) { d[name] = struct{}{} }

// decideObserved sends this instance's view of the primaries to the other
// members. The message also serves as heartbeat. An instance that is no member
// has no vote.
func (m *Machine) decideObserved() {
	if !m.membership.registered {
		return
	}
	due := m.observedAt == 0 || m.now-m.observedAt >= m.cfg.ObserveInterval
	if !due && !m.observeNow {
		return
	}
	m.observedAt = m.now
	m.observeNow = false
	var groups []Observation
	for _, g := range m.groups {
		gh, found := m.groupHead(g.id)
		up := g.upstream(gh.Primary)
		if !found || up == nil || !up.known {
			continue
		}
		groups = append(groups, Observation{Group: g.id, Generation: gh.Generation, Reachable: !g.locallyLost})
	}
	m.sendMembers(Observed{Groups: groups, CutOff: m.isCutOff()})
}
