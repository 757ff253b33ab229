package failover

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// sealRecord is what this instance knows of the seal of a generation.
type sealRecord struct {
	generation model.Generation
	// known is true once this instance knows that the generation is sealed, and
	// learnedAt is when it learned that.
	known     bool
	learnedAt time.Duration
	content   model.Seal
	// contentAt is when this instance learned of content.
	contentAt time.Duration
	// promoterAt is when this instance learned of the promoter in content.
	promoterAt time.Duration
	// confirmed holds the other members that confirmed that they hold no permit
	// for the generation and never will again.
	confirmed map[model.InstanceID]bool
	// stopSentAt is when StopWrites was last sent.
	stopSentAt time.Duration
	// holdersStopped is true once no permit for the generation can be left, and
	// holdersStoppedAt is when that was found.
	holdersStopped   bool
	holdersStoppedAt time.Duration
}

// promotionRecord holds this instance's orders to promote the candidate of the
// present seal, and their result.
type promotionRecord struct {
	ordered        bool
	firstOrderedAt time.Duration
	lastOrderedAt  time.Duration
	// result is the newest successful answer, or nil.
	result *Promoted
	// orderedAny is true if this instance has ordered a promotion under any seal
	// of the generation.
	orderedAny bool
}

// nextSeal discards what belongs to the seal before.
func (r *promotionRecord) nextSeal() { *r = promotionRecord{orderedAny: r.orderedAny} }

// decidePromotion continues the change of primary of which this instance is the
// promoter: it stops the permit holders, has the candidate promoted, and starts
// the next generation.
func (m *Machine) decidePromotion(g *group, gh model.GroupHead, changes *edits) {
	if m.membership.finished {
		return
	}
	m.sendStopWrites(g, gh)
	if !m.haveHoldersStopped(g) {
		return
	}
	if gh.Seal.Candidate == gh.Primary && !m.mayHavePromoted(g, gh) {
		m.startOnOldPrimary(g, gh, changes)
		return
	}
	if g.promotion.result != nil {
		m.startOnCandidate(g, gh, *g.promotion.result, changes)
		return
	}
	m.promoteCandidate(g, gh, changes)
}

// mayHavePromoted reports whether the platform may have promoted an upstream of
// the sealed group, and thereby deposed its primary. The upstreams need not show
// that: the promoted one may be out of reach for all others. The old primary may
// then start a generation only if the platform has promoted it again, or has
// confirmed that it is still the primary.
func (m *Machine) mayHavePromoted(g *group, gh model.GroupHead) bool {
	if !m.cfg.PlatformPromotes {
		return false
	}
	return g.promotion.orderedAny || gh.Seal.TakenOver || m.isTimelineOutdated(g, gh)
}

// isTimelineOutdated reports whether an upstream is found on a later timeline than that
// of the head row.
func (m *Machine) isTimelineOutdated(g *group, gh model.GroupHead) bool {
	return slices.ContainsFunc(g.upstreams, func(up *upstream) bool {
		return m.isProbeFresh(up) && up.probe.Timeline > gh.Timeline
	})
}

// sendStopWrites asks the members that have not confirmed yet to give up their
// permits. One that does not confirm may be cut off from the table and not know
// this instance, so that it cannot answer: it gets the head row too.
func (m *Machine) sendStopWrites(g *group, gh model.GroupHead) {
	if g.seal.holdersStopped || g.seal.stopSentAt != 0 && m.now-g.seal.stopSentAt < m.cfg.ResendInterval {
		return
	}
	resent := g.seal.stopSentAt != 0
	g.seal.stopSentAt = m.now
	for _, member := range m.head.Members {
		if m.hasStopped(g, member.ID) {
			continue
		}
		if resent {
			m.send(member.ID, HeadSent{Head: m.head})
		}
		m.send(member.ID, StopWrites{
			Group:       g.id,
			Generation:  gh.Generation,
			HeadVersion: m.head.Version,
			Planned:     gh.Seal.Planned,
		})
	}
}

