package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// sealRecord is what this instance knows of the seal of a generation.
type sealRecord struct {
	generation model.Generation
	known      bool
	// learnedAt is when this instance first knew that the generation is sealed.
	learnedAt time.Duration
	content   model.Seal
	// contentAt is when it learned of the present content.
	contentAt time.Duration
	// takenOver is set when the promoter was another one before.
	takenOver bool
	// confirmed holds the members that gave up the generation for good.
	confirmed map[model.InstanceID]bool
	// stopSentAt is when StopWrites was last sent.
	stopSentAt time.Duration
	// stoppedAt is when all permits were found to be gone.
	stopped   bool
	stoppedAt time.Duration
}

// promoteRecord is what this instance has ordered and been answered.
type promoteRecord struct {
	ordered      bool
	orderedFirst time.Duration
	orderedAt    time.Duration
	// result is the newest successful answer, or nil.
	result *Promoted
}

// decidePromotion carries on the replacement of which this instance is the
// promoter.
func (m *Machine) decidePromotion(g *group, gh model.GroupHead, changes *edits) {
	if m.member.finished {
		return
	}
	m.askToStop(g, gh)
	if !m.isStopped(g) {
		return
	}
	if gh.Seal.Candidate == gh.Primary {
		m.resume(g, gh, changes)
		return
	}
	if g.promote.result != nil && g.promote.result.Upstream == gh.Seal.Candidate {
		m.startNext(gh, *g.promote.result, changes)
		return
	}
	m.promoteCandidate(g, gh, changes)
}

func (m *Machine) askToStop(g *group, gh model.GroupHead) {
	if g.seal.stopped || g.seal.stopSentAt != 0 && m.now-g.seal.stopSentAt < m.cfg.ResendInterval {
		return
	}
	g.seal.stopSentAt = m.now
	for _, member := range m.head.Members {
		if g.seal.confirmed[member.ID] {
			continue
		}
		m.send(member.ID, StopWrites{
			Group:       g.id,
			Generation:  gh.Generation,
			HeadVersion: m.head.Version,
			Planned:     gh.Seal.Planned,
		})
	}
}

// isStopped reports whether no permit of the sealed generation is left: every
// member has confirmed, or every permit from before the seal has run out.
func (m *Machine) isStopped(g *group) bool {
	if g.seal.stopped {
		return true
	}
	waited := m.member.established && m.now-g.seal.learnedAt >= m.cfg.confirmWait()
	if !waited && !m.allConfirmed(g) && !m.cfg.Rules.SkipConfirmation {
		return false
	}
	g.seal.stopped = true
	g.seal.stoppedAt = m.now
	m.report(ReportHoldersStopped, g.id, "")
	return true
}

func (m *Machine) allConfirmed(g *group) bool {
	for _, member := range m.head.Members {
		if !g.seal.confirmed[member.ID] {
			return false
		}
	}
	return true
}

// promoteCandidate orders the promotion of the candidate, or names another one.
func (m *Machine) promoteCandidate(g *group, gh model.GroupHead, changes *edits) {
	candidate := g.upstream(gh.Seal.Candidate)
	if !m.isFresh() {
		return
	}
	if !g.promote.ordered && !m.isPromoted(gh, candidate) {
		other := m.otherCandidate(g, gh, candidate)
		if other != "" {
			m.seal(gh, other, gh.Seal.Next+1, false, changes)
			return
		}
		if gh.Seal.Planned && !m.hasCaughtUp(g, gh, candidate) {
			m.probeNow(g)
			return
		}
	}
	if m.isUnanswered(g, candidate) {
		other := m.best(g, gh, gh.Seal.Candidate)
		if other != nil {
			m.seal(gh, other.spec.ID, gh.Seal.Next+1, false, changes)
			return
		}
	}
	if candidate != nil && m.isLost(candidate) && m.handOver(g, gh, changes) {
		return
	}
	m.order(g, gh)
}

// handOver names the next heard member as promoter, if this instance reaches
// none of the upstreams.
func (m *Machine) handOver(g *group, gh model.GroupHead, changes *edits) bool {
	for _, up := range g.upstreams {
		if !m.isLost(up) {
			return false
		}
	}
	next := m.nextPromoter()
	if next == "" || m.now-g.seal.contentAt < m.cfg.DetectAfter {
		return false
	}
	changes.addGroup(gh.ID, func(group *model.GroupHead) { group.Seal.By = next })
	return true
}

// nextPromoter returns the heard member after this instance in the order of IDs,
// which is circular; empty if none is heard.
func (m *Machine) nextPromoter() model.InstanceID {
	first := model.InstanceID("")
	for _, member := range m.head.Members {
		if member.ID == m.self || member.Evicted != 0 || !m.tracker.IsResponsive(m.now, member.ID) {
			continue
		}
		if member.ID > m.self {
			return member.ID
		}
		if first == "" {
			first = member.ID
		}
	}
	return first
}

