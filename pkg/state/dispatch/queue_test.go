package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// newPrimaryOnly returns a group of a primary with the given number of slots.
func newPrimaryOnly(slots int) *dispatch.Group {
	group := dispatch.NewGroup("quay-east")
	group.SetUpstreams([]dispatch.UpstreamSpec{
		{ID: primary, DataCentre: "quay-east", Slots: slots, MaxConnections: 70, MaxOutstanding: slots},
	})
	group.SetLeadership(dispatch.Leadership{Generation: 1, Primary: primary, PermitUntil: forever, Term: 1})
	return group
}

// queue submits a unit that must not be placed or refused.
func queue(group *dispatch.Group, now time.Duration, unit *dispatch.Unit) *dispatch.Unit {
	placement, refusal := group.Submit(now, unit)
	ExpectWithOffset(1, placement).To(BeNil())
	ExpectWithOffset(1, refusal).To(BeNil())
	return unit
}

// releaseInTurn frees one slot after another and returns the units that are
// placed, until the queue is empty.
func releaseInTurn(group *dispatch.Group, now time.Duration, placement *dispatch.Placement) []*dispatch.Unit {
	var order []*dispatch.Unit
	for placement != nil {
		group.Release(now, placement)
		placement = nil
		for _, decision := range group.DecideWaiting(now) {
			if decision.Placement != nil {
				order = append(order, decision.Unit)
				placement = decision.Placement
			}
		}
	}
	return order
}

var _ = Describe("the queue", func() {
	It("orders units without callers by deadline and arrival, in one priority", func() {
		group := newPrimaryOnly(1)
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		var units []*dispatch.Unit
		for i, deadline := range []int{800, 700, 800, 600} {
			unit := newRouteUnit(urgent, 0, "", uint64(i))
			unit.Deadline = millis(deadline)
			units = append(units, queue(group, 0, unit))
		}
		Expect(releaseInTurn(group, millis(1), held)).To(Equal([]*dispatch.Unit{units[3], units[1], units[0], units[2]}))
	})

	It("serves the highest priority first, without callers too", func() {
		group := newPrimaryOnly(1)
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		low := newRouteUnit(normal, 0, "", 0)
		low.NeedsPrimary = true
		low.Deadline = millis(500)
		queue(group, 0, low)
		high := queue(group, 0, newRouteUnit(urgent, 0, "", 0))
		Expect(releaseInTurn(group, millis(1), held)).To(Equal([]*dispatch.Unit{high, low}))
	})

	// Guards against a caller that opens sessions to be served more often, and
	// against a weight that is not applied.
	It("shares the slots of a priority by caller and weight", func() {
		group := newPrimaryOnly(1)
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		for i := range 20 {
			for _, caller := range []model.CallerName{"four", "one"} {
				unit := newRouteUnit(urgent, 0, caller, uint64(i))
				if caller == "four" {
					unit.Session, unit.Weight = 0, 4
				}
				unit.Target, unit.Deadline = 0, forever
				queue(group, 0, unit)
			}
		}
		served := map[model.CallerName]int{}
		placement := held
		for i := range 20 {
			now := millis(6 * (i + 1))
			group.Release(now, placement)
			decisions := group.DecideWaiting(now)
			Expect(decisions).To(HaveLen(1))
			placement = decisions[0].Placement
			served[decisions[0].Unit.Caller]++
		}
		Expect(served["four"]).To(BeNumerically("~", 16, 1))
	})

	// Guards against a session that is served more often because it has more units
	// waiting.
	It("gives the sessions of a caller turns", func() {
		group := newPrimaryOnly(1)
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "a", 1))
		first := queue(group, 0, newRouteUnit(urgent, 0, "a", 1))
		second := queue(group, 0, newRouteUnit(urgent, 0, "a", 1))
		other := queue(group, 0, newRouteUnit(urgent, 0, "a", 2))
		Expect(releaseInTurn(group, millis(1), held)).To(Equal([]*dispatch.Unit{first, other, second}))
	})

	// Guards against a caller that is charged for a transaction that waits for it.
	It("charges a caller for the time in which its units occupy slots only", func() {
		group := newPrimaryOnly(2)
		idle, _ := group.Submit(0, newRouteUnit(urgent, 0, "idle", 1))
		group.Sent(0, idle)
		group.Answered(millis(10), idle, "urgent", millis(10))
		busy, _ := group.Submit(0, newRouteUnit(urgent, 0, "busy", 1))
		other, _ := group.Submit(millis(10), newRouteUnit(urgent, millis(10), "other", 1))
		group.Release(millis(300), busy)
		group.Release(millis(500), idle)
		held, _ := group.Submit(millis(500), newRouteUnit(urgent, millis(500), "other", 1))
		Expect(other).NotTo(BeNil())
		Expect(held).NotTo(BeNil())
		var units []*dispatch.Unit
		for _, caller := range []model.CallerName{"busy", "idle"} {
			units = append(units, queue(group, millis(500), newRouteUnit(urgent, millis(500), caller, 1)))
		}
		Expect(releaseInTurn(group, millis(501), held)).To(Equal([]*dispatch.Unit{units[1], units[0]}))
	})

	// Guards against a full primary that holds up reads for free replicas.
	It("places reads while units wait for the primary, and the reverse", func() {
		group := newBusyGroup()
		samplePrimary(group, 0)
		writes, reads := []*dispatch.Placement{}, []*dispatch.Placement{}
		for range 15 {
			placement, _ := group.Submit(0, newRouteUnit(normal, 0, "", 0))
			reads = append(reads, placement)
		}
		write := queue(group, 0, newRouteUnit(urgent, 0, "", 0))
		read := queue(group, 0, newRouteUnit(normal, 0, "", 0))
		for _, placement := range reads {
			if placement.Primary {
				writes = append(writes, placement)
			} else {
				group.Release(millis(5), placement)
				break
			}
		}
		decisions := group.DecideWaiting(millis(5))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Unit).To(Equal(read))
		read = queue(group, millis(5), newRouteUnit(normal, millis(5), "", 0))
		for _, placement := range append(writes, reads...) {
			if placement.Primary {
				group.Release(millis(6), placement)
				break
			}
		}
		decisions = group.DecideWaiting(millis(6))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Unit).To(Equal(write))
		Expect(group.Cancel(read)).To(BeTrue())
		Expect(group.Waiting()).To(BeZero())
	})
})

