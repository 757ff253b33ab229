package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
)

var _ = Describe("a unit that cannot meet its target", func() {
	newLate := func() *dispatch.Unit {
		unit := newRouteUnit(urgent, 0, "", 0)
		unit.Target = millis(35)
		return unit
	}

	It("waits behind all units that can, and runs when none of them waits", func() {
		group := newPrimaryOnly(1)
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		late := queue(group, 0, newLate())
		Expect(group.DecideWaiting(millis(20))).To(BeEmpty())
		onTime := queue(group, millis(21), newRouteUnit(urgent, millis(21), "", 0))
		Expect(releaseInTurn(group, millis(22), held)).To(Equal([]*dispatch.Unit{onTime, late}))
	})

	It("is refused when its deadline cannot be met", func() {
		group := newPrimaryOnly(1)
		_, refusal := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		Expect(refusal).To(BeNil())
		queue(group, 0, newLate())
		Expect(group.DecideWaiting(millis(769))).To(BeEmpty())
		decisions := group.DecideWaiting(millis(770))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Refusal.Reason).To(Equal(dispatch.RefusedQueueTooLong))
	})

	It("is refused at its target if its deadline comes no later", func() {
		group := newPrimaryOnly(1)
		group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		unit := newLate()
		unit.Target = millis(60)
		unit.Deadline = unit.Target
		queue(group, 0, unit)
		Expect(group.DecideWaiting(millis(29))).To(BeEmpty())
		Expect(group.DecideWaiting(millis(30))).To(HaveLen(1))
	})

	// Guards against callers that are refused together and retry together.
	It("is refused at once if the queue is too long for its deadline, with spread retry times", func() {
		group := newPrimaryOnly(1)
		var times []time.Duration
		for range 400 {
			_, refusal := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
			if refusal != nil {
				times = append(times, refusal.RetryAfter)
			}
		}
		Expect(len(times)).To(BeNumerically(">", 200))
		least, most := times[0], times[0]
		quarters := [4]int{}
		for _, at := range times {
			least, most = min(least, at), max(most, at)
		}
		Expect(most).To(BeNumerically(">", 19*least/10))
		for _, at := range times {
			quarters[min(3, int(4*(at-least)/(most-least)))]++
		}
		for _, count := range quarters {
			Expect(count).To(BeNumerically("~", len(times)/4, len(times)/20))
		}
	})

	// Guards against late units that take slots from units on time: a load in
	// bursts has at least the share on time that it has if late units are refused.
	It("takes nothing from those that can", func() {
		const length = 20 * time.Second
		run := func(refuseLate bool) *callerSimulation {
			s := newCallerSimulation(newBusyGroup())
			s.label = func(unit *dispatch.Unit) string { return unit.Route }
			const burst = 3.0
			arrives := func(now time.Duration) bool {
				return now%(2*time.Second) < millis(600) || s.random.Float64()*burst < 0.7
			}
			for route := range routes {
				newUnit := func(now time.Duration) *dispatch.Unit {
					if !arrives(now) {
						return nil
					}
					unit := s.newUnit(route, 1, 0, now)
					if refuseLate {
						unit.Deadline = unit.Target
					}
					return unit
				}
				s.scheduleArrivals(burst*8*routes[route].perSecond, length, newUnit, routes[route].work)
			}
			s.run(length + 3*time.Second)
			GinkgoWriter.Println(s.counts)
			return s
		}
		without, with := run(true), run(false)
		answered := 0
		for _, route := range routes {
			Expect(with.share("in time", route.name)).To(BeNumerically(">", without.share("in time", route.name)-0.005))
			Expect(with.counts["missed "+route.name]).To(BeZero())
			answered += with.counts["late "+route.name]
		}
		Expect(answered).To(BeNumerically(">", 30))
	})
})
