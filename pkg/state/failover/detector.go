package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// vote is a peer's newest view of a group's primary.
type vote struct {
	at         time.Duration
	generation model.Generation
	reachable  bool
}

// observeFreshIntervals is the age, in observe intervals, up to which a peer's
// view counts.
const observeFreshIntervals = 3

// requiredDataCentres is the number of data centres whose instances must have
// lost a primary, unless the region has fewer.
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

// isServing reports whether the last probe found the upstream reachable and,
// where it is the head's primary, taking writes on the head's timeline.
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
	for _, observation := range message.Groups {
		g := m.groupByID[observation.Group]
		if g == nil {
			continue
		}
		g.votes[from] = vote{at: m.now, generation: observation.Generation, reachable: observation.Reachable}
	}
}

// detect finds whether the shared view says that the primary is lost.
func (m *Machine) detect(g *group, gh model.GroupHead) {
	own := g.upstream(gh.Primary)
	ownLost := own != nil && m.isLost(own)
	if ownLost != g.ownLost {
		g.ownLost = ownLost
		m.observeNow = true
	}
	if !ownLost || !m.peersAgree(g, gh) {
		g.lost = false
		return
	}
	if !g.lost {
		g.lost = true
		g.lostSince = m.now
		m.report(ReportPrimaryLost, g.id, string(gh.Primary))
	}
}

// peersAgree reports whether a majority of the members that report, in enough
// data centres, has lost the primary. This instance has.
func (m *Machine) peersAgree(g *group, gh model.GroupHead) bool {
	if m.cfg.Rules.DetectAlone {
		return true
	}
	reporting := 0
	lost := 0
	all := dataCentres{}
	agreeing := dataCentres{}
	for _, member := range m.head.Members {
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

func (m *Machine) voteOf(g *group, gh model.GroupHead, id model.InstanceID) (reachable, reports bool) {
	if id == m.self {
		return !g.ownLost, true
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

// dataCentres is a set; only its size is used.
type dataCentres map[model.DataCentre]struct{}

func (d dataCentres) add(name model.DataCentre) { d[name] = struct{}{} }

// decideObserved sends this instance's view to the other members. It is their
// heartbeat too.
func (m *Machine) decideObserved() {
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
		groups = append(groups, Observation{Group: g.id, Generation: gh.Generation, Reachable: !g.ownLost})
	}
	m.sendMembers(Observed{Groups: groups})
}