var _ = Describe("priorities", func() {
	const length = 15 * time.Second

	// Guards against batch reads that hold all slots: priority 0 waits for no more
	// than the statement that runs, and at most one unit of its own ahead of it.
	It("keep urgent units from waiting for a burst of batch reads", func() {
		s := newCallerSimulation(newBusyGroup())
		for number := range callerCount {
			s.schedule(urgent, number, 0.5, length)
			s.schedule(batch, number, 2.2*3, length)
		}
		s.run(length + 3*time.Second)
		GinkgoWriter.Println(s.counts, s.longestWait)
		Expect(s.share("refused", "batch")).To(BeNumerically(">", 0.05))
		Expect(s.share("in time", "urgent")).To(BeNumerically(">", 0.999))
		Expect(s.longestWait["urgent"]).To(BeNumerically("<=", (routes[batch].work+routes[urgent].work)*3/2))
		Expect(s.counts["missed batch"]).To(BeZero())
	})

	// Guards against a priority that saves up its share: what it does not use is
	// lent to others at once.
	It("have no claim to a share that they did not use", func() {
		group := newPrimaryOnly(1)
		newBatch := func() *dispatch.Unit {
			unit := newRouteUnit(batch, 0, "", 0)
			unit.NeedsPrimary = true
			return unit
		}
		held, _ := group.Submit(0, newRouteUnit(urgent, 0, "", 0))
		low := queue(group, 0, newBatch())
		for range 8 {
			queue(group, 0, newRouteUnit(urgent, 0, "", 0))
			group.Release(millis(1), held)
			decisions := group.DecideWaiting(millis(1))
			Expect(decisions).To(HaveLen(1))
			Expect(decisions[0].Unit.Route).To(Equal("urgent"))
			held = decisions[0].Placement
		}
		group.Cancel(low)
		low = queue(group, millis(1), newBatch())
		high := queue(group, millis(1), newRouteUnit(urgent, millis(1), "", 0))
		Expect(releaseInTurn(group, millis(1), held)).To(Equal([]*dispatch.Unit{high, low}))
	})

	// Guards against a lower priority that gets nothing while higher ones fill all
	// slots, and against one that gets its part too late.
	It("leave an eighth of the slot time to batch reads while normal ones fill all slots", func() {
		s := newCallerSimulation(newBusyGroup())
		s.label = func(unit *dispatch.Unit) string { return unit.Route }
		for number := range callerCount {
			s.schedule(normal, number, 4, length)
			s.schedule(batch, number, 2.2, length)
		}
		s.run(length + 3*time.Second)
		GinkgoWriter.Println(s.counts, s.slotTime)
		total := s.slotTime["normal"] + s.slotTime["batch"]
		Expect(total.Seconds()).To(BeNumerically(">", 0.9*15*length.Seconds()))
		Expect(s.slotTime["batch"].Seconds()).To(BeNumerically(">", 0.95*total.Seconds()/8))
		Expect(s.slotTime["batch"].Seconds()).To(BeNumerically("<", 1.5*total.Seconds()/8))
		Expect(s.counts["missed batch"]).To(BeZero())
		Expect(s.share("in time", "batch") + s.share("late", "batch")).To(BeNumerically(">", 0.3))
	})
})
