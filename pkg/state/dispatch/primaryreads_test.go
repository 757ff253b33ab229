package dispatch_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// wave is a load between -1 and 1 with a period of four seconds.
func wave(now time.Duration) float64 { return math.Sin(2 * math.Pi * now.Seconds() / 4) }

var _ = Describe("reads at the primary", func() {
	// The load of one group: 70% of it reads that see the session's own writes, in
	// waves of plus and minus half, while replicas lag by 50 to 100 times the usual
	// 35 ms.
	// queued counts the reads that were placed in the queue of the primary while their
	// replicas lagged, and idle those that were refused on arrival while it had a
	// free slot.
	run := func(withReads bool) (s *callerSimulation, queued, idle int) {
		const length = 20 * time.Second
		s = newCallerSimulation(newBusyGroup())
		s.label = func(unit *dispatch.Unit) string { return unit.Route }
		s.appliedPosition = func(_ model.UpstreamID, now time.Duration) model.Position {
			lag := millis(35)
			if now > 4*time.Second && now < 16*time.Second {
				lag = time.Duration((75 + 25*wave(now)) * float64(lag))
			}
			return model.Position{Term: 1, LSN: model.LSN(max(0, now-lag) / millis(1))}
		}
		arrivals := func(perSecond float64, route int, work time.Duration) {
			s.scheduleArrivals(1.5*perSecond, length, func(now time.Duration) *dispatch.Unit {
				if s.random.Float64()*1.5 > 1+0.5*wave(now) {
					return nil
				}
				unit := newRouteUnit(route, now, "", 0)
				if route == normal {
					unit.MarkAt = now - millis(10*s.random.IntN(100))
					unit.Mark = model.Position{Term: 1, LSN: model.LSN(max(1, unit.MarkAt/millis(1)))}
				}
				return unit
			}, work)
		}
		arrivals(150, urgent, millis(6))
		if withReads {
			arrivals(350, normal, millis(18))
		}
		lagged := func() bool { return s.now > 5*time.Second && s.now < 16*time.Second }
		atPrimary := func() int { return s.busySlots[primary] + len(s.queues[primary]) }
		s.placed = func(entry *job) {
			if entry.placement.Upstream == primary && !entry.unit.NeedsPrimary && lagged() && atPrimary() >= s.slots {
				queued++
			}
		}
		s.ended = func(unit *dispatch.Unit, refusal *dispatch.Refusal) {
			onArrival := refusal != nil && s.now == unit.Arrived
			if onArrival && !unit.NeedsPrimary && lagged() && atPrimary() < s.slots {
				idle++
			}
		}
		s.run(length + 2*time.Second)
		GinkgoWriter.Println(s.counts, s.longestWait, queued, idle)
		return s, queued, idle
	}
	// longestRead is the longest work of a read, for which a unit that needs the
	// primary may have to wait.
	const longestRead = 27 * time.Millisecond

	// Guards against reads that fill the queue of the primary when replicas fall
	// behind, and against slots that stay free while reads are refused.
	It("use the free slots of the primary, and not its queue, while replicas lag", func() {
		alone, _, _ := run(false)
		together, queued, idle := run(true)
		Expect(queued).To(BeZero())
		Expect(idle).To(BeZero())
		Expect(together.longestWait["urgent"]).To(BeNumerically("<=", longestRead))
		Expect(together.share("in time", "urgent")).To(BeNumerically(">=", alone.share("in time", "urgent")-0.001))
		Expect(together.counts["missed normal"]).To(BeZero())
		Expect(together.counts["refused late"]).To(BeNumerically("<", together.counts["refused normal"]/2))
		// Slots that the units which need the primary leave are used.
		Expect(together.counts["at a"]).To(BeNumerically(">", alone.counts["at a"]+1000))
	})

	newLagging := func(localLag, remoteLag time.Duration) *dispatch.Group {
		group := newBusyGroup()
		for at := 0; at <= 4000; at += 50 {
			samplePrimary(group, millis(at))
		}
		for id, lag := range map[model.UpstreamID]time.Duration{localReplica: localLag, remoteReplica: remoteLag} {
			applied := model.Position{Term: 1, LSN: model.LSN((millis(4000) - lag) / millis(1))}
			group.Freshness().AddReplicaSample(id, millis(4000), applied)
		}
		return group
	}
	newMarked := func(now time.Duration) *dispatch.Unit {
		unit := newRouteUnit(normal, now, "", 0)
		unit.MarkAt, unit.Mark = millis(4000), model.Position{Term: 1, LSN: 4000}
		return unit
	}
	now := millis(4010)

	It("wait for the replica that is expected to catch up first", func() {
		group := newLagging(millis(150), millis(75))
		for range 5 {
			placement, _ := group.Submit(now, newRouteUnit(urgent, now, "", 0))
			Expect(placement).NotTo(BeNil())
		}
		read := queue(group, now, newMarked(now))
		Expect(group.DecideWaiting(millis(4030))).To(BeEmpty())
		decisions := group.DecideWaiting(millis(4060))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Unit).To(Equal(read))
		Expect(decisions[0].Placement.Upstream).To(Equal(remoteReplica))
	})

	// fillPrimary queues reads that only the primary can run, as many as it can run
	// in time.
	fillPrimary := func(group *dispatch.Group, newRead func() *dispatch.Unit) {
		const limit = 200
		for range limit {
			if _, refusal := group.Submit(now, newRead()); refusal != nil {
				return
			}
		}
		Fail("the queue has no bound")
	}

	It("are refused at once if neither a replica nor the primary can answer in time", func() {
		group := newLagging(millis(3500), millis(3500))
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: 1, MaxConnections: 5, MaxOutstanding: 1},
			{ID: localReplica, Slots: 5, MaxConnections: 5, MaxOutstanding: 5},
			{ID: remoteReplica, Slots: 5, MaxConnections: 5, MaxOutstanding: 5},
		})
		fillPrimary(group, func() *dispatch.Unit { return newMarked(now) })
		placement, refusal := group.Submit(now, newMarked(now))
		Expect(placement).To(BeNil())
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(dispatch.RefusedQueueTooLong))
	})

	It("are refused at once if the replica that catches up first does so too late", func() {
		group := newLagging(millis(400), millis(400))
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: 1, MaxConnections: 5, MaxOutstanding: 1},
			{ID: localReplica, Slots: 5, MaxConnections: 5, MaxOutstanding: 5},
		})
		newRead := func() *dispatch.Unit {
			unit := newMarked(now)
			unit.Target = now + millis(360)
			unit.Deadline = unit.Target
			return unit
		}
		fillPrimary(group, newRead)
		_, refusal := group.Submit(now, newRead())
		Expect(refusal).NotTo(BeNil())
	})

	// newSmall returns a group whose primary has few slots and whose replica is 4 s
	// behind.
	newSmall := func(slots int) *dispatch.Group {
		group := newLagging(millis(0), millis(0))
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: slots, MaxConnections: 20, MaxOutstanding: 2*slots + 1},
			{ID: localReplica, Slots: slots, MaxConnections: 20, MaxOutstanding: 2*slots + 1},
		})
		return group
	}
	// readsPlaced returns how many of five reads are placed at once.
	readsPlaced := func(group *dispatch.Group, now time.Duration) (placed int) {
		group.Freshness().AddReplicaSample(localReplica, now, model.Position{Term: 1, LSN: 1})
		for range 5 {
			if placement, _ := group.Submit(now, newMarked(now)); placement != nil {
				Expect(placement.Primary).To(BeTrue())
				placed++
			}
		}
		return placed
	}

	// Guards against reads that starve although no unit needs the primary, and at a
	// primary with few slots.
	It("use all of a primary with few slots while no unit needs it", func() {
		for slots := 1; slots <= 2; slots++ {
			Expect(readsPlaced(newSmall(slots), now)).To(Equal(2*slots + 1))
			group := newSmall(slots)
			write, _ := group.Submit(now, newRouteUnit(urgent, now, "", 0))
			group.Release(now, write)
			Expect(readsPlaced(group, now)).To(Equal(slots))
			Expect(readsPlaced(group, now+time.Second)).To(Equal(slots + 1))
		}
	})

	// Guards against servers that each count their own statements and together fill
	// the queue of the primary, and against one that the others keep out for good.
	It("take the slots that are free by the count of all servers, if it is known", func() {
		run := func(slots int, limit dispatch.OutstandingLimit) int {
			group := newSmall(slots)
			write, _ := group.Submit(now, newRouteUnit(urgent, now, "", 0))
			group.Release(now, write)
			group.LimitOutstanding(primary, limit)
			return readsPlaced(group, now)
		}
		Expect(run(5, dispatch.OutstandingLimit{Max: 10, Others: 0, OthersKnown: true})).To(Equal(5))
		Expect(run(5, dispatch.OutstandingLimit{Max: 8, Others: 2, OthersKnown: true})).To(Equal(3))
		Expect(run(5, dispatch.OutstandingLimit{Max: 3, Others: 2})).To(Equal(3))
		Expect(run(5, dispatch.OutstandingLimit{Max: 3, Others: 9, OthersKnown: true})).To(Equal(1))
		Expect(run(2, dispatch.OutstandingLimit{Max: 1, Others: 3, OthersKnown: true})).To(Equal(1))
		Expect(run(1, dispatch.OutstandingLimit{Max: 2, Others: 0, OthersKnown: true})).To(Equal(1))
	})

	// Guards against batch reads that wait for a replica which gets only trials
	// because of its faults.
	It("of the batch route do not come after a replica that is avoided", func() {
		group := newLagging(millis(0), millis(4000))
		group.SetUpstreams([]dispatch.UpstreamSpec{
			{ID: primary, Slots: 5, MaxConnections: 5, MaxOutstanding: 5},
			{ID: localReplica, DataCentre: "quay-east", Slots: 5, MaxConnections: 5, MaxOutstanding: 5},
		})
		for range 20 {
			failing := newRouteUnit(batch, now, "", 0)
			placement, _ := group.Submit(now, failing)
			group.AnswerFailed(now, placement, "batch", millis(5), dispatch.FaultStatement)
			group.Release(now, placement)
			failing.FailedUpstreams = []model.UpstreamID{localReplica}
			placement, _ = group.Submit(now, failing)
			Expect(placement.Primary).To(BeTrue())
			group.Answered(now, placement, "batch", millis(5))
			group.Release(now, placement)
		}
		Expect(group.TakeAvoidances()).To(HaveLen(1))
		placement, refusal := group.Submit(now, newRouteUnit(batch, now, "", 0))
		Expect(refusal).To(BeNil())
		Expect(placement).NotTo(BeNil())
		Expect(placement.Primary).To(BeTrue())
	})

	// Guards against batch reads at an idle primary while a replica elsewhere has room.
	It("of the batch route come after every replica that is fresh enough, in another data centre too", func() {
		newGroup := func() *dispatch.Group {
			group := newBusyGroup()
			samplePrimary(group, millis(4000))
			group.SetUpstreams([]dispatch.UpstreamSpec{
				{ID: primary, DataCentre: "quay-east", Slots: 5, MaxConnections: 70, MaxOutstanding: 5},
				{ID: remoteReplica, DataCentre: "gate-north", Slots: 5, MaxConnections: 70, MaxOutstanding: 5},
			})
			return group
		}
		atPrimary := func(route int) (count int) {
			group := newGroup()
			for range 5 {
				if placement, _ := group.Submit(now, newRouteUnit(route, now, "", 0)); placement.Primary {
					count++
				}
			}
			return count
		}
		Expect(atPrimary(batch)).To(BeZero())
		Expect(atPrimary(normal)).NotTo(BeZero())
	})
})