// haveHoldersStopped reports whether no permit of the sealed generation is
// left: every member has confirmed, or this instance is established and has
// waited until every permit from before the seal has expired.
func (m *Machine) haveHoldersStopped(g *group) bool {
	if g.seal.holdersStopped {
		return true
	}
	waited := m.membership.established && m.now-g.seal.learnedAt >= m.cfg.permitExpiryWait()
	if !waited && !m.allConfirmed(g) && !m.cfg.Rules.SkipConfirmation {
		return false
	}
	g.seal.holdersStopped = true
	g.seal.holdersStoppedAt = m.now
	m.report(ReportHoldersStopped, g.id, "")
	return true
}

func (m *Machine) allConfirmed(g *group) bool {
	for _, member := range m.head.Members {
		if m.cfg.Rules.ConfirmByServers && !g.isServedBy(member.ID) {
			continue
		}
		if !m.hasStopped(g, member.ID) {
			return false
		}
	}
	return true
}

// hasStopped reports whether a member has confirmed that it holds no permit for the
// sealed generation. This instance knows that of itself: it may have given its permit
// up, or never held one, before it became promoter.
func (m *Machine) hasStopped(g *group, id model.InstanceID) bool {
	if id == m.self {
		return g.stoppedGeneration >= g.seal.generation
	}
	return g.seal.confirmed[id]
}

// promoteCandidate orders the promotion of the candidate, or names another
// candidate or promoter in the seal.
func (m *Machine) promoteCandidate(g *group, gh model.GroupHead, changes *edits) {
	candidate := g.upstream(gh.Seal.Candidate)
	if !m.isHeadFresh() {
		return
	}
	if !g.promotion.ordered && !m.isPromoted(gh, candidate) {
		other := m.replacementCandidate(g, gh, candidate)
		if other != "" {
			m.sealGroup(gh, other, gh.Seal.Next+1, false, changes)
			return
		}
		if gh.Seal.Planned && !m.hasCaughtUp(g, gh, candidate) {
			m.probeNow(g)
			return
		}
	}
	if m.isPromotionTimedOut(g, candidate) {
		other := m.otherCandidate(g, gh)
		if other != "" {
			m.sealGroup(gh, other, gh.Seal.Next+1, false, changes)
			return
		}
	}
	if candidate != nil && m.isLost(candidate) && m.handOverPromotion(g, gh, changes) {
		return
	}
	m.orderPromotion(g, gh)
}

// handOverPromotion names the next member that is heard from as promoter, if
// this instance reaches none of the upstreams.
func (m *Machine) handOverPromotion(g *group, gh model.GroupHead, changes *edits) bool {
	for _, up := range g.upstreams {
		if !m.isLost(up) {
			return false
		}
	}
	next := m.nextPromoter(g)
	if next == "" || m.now-g.seal.contentAt < m.cfg.DetectAfter {
		return false
	}
	replacePromoter(gh.ID, next, changes)
	return true
}

