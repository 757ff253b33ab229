package search_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const (
	// hostedSeeds is the number of runs of each scenario.
	hostedSeeds = 20
	// hostedSearchSeeds is the number of schedules with random faults.
	hostedSearchSeeds uint64 = 300
	// Each of leavingPrimaries leaves as soon as the members know it, or up to
	// leavingDelay later.
	leavingPrimaries = 10
	leavingDelay     = 800 * time.Millisecond
	// pauseTime is how long a promoter is paused. An upstream that has begun to lead is down
	// for downTime from downAfter on.
	pauseTime = 3500 * time.Millisecond
	downAfter = 200 * time.Millisecond
	downTime  = 7 * time.Second
	// restartTime is how long all nodes are gone in a restart of all, and recoveryTime the
	// time after which the group must be served again.
	restartTime  = 1200 * time.Millisecond
	recoveryTime = 12 * time.Second
	// followedAfter is the time in which all others follow a new primary.
	followedAfter = 1400 * time.Millisecond
	// takeoverStuckAfter is the default of failover.Config.TakeoverStuckAfter.
	takeoverStuckAfter = 5 * time.Second
	// drainTime is the time after which a leaving upstream gets no requests.
	drainTime = 7 * time.Second
)

// settledHostedWorld returns a world in which the platform promotes, without faults at
// settleTime.
func settledHostedWorld(seed uint64) *world {
	w := newHostedWorld(seed, failover.Rules{}, gapInstances)
	w.run(settleTime)
	return w
}

// leave tells all nodes that an upstream leaves, and that the others do not.
func (w *world) leave(leaving *server) {
	for _, up := range w.ups {
		up.leaving = up == leaving
	}
	for _, n := range w.nodes {
		n.deliver(func() { n.handle(w.bundle(0)) })
	}
}

// expectWrites checks that writes are acknowledged.
func (w *world) expectWrites(seed uint64) {
	Expect(w.lastAck).To(BeNumerically(">", w.now-time.Second), "seed %d", seed)
}

// hostedFaults holds the faults of the search where the platform promotes.
var hostedFaults = append(slices.Clone(allFaults), slowPromotions, slowPromotions, slowPromotions)

// slowPromotions lets the platform accept orders only when the instances have given
// them up.
func slowPromotions(w *world, lasts time.Duration) {
	w.hosted.slowUntil = w.now + lasts
}

// takeDown makes an upstream unreachable for downTime.
func (w *world) takeDown(up *server) {
	up.alive = false
	w.after(downTime, func() { up.alive = true })
}

// restartAll ends all nodes, and starts as many on the same machines.
func (w *world) restartAll() {
	ended := slices.Clone(w.nodes)
	for _, n := range ended {
		n.dead = true
	}
	w.after(restartTime, func() {
		for _, n := range ended {
			w.joinOn(n.hardware)
		}
	})
}

