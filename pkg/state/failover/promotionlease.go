package failover

import (
	"gypsumdock/pkg/state/model"
)

// leaseHolder returns the member that may still order promotions because it
// started the present generation, or an empty ID once its lease has expired.
func (m *Machine) leaseHolder(g *group, gh model.GroupHead) model.InstanceID {
	if m.now-g.generationAt >= m.cfg.PromotionLeaseWait || m.cfg.Rules.ForgetPromoter {
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
	if gh.Seal.Candidate == gh.Primary && m.isEarlierOrderPending(g) {
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

// isEarlierOrderPending reports whether an order that this instance gave for an earlier
// candidate may still take effect. Until it does, the platform takes the old primary for
// the present one and leaves it unchanged if its promotion is ordered.
func (m *Machine) isEarlierOrderPending(g *group) bool {
	return g.promotion.orderedBefore && m.now-g.promotion.orderedBeforeAt < m.cfg.PromotionLeaseWait
}