// nextPromoter returns the next member in the circular order of IDs that serves
// the group and is heard from; empty if there is none.
func (m *Machine) nextPromoter(g *group) model.InstanceID {
	first := model.InstanceID("")
	for _, member := range m.head.Members {
		if member.ID == m.self || member.Evicted != 0 || !m.tracker.IsResponsive(m.now, member.ID) {
			continue
		}
		if !g.isServedBy(member.ID) {
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
		return m.replacementTarget(g, gh, candidate)
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
	best := m.mostAdvancedReplica(g, gh, "")
	if best == nil {
		return ""
	}
	return best.spec.ID
}

// isPrimaryUsable reports whether the old primary was found healthy after the last
// permit had expired or was given up. It then has every acknowledged write.
func (m *Machine) isPrimaryUsable(g *group, gh model.GroupHead) bool {
	primary := g.upstream(gh.Primary)
	return m.isProbeFresh(primary) && m.isServing(g, primary) && primary.probe.StartedAt >= g.seal.holdersStoppedAt
}

// otherCandidate returns the upstream that is to become primary in place of a
// candidate whose promotion timed out; empty if there is none.
func (m *Machine) otherCandidate(g *group, gh model.GroupHead) model.UpstreamID {
	promoted := m.promotedUpstream(g, gh)
	if promoted != nil && promoted.spec.ID != gh.Seal.Candidate {
		return promoted.spec.ID
	}
	if gh.Seal.Candidate != gh.Primary && m.isPrimaryUsable(g, gh) {
		return gh.Primary
	}
	other := m.mostAdvancedReplica(g, gh, gh.Seal.Candidate)
	if other == nil {
		return ""
	}
	return other.spec.ID
}

// isPromotionTimedOut reports whether the order to promote has had no success
// for PromoteTimeout with a candidate that is lost, or for twice as long with
// any.
func (m *Machine) isPromotionTimedOut(g *group, candidate *upstream) bool {
	if !g.promotion.ordered {
		return false
	}
	waited := m.now - g.promotion.firstOrderedAt
	lost := candidate == nil || m.isLost(candidate)
	return lost && waited >= m.cfg.PromoteTimeout || waited >= 2*m.cfg.PromoteTimeout
}

// leaseHolder returns the member that may still order promotions because it
// started the present generation, or an empty ID once its lease has expired.
func (m *Machine) leaseHolder(g *group, gh model.GroupHead) model.InstanceID {
	if m.now-g.generationAt >= m.cfg.PromotionLeaseWait {
		return ""
	}
	return gh.Promoter
}

// holdsPromotionLease reports whether this instance may order promotions: its
// newest read of the head row is younger than PromotionLease, and the leases of
// earlier promoters have expired, of this generation and of the one that ended.
func (m *Machine) holdsPromotionLease(g *group, gh model.GroupHead) bool {
	if gh.Seal.TakenOver && m.now-g.seal.promoterAt < m.cfg.PromotionLeaseWait {
		return false
	}
	holder := m.leaseHolder(g, gh)
	if holder != "" && holder != m.self {
		return false
	}
	if m.cfg.PromotionLease == 0 {
		return true
	}
	age := m.now - m.headReadAt
	if age > m.cfg.PromotionLease/2 {
		m.reads.wanted = true
	}
	return age < m.cfg.PromotionLease
}

func (m *Machine) orderPromotion(g *group, gh model.GroupHead) {
	if !m.holdsPromotionLease(g, gh) {
		return
	}
	if g.promotion.ordered && m.now-g.promotion.lastOrderedAt < m.cfg.ResendInterval {
		return
	}
	if !g.promotion.ordered {
		g.promotion.firstOrderedAt = m.now
	}
	g.promotion.ordered = true
	g.promotion.orderedAny = true
	g.promotion.lastOrderedAt = m.now
	m.emit(Promote{Group: g.id, Upstream: gh.Seal.Candidate, Next: gh.Seal.Next})
}

func (m *Machine) promoted(event Promoted) {
	g := m.groupByID[event.Group]
	if g == nil || m.head == nil || !event.OK {
		return
	}
	gh, found := m.groupHead(g.id)
	if !found || gh.Seal == nil || gh.Seal.Candidate != event.Upstream || gh.Seal.Next != event.Next {
		return
	}
	if event.Timeline > gh.Timeline {
		m.report(ReportPromoted, g.id, string(event.Upstream))
	} else if event.Upstream != gh.Primary || event.Timeline < gh.Timeline {
		return
	}
	g.promotion.result = &event
}

// startOnCandidate starts the next generation on the promoted candidate, or on the
// old primary if the platform has confirmed that it still is the primary.
func (m *Machine) startOnCandidate(g *group, gh model.GroupHead, result Promoted, changes *edits) {
	if result.Timeline == gh.Timeline {
		m.startOnOldPrimary(g, gh, changes)
		return
	}
	m.startGeneration(gh, result.Timeline, result.StartLSN, changes)
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
	if !m.isProbeFresh(primary) || !m.isServing(g, primary) || primary.probe.StartedAt < g.seal.holdersStoppedAt {
		m.probeNow(g)
		return
	}
	m.startGeneration(gh, gh.Timeline, primary.probe.LSN, changes)
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
