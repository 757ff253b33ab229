package search_test

import (
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const (
	// The settings and times of a world in which the platform promotes.
	hostedMaxPromise    = time.Minute
	hostedLease         = 1200 * time.Millisecond
	hostedLeaseWait     = 2500 * time.Millisecond
	hostedSwitchTimeout = 1500 * time.Millisecond
	hostedRetryInterval = 2 * time.Second
	// promoteTime is the time from the acceptance of an order until the upstream
	// leads, and promotionPoll the time between two looks at it, for
	// promotionLimit.
	promoteTime    = 600 * time.Millisecond
	callTimeout    = time.Second
	promotionPoll  = 60 * time.Millisecond
	promotionLimit = 2500 * time.Millisecond
	// effectTime is the time after which an accepted order has taken effect.
	effectTime = 1300 * time.Millisecond
	// stepDownAfter is how long an old primary continues once it can reach the
	// new one.
	stepDownAfter = time.Second
	// alternationWindow is the time within which two instances must not order promotions
	// alternately.
	alternationWindow = 3 * time.Second
)

// hosted simulates a platform that promotes the upstreams of the group. Each
// promotion starts the next term; replicas follow its primary by themselves, and
// so does the old one.
type hosted struct {
	// term is the newest term.
	term   uint32
	orders []promotionOrder
	// Up to downUntil the platform loses orders. From then up to slowUntil it accepts
	// them callTimeout late, when the instance has given the call up.
	downUntil time.Duration
	slowUntil time.Duration
	// stepsDownAt holds the old primaries that can reach the new one.
	stepsDownAt map[model.UpstreamID]time.Duration
	// onOrder and onLead, if not nil, are called once, when the next order is
	// accepted and when the next upstream leads.
	onOrder func(by *node)
	onLead  func(up *server)
}

// promotionOrder is an order that the platform has accepted.
type promotionOrder struct {
	by model.InstanceID
	at time.Duration
}

// newHostedWorld returns a world in which the platform promotes.
func newHostedWorld(seed uint64, rules failover.Rules, instances int) *world {
	w := newWorld(seed, rules, 0)
	w.hosted = &hosted{term: 1, stepsDownAt: map[model.UpstreamID]time.Duration{}}
	for range instances {
		w.join()
	}
	w.every(replayEvery, w.followLeader)
	return w
}

// configure completes the settings of an instance.
func (h *hosted) configure(config *failover.Config) {
	config.PlatformPromotes = true
	config.MaxPromiseTime = hostedMaxPromise
	config.PromotionLease = hostedLease
	config.PromotionLeaseWait = hostedLeaseWait
	config.SwitchTimeout = hostedSwitchTimeout
	config.LeavingRetryInterval = hostedRetryInterval
}

// leader returns the primary of the newest term, or nil if it is not alive.
func (w *world) leader() *server {
	for _, up := range w.ups {
		if up.alive && !up.recovering && up.timeline == w.hosted.term {
			return up
		}
	}
	return nil
}

// orderPromotion sends a node's order to the platform, and looks at the upstream
// until it leads a later term than that of the head row.
func (n *node) orderPromotion(order failover.Promote) {
	if n.promoting {
		return
	}
	n.promoting = true
	head, _ := n.view.Head.Group(groupID)
	up := n.w.server(order.Upstream)
	result := failover.Promoted{Group: order.Group, Upstream: order.Upstream, Next: order.Next}
	if n.w.now < n.w.hosted.slowUntil {
		if n.w.now >= n.w.hosted.downUntil {
			n.w.after(callTimeout, func() { n.w.acceptOrder(n, up) })
		}
		n.w.after(callTimeout, func() { n.endPromotion(result) })
		return
	}
	n.w.after(n.w.net.delay(), func() {
		if !up.alive {
			n.endPromotion(result)
			return
		}
		n.w.acceptOrder(n, up)
		n.awaitLead(up, head, n.w.now, result)
	})
}

func (n *node) endPromotion(result failover.Promoted) {
	n.deliver(func() {
		n.promoting = false
		n.handle(result)
	})
}

// awaitLead looks at an upstream whose promotion was accepted until it leads a later
// term than that of head, or is found unchanged as the primary of head.
func (n *node) awaitLead(up *server, head model.GroupHead, acceptedAt time.Duration, result failover.Promoted) {
	leads := n.reaches(up) && !up.recovering
	unchanged := up.id == head.Primary && up.timeline == head.Timeline && n.w.now >= acceptedAt+effectTime
	if leads && (up.timeline > head.Timeline || unchanged) {
		result.OK = true
		result.Timeline = up.timeline
		result.StartLSN = up.lsn
	}
	if result.OK || n.w.now >= acceptedAt+promotionLimit {
		n.endPromotion(result)
		return
	}
	n.w.after(promotionPoll, func() { n.awaitLead(up, head, acceptedAt, result) })
}

// acceptOrder carries out an order. It does nothing to the present primary.
func (w *world) acceptOrder(by *node, up *server) {
	w.hosted.orders = append(w.hosted.orders, promotionOrder{by: by.id, at: w.now})
	w.checkAlternation()
	if up == w.leader() {
		return
	}
	if w.hosted.onOrder != nil {
		w.hosted.onOrder(by)
		w.hosted.onOrder = nil
	}
	w.after(promoteTime, func() { w.lead(up) })
}

// lead makes an upstream the primary of the next term.
func (w *world) lead(up *server) {
	if !up.alive || up == w.leader() {
		return
	}
	w.hosted.term++
	w.branches = append(w.branches, branch{parent: up.branch, fork: up.lsn})
	up.branch = len(w.branches) - 1
	up.startLSN = up.lsn
	up.recovering = false
	up.follows = nil
	up.timeline = w.hosted.term
	up.changedAt = w.now
	if w.hosted.onLead != nil {
		w.hosted.onLead(up)
		w.hosted.onLead = nil
	}
}

// followLeader makes the upstreams that can reach the primary follow it. A primary
// of an older term does so after stepDownAfter.
func (w *world) followLeader() {
	leader := w.leader()
	for _, up := range w.ups {
		if leader == nil || up == leader || !up.alive || w.net.cutDC[up.dc][leader.dc] {
			delete(w.hosted.stepsDownAt, up.id)
			continue
		}
		if up.follows == leader && up.branch == leader.branch || up.stalled {
			continue
		}
		if !up.recovering && !w.isStepDownDue(up) {
			continue
		}
		w.rebuild(up, leader)
	}
}

func (w *world) isStepDownDue(up *server) bool {
	due, known := w.hosted.stepsDownAt[up.id]
	if !known {
		due = w.now + stepDownAfter
		w.hosted.stepsDownAt[up.id] = due
	}
	return w.now >= due
}

// isDeposed reports whether the platform has promoted another upstream.
func (w *world) isDeposed(up *server) bool {
	return w.hosted != nil && up.timeline < w.hosted.term
}

// checkAlternation checks that no instance orders a promotion within alternationWindow of an
// earlier one of its own with one of another instance between the two.
func (w *world) checkAlternation() {
	orders := w.hosted.orders
	last := orders[len(orders)-1]
	between := model.InstanceID("")
	for i := len(orders) - 2; i >= 0 && last.at-orders[i].at < alternationWindow; i-- {
		if orders[i].by != last.by {
			between = orders[i].by
			continue
		}
		if between != "" {
			w.violate("%s, %s and %s again order promotions within %v", last.by, between, last.by, last.at-orders[i].at)
		}
	}
}
