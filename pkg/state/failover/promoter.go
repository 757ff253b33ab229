package failover

import (
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
	// orderedBefore is true if this instance has ordered a promotion under an earlier
	// seal of the generation, and orderedBeforeAt is when it last did.
	orderedBefore   bool
	orderedBeforeAt time.Duration
}

// restart discards the orders and their result, except for when the last order was.
func (r *promotionRecord) restart() {
	next := promotionRecord{orderedBefore: r.orderedBefore, orderedBeforeAt: r.orderedBeforeAt}
	if r.ordered {
		next.orderedBefore = true
		next.orderedBeforeAt = r.lastOrderedAt
	}
	*r = next
}

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
		other := m.replacementAfterTimeout(g, gh)
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

// orderPromotion orders the promotion of the candidate, again each ResendInterval, if
// this instance holds the promotion lease.
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
	g.promotion.lastOrderedAt = m.now
	m.emit(Promote{Group: g.id, Upstream: gh.Seal.Candidate, Next: gh.Seal.Next})
}

// promoted records the result of an order for the present seal. The old primary of
// the group may also have stayed on its timeline, as the platform's present primary.
func (m *Machine) promoted(event Promoted) {
	g := m.groupByID[event.Group]
	if g == nil || m.head == nil || !event.OK {
		return
	}
	gh, found := m.groupHead(g.id)
	if !found || gh.Seal == nil || gh.Seal.Candidate != event.Upstream || gh.Seal.Next != event.Next {
		return
	}
	started := event.Timeline > gh.Timeline
	unchanged := event.Upstream == gh.Primary && event.Timeline == gh.Timeline
	if !started && !unchanged {
		return
	}
	g.promotion.result = &event
	if started {
		m.report(ReportPromoted, g.id, string(event.Upstream))
	}
}