var _ = Describe("a group that the platform promotes", func() {
	// Guards against two instances that order promotions alternately: the rank of the members, and not who held the
	// promotion lease, decided who replaced the next leaving primary.
	It("is switched from each of several leaving primaries without two instances that alternate", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			for range leavingPrimaries {
				w.continueFor(w.between(0, leavingDelay))
				old := w.table.group().Primary
				w.leave(w.server(old))
				for end := w.now + scenarioFor; w.now < end && w.table.group().Primary == old; {
					w.continueFor(tickInterval)
				}
				Expect(w.table.group().Primary).NotTo(Equal(old), "seed %d", seed)
			}
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
		}
	})

	// Guards against writes at a deposed primary: the promoter was paused after its order was
	// accepted, and the new primary was lost before the head row named it. The member that took
	// over made the old primary the primary again.
	It("acknowledges no write at the old primary if the promoter is paused after its order", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.hosted.onOrder = func(by *node) { by.pause(pauseTime) }
			w.hosted.onLead = func(up *server) { w.after(downAfter, func() { w.takeDown(up) }) }
			w.leave(w.server("u1"))
			w.continueFor(2 * scenarioFor)
			Expect(w.hosted.term).To(BeNumerically(">", 1), "seed %d", seed)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
			w.expectWrites(seed)
			Expect(w.longestPause(settleTime)).To(BeNumerically("<", scenarioFor), "seed %d", seed)
		}
	})

	// Guards against the same without a fault on any instance: a promoter whose candidate was
	// silent gave up the seal, and forgot with it that it had ordered a promotion.
	It("acknowledges no write at the old primary if the candidate is silent after the order", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.hosted.onLead = w.takeDown
			w.leave(w.server("u1"))
			w.continueFor(2 * scenarioFor)
			Expect(w.hosted.term).To(BeNumerically(">", 1), "seed %d", seed)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// A promoter that takes over cannot tell whether a promotion was ordered. If none was, the
	// platform confirms the old primary, which must not stay sealed.
	It("keeps the old primary if the promoter is paused before its order and the candidate is silent", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.table.onSeal = func(*world) {
				w.takeDown(w.server(w.table.group().Seal.Candidate))
				w.promoter().pause(pauseTime)
			}
			w.requestSwitch("u2")
			w.continueFor(2 * scenarioFor)
			Expect(w.table.group().Primary).To(BeEquivalentTo("u1"), "seed %d", seed)
			Expect(w.hosted.term).To(BeEquivalentTo(1), "seed %d", seed)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// Guards against requests at a leaving primary: a generation for which two candidates had been
	// named was taken for one whose timeline two upstreams may have started, so that no replica
	// was a target of the next switch.
	It("is switched from a leaving primary after a failover whose first candidate failed", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.server("u1").alive = false
			w.table.onSeal = func(*world) { w.takeDown(w.server(w.table.group().Seal.Candidate)) }
			w.continueFor(scenarioFor)
			w.server("u1").alive = true
			w.continueFor(scenarioFor)
			Expect(w.table.group().Generation).To(BeNumerically(">", 2), "seed %d", seed)
			old := w.table.group().Primary
			w.leave(w.server(old))
			w.continueFor(drainTime)
			Expect(w.table.group().Primary).NotTo(Equal(old), "seed %d", seed)
		}
	})

	// An order that reaches the platform late may promote an upstream while the group is open. If
	// the primary is lost then, the replicas follow that upstream, and none is on the timeline
	// of the head row.
	It("is served by an upstream that was promoted while the group was open", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.server("u1").alive = false
			w.lead(w.server("u2"))
			w.continueFor(scenarioFor)
			Expect(w.table.group().Primary).To(BeEquivalentTo("u2"), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// Guards against a group without a primary after all processes were killed while it was sealed:
	// the member that took the seal over waited for its own confirmation, which it never sends to
	// itself.
	It("has a primary again soon after a restart of all while it is sealed", func() {
		for seed := range uint64(hostedSeeds) {
			for _, after := range []time.Duration{0, promoteTime / 2, 2 * promoteTime} {
				w := settledHostedWorld(seed)
				w.table.onSeal = func(w *world) { w.after(after, w.restartAll) }
				w.leave(w.server("u1"))
				w.continueFor(recoveryTime + restartTime + time.Second)
				Expect(w.lastAck).To(BeNumerically(">", w.now-time.Second), "seed %d, %v after the seal", seed, after)
			}
		}
	})

	// The platform was slow, and the promoter gave its order up. It took effect after the promoter
	// had ordered the old primary, which the platform still took for the present one.
	It("acknowledges no write at the old primary if an order takes effect after it was given up", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.hosted.downUntil = w.now + 3*callTimeout
			w.hosted.slowUntil = w.now + 4*callTimeout
			w.requestSwitch("u2")
			w.continueFor(2 * scenarioFor)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// Guards against requests at a leaving primary: the member that took a planned switch over after
	// a restart of all gave the target up before it had probed it, and went back to that primary.
	It("completes a planned switch from a leaving primary after a restart of all", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.table.onSeal = func(w *world) { w.restartAll() }
			w.leave(w.server("u1"))
			w.continueFor(restartTime + recoveryTime)
			Expect(w.table.group().Primary).NotTo(BeEquivalentTo("u1"), "seed %d", seed)
			Expect(w.table.group().Generation).To(BeEquivalentTo(2), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// A target without capacity for probes is never judged by one.
	It("keeps the old primary if the target of a planned switch is busy for long", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.table.onSeal = func(*world) { w.server("u2").busy = true }
			w.requestSwitch("u2")
			w.continueFor(2*hostedSwitchTimeout + time.Second)
			Expect(w.table.group().Primary).To(BeEquivalentTo("u1"), "seed %d", seed)
			w.expectWrites(seed)
		}
	})

	// A promoter that has ordered nothing, and took nothing over, may still see that the platform
	// has promoted another upstream, for an order that reached it late.
	It("acknowledges no write at the old primary if the replicas follow another one", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			target, other := w.server("u2"), w.server("u3")
			target.stalled = true
			for _, n := range w.nodes {
				n.noUpstream[other.id] = true
			}
			w.continueFor(targetLagsFor)
			w.table.onSeal = func(*world) {
				w.after(hostedSwitchTimeout/2, func() {
					target.stalled = false
					w.lead(other)
					w.after(downAfter, func() { w.takeDown(other) })
				})
			}
			w.requestSwitch("u2")
			w.continueFor(2 * scenarioFor)
			w.expectWrites(seed)
		}
	})

	// Members that are not established leave a takeover to those that are. After a restart of all
	// there are none, and the group waited another TakeoverStuckAfter for them.
	It("is taken over by members that are not established if nobody is", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.hosted.onOrder = func(by *node) {
				w.restartAll()
				w.after(restartTime+takeoverStuckAfter, func() {
					seal := w.table.group().Seal
					Expect(seal == nil || seal.By != by.id).To(BeTrue(), "seed %d", seed)
				})
			}
			w.leave(w.server("u1"))
			w.continueFor(scenarioFor)
			Expect(w.hosted.orders).NotTo(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against a group without a primary for good: the new primary was lost before the head
	// row named it. All others followed it, so that none was on the timeline of the head row.
	It("has a primary again if one that the head row never named is lost for good", func() {
		for seed := range uint64(hostedSeeds) {
			w := settledHostedWorld(seed)
			w.hosted.onOrder = func(*node) { w.restartAll() }
			w.hosted.onLead = func(up *server) { w.after(followedAfter, func() { up.alive = false }) }
			w.leave(w.server("u1"))
			w.continueFor(2 * scenarioFor)
			Expect(w.hosted.term).To(BeNumerically(">", 2), "seed %d", seed)
			w.expectWrites(seed)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
		}
	})

	It("keeps every invariant under random faults", func() {
		var total tally
		for seed := range hostedSearchSeeds {
			w := newHostedWorld(seed, failover.Rules{}, 3+int(seed%3))
			total.add(seed, runWorld(w, hostedFaults))
		}
		Expect(total.violations).To(BeEmpty())
		Expect(total.generations).To(BeNumerically(">", total.schedules/2))
	})

	DescribeTable("violates an invariant if a safety rule is off",
		func(rules failover.Rules, violation string, faults ...fault) {
			var total tally
			for seed := uint64(0); seed < hostedSearchSeeds && len(total.violations) == 0; seed++ {
				w := newHostedWorld(seed, rules, 3+int(seed%3))
				total.add(seed, runWorld(w, faults))
			}
			Expect(total.violations).To(ContainElement(ContainSubstring(violation)))
		},
		Entry("ask the platform before an old primary is used again", failover.Rules{ForgetPromotions: true},
			"committed at a replaced primary", killCandidate, pausePromoter, requestSwitch),
	)

	It("is switched by another instance only after the lease of the last promoter", func() {
		violationOf := func(rules failover.Rules) string {
			w := newHostedWorld(0, rules, gapInstances)
			w.run(settleTime)
			for turn, target := range []model.UpstreamID{"u2", "u3", "u1"} {
				n := w.nodes[turn%2]
				n.handle(failover.SwitchRequested{Group: groupID, Target: target})
				w.run(w.now + alternationWindow/3)
			}
			Expect(w.hosted.orders).NotTo(BeEmpty())
			return w.violation
		}
		Expect(violationOf(failover.Rules{})).To(BeEmpty())
		Expect(violationOf(failover.Rules{ForgetPromoter: true})).To(ContainSubstring("again order promotions"))
	})
})