// otherCandidate returns the upstream that is to start the next generation in
// place of candidate, before anything is ordered; empty keeps candidate.
func (m *Machine) otherCandidate(g *group, gh model.GroupHead, candidate *upstream) model.UpstreamID {
	primary := g.upstream(gh.Primary)
	healthy := primary != nil && m.isProbeFresh(primary) && m.isServing(g, primary)
	if gh.Seal.Planned {
		return m.otherTarget(g, gh, candidate, healthy)
	}
	if healthy && primary.probe.StartedAt >= g.seal.stoppedAt {
		return gh.Primary
	}
	best := m.best(g, gh, "")
	if best == nil {
		return ""
	}
	if !m.isReplica(gh, candidate) || best.probe.LSN > candidate.probe.LSN {
		return best.spec.ID
	}
	return ""
}

// isUnanswered reports whether the order to promote has stayed without success
// for PromoteTimeout from a candidate that is lost, or for twice as long.
func (m *Machine) isUnanswered(g *group, candidate *upstream) bool {
	if !g.promote.ordered {
		return false
	}
	waited := m.now - g.promote.orderedFirst
	lost := candidate == nil || m.isLost(candidate)
	return lost && waited >= m.cfg.PromoteTimeout || waited >= 2*m.cfg.PromoteTimeout
}

// holdsDuty reports whether this instance may order promotions: its newest
// read of the row is young, and the promoter that it has taken over from can
// give no more orders.
func (m *Machine) holdsDuty(g *group) bool {
	if g.seal.takenOver && m.now-g.seal.contentAt < m.cfg.PromotionLeaseWait {
		return false
	}
	if m.cfg.PromotionLease == 0 {
		return true
	}
	age := m.now - m.headFresh
	if age > m.cfg.PromotionLease/2 {
		m.reads.wanted = true
	}
	return age < m.cfg.PromotionLease
}

func (m *Machine) order(g *group, gh model.GroupHead) {
	if !m.holdsDuty(g) {
		return
	}
	if g.promote.ordered && m.now-g.promote.orderedAt < m.cfg.ResendInterval {
		return
	}
	if !g.promote.ordered {
		g.promote.orderedFirst = m.now
	}
	g.promote.ordered = true
	g.promote.orderedAt = m.now
	m.emit(Promote{Group: g.id, Upstream: gh.Seal.Candidate, Next: gh.Seal.Next})
}

func (m *Machine) promoted(event Promoted) {
	g := m.groupByID[event.Group]
	if g == nil || m.head == nil || !event.OK {
		return
	}
	gh, found := m.groupHead(g.id)
	if !found || gh.Seal == nil || gh.Seal.Candidate != event.Upstream || event.Timeline <= gh.Timeline {
		return
	}
	g.promote.result = &event
	m.report(ReportPromoted, g.id, string(event.Upstream))
}

// startNext writes the next generation on the promoted candidate.
func (m *Machine) startNext(gh model.GroupHead, result Promoted, changes *edits) {
	m.startOn(gh, result.Timeline, result.StartLSN, changes)
}

// resume writes the next generation on the old primary, which is healthy. The
// position is read after the last permit was gone, so every acknowledged write
// lies below it.
func (m *Machine) resume(g *group, gh model.GroupHead, changes *edits) {
	primary := g.upstream(gh.Primary)
	if primary == nil {
		return
	}
	if m.isLost(primary) {
		best := m.best(g, gh, "")
		if best != nil {
			m.seal(gh, best.spec.ID, gh.Seal.Next+1, false, changes)
		}
		return
	}
	if !m.isProbeFresh(primary) || !m.isServing(g, primary) || primary.probe.StartedAt < g.seal.stoppedAt {
		m.probeNow(g)
		return
	}
	m.startOn(gh, gh.Timeline, primary.probe.LSN, changes)
}

// isContested reports whether another upstream may have started the timeline of
// the generation that follows gh.
func isContested(gh model.GroupHead) bool {
	if gh.Seal.Candidate == gh.Primary {
		return gh.Contested
	}
	return gh.Seal.Next > gh.Generation+1
}

func (m *Machine) startOn(gh model.GroupHead, timeline uint32, start model.LSN, changes *edits) {
	changes.addGroup(gh.ID, func(group *model.GroupHead) {
		group.Generation = gh.Seal.Next
		group.Contested = isContested(gh)
		group.Primary = gh.Seal.Candidate
		group.StartLSN = start
		group.Timeline = timeline
		group.Seal = nil
	})
}
