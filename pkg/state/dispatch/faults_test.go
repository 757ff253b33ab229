package dispatch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// faulty makes upstreams fail reads in a simulation.
type faulty struct {
	// ratio returns the part of the reads that fail.
	ratio func(id model.UpstreamID, now time.Duration) float64
	// wrong is the part of the reads that fail everywhere.
	wrong float64
	// reported is false to hide the faults from the group, as before faults were
	// counted.
	reported bool
	random   *rand.Rand
	attempts map[*dispatch.Unit]int
}

// fails decides whether the statement of a job fails and, if so, ends it as the
// statement's path does: up to two retries at other upstreams.
func (f *faulty) fails(s *simulation, entry *job) bool {
	id := entry.placement.Upstream
	if f == nil || entry.unit.NeedsPrimary {
		return false
	}
	isWrong := float64(entry.unit.Arrived%1000)/1000 < f.wrong
	if !isWrong && f.random.Float64() >= f.ratio(id, s.now) {
		return false
	}
	s.counts["faults"]++
	s.counts["faults at "+string(id)]++
	latency := s.now - entry.sentAt
	if f.reported {
		s.group.AnswerFailed(s.now, entry.placement, entry.unit.Route, latency, dispatch.FaultStatement)
	} else {
		s.group.Answered(s.now, entry.placement, entry.unit.Route, latency)
	}
	s.group.Release(s.now, entry.placement)
	s.startNext(id)
	f.attempts[entry.unit]++
	if f.attempts[entry.unit] > 2 {
		s.counts["failed"]++
	} else {
		entry.unit.FailedUpstreams = append(entry.unit.FailedUpstreams, id)
		s.submit(entry.unit)
	}
	s.decideWaiting()
	return true
}

// The load is that of one instance that has all slots of the databases to itself.
var _ = Describe("an upstream that fails part of its reads", func() {
	const length = 30 * time.Second

	runWrong := func(wrong float64, reported bool, ratio func(model.UpstreamID, time.Duration) float64) *simulation {
		s := newSimulation(newGroup())
		s.faulty = &faulty{
			ratio: ratio, reported: reported, wrong: wrong,
			random: rand.New(rand.NewPCG(3, 4)), attempts: map[*dispatch.Unit]int{},
		}
		samplePrimary(s.group, 0)
		s.scheduleArrivals(60, length, newWrite, millis(4))
		s.scheduleArrivals(150, length, newRead, millis(9))
		// The probe always succeeds.
		for at := time.Duration(0); at < length; at += millis(100) {
			s.after(at, func() { s.group.ProbeAnswered(s.now, localReplica) })
		}
		s.run(length)
		GinkgoWriter.Println(s.counts)
		return s
	}
	run := func(reported bool, ratio func(model.UpstreamID, time.Duration) float64) *simulation {
		return runWrong(0, reported, ratio)
	}
	fortyPercent := func(of model.UpstreamID) func(model.UpstreamID, time.Duration) float64 {
		return func(id model.UpstreamID, _ time.Duration) float64 {
			if id == of {
				return 0.4
			}
			return 0
		}
	}
	readsAt := func(s *simulation, id model.UpstreamID) float64 {
		reads := 0
		for _, upstream := range []model.UpstreamID{primary, localReplica, remoteReplica} {
			reads += s.counts["at "+string(upstream)]
		}
		return float64(s.counts["at "+string(id)]) / float64(reads)
	}

	It("gets hardly any of them, even if its probe succeeds", func() {
		with, without := run(true, fortyPercent(localReplica)), run(false, fortyPercent(localReplica))
		Expect(without.counts["faults"]).To(BeNumerically(">", 500))
		Expect(with.counts["faults"]).To(BeNumerically("<", 50))
		Expect(readsAt(without, localReplica)).To(BeNumerically(">", 0.2))
		Expect(readsAt(with, localReplica)).To(BeNumerically("<", 0.03))
		Expect(with.share("in time", "read")).To(BeNumerically(">", 0.97))
	})

	It("gets work again by steps after the fault has ended", func() {
		ends := 10 * time.Second
		with := run(true, func(id model.UpstreamID, now time.Duration) float64 {
			if id == localReplica && now < ends {
				return 0.4
			}
			return 0
		})
		healthy := run(true, func(model.UpstreamID, time.Duration) float64 { return 0 })
		Expect(with.counts["faults"]).To(BeNumerically("<", 50))
		Expect(readsAt(with, localReplica)).To(BeNumerically(">", 0.4*readsAt(healthy, localReplica)))
	})

	// The cause is the statement. Avoiding upstreams would only lose capacity.
	It("is not avoided if all others fail as many", func() {
		everywhere := func(model.UpstreamID, time.Duration) float64 { return 0.3 }
		with := run(true, everywhere)
		Expect(with.group.TakeAvoidances()).To(BeEmpty())
		Expect(readsAt(with, localReplica)).To(BeNumerically(">", 0.2))
	})

	It("is not avoided if the statements are wrong themselves", func() {
		with := runWrong(0.3, true, func(model.UpstreamID, time.Duration) float64 { return 0 })
		Expect(with.counts["failed"]).To(BeNumerically(">", 1000))
		Expect(with.group.TakeAvoidances()).To(BeEmpty())
	})

	It("stays in use for writes if it is the primary, but not for reads that a replica takes", func() {
		group := newGroup()
		samplePrimary(group, 0)
		for i := range 10 {
			now := millis(10 * i)
			read := newRead(now)
			read.FailedUpstreams = []model.UpstreamID{localReplica, remoteReplica}
			placement, _ := group.Submit(now, read)
			Expect(placement.Upstream).To(Equal(primary))
			group.AnswerFailed(now, placement, "read", millis(5), dispatch.FaultStatement)
			group.Release(now, placement)
			other, _ := group.Submit(now, newRead(now))
			group.Answered(now, other, "read", millis(5))
			group.Release(now, other)
		}
		avoidances := group.TakeAvoidances()
		Expect(avoidances).To(HaveLen(1))
		Expect(avoidances[0].Upstream).To(Equal(primary))
		now := millis(200)
		write, refusal := group.Submit(now, newWrite(now))
		Expect(refusal).To(BeNil())
		Expect(write.Upstream).To(Equal(primary))
		// All connections of the replicas are in use: the read waits for one.
		for range 4 {
			placement, _ := group.Submit(now, newRead(now))
			Expect(placement.Upstream).NotTo(Equal(primary))
		}
		placement, refusal := group.Submit(now, newRead(now))
		Expect(refusal).To(BeNil())
		Expect(placement).To(BeNil())
		// A read that nothing else can run still goes there.
		only := newRead(now)
		only.FailedUpstreams = []model.UpstreamID{localReplica, remoteReplica}
		placement, _ = group.Submit(now, only)
		Expect(placement.Upstream).To(Equal(primary))
	})
})

var _ = Describe("an avoided upstream that is removed", func() {
	// The metric of an upstream that no longer exists would show it as avoided.
	It("is reported as no longer avoided", func() {
		group := newGroup()
		samplePrimary(group, 0)
		var old *dispatch.Placement
		for range 20 {
			only := newRead(0)
			only.FailedUpstreams = []model.UpstreamID{primary, remoteReplica}
			placement, _ := group.Submit(0, only)
			group.AnswerFailed(0, placement, "read", millis(5), dispatch.FaultStatement)
			group.Release(0, placement)
			old = placement
			other := newRead(0)
			other.FailedUpstreams = []model.UpstreamID{localReplica}
			placement, _ = group.Submit(0, other)
			group.Answered(0, placement, "read", millis(5))
			group.Release(0, placement)
		}
		Expect(group.TakeAvoidances()).To(HaveLen(1))
		// Answers to reads that were placed before say nothing about the present.
		for range 10 {
			old.PlacedAt = -millis(1)
			group.Answered(0, old, "read", millis(5))
		}
		Expect(group.TakeAvoidances()).To(BeEmpty())
		group.SetUpstreams([]dispatch.UpstreamSpec{{ID: primary, Slots: 2, MaxConnections: 3, MaxOutstanding: 2}})
		Expect(group.TakeAvoidances()).To(Equal([]dispatch.Avoidance{{Upstream: localReplica}}))
	})
})

var _ = Describe("AnswerFailed", func() {
	place := func(group *dispatch.Group, unit *dispatch.Unit) *dispatch.Placement {
		placement, refusal := group.Submit(0, unit)
		Expect(refusal).To(BeNil())
		return placement
	}

	// Guards against a primary that is avoided for reads after a few lost writes: only
	// the successes of reads were counted, so that its ratio of faults was near one.
	It("counts no write, whether it fails or is not answered", func() {
		group := newGroup()
		samplePrimary(group, 0)
		Expect(group.AnswerFailed(0, place(group, newWrite(0)), "write", millis(5), dispatch.FaultStatement)).To(BeFalse())
		Expect(group.AnswerFailed(0, place(group, newWrite(0)), "write", millis(5), dispatch.FaultTimeout)).To(BeFalse())
		for range 20 {
			placement := place(group, newWrite(0))
			group.AnswerMissed(0, placement)
			group.Release(0, placement)
		}
		place(group, newRead(0))
		Expect(group.TakeAvoidances()).To(BeEmpty())
	})

	It("counts a busy upstream if all servers together leave it a free slot", func() {
		group := newGroup()
		samplePrimary(group, 0)
		for _, id := range []model.UpstreamID{primary, localReplica, remoteReplica} {
			group.LimitOutstanding(id, dispatch.OutstandingLimit{Max: 2, Others: 1, OthersKnown: true})
		}
		Expect(group.AnswerFailed(0, place(group, newRead(0)), "read", millis(5), dispatch.FaultBusy)).To(BeTrue())
		for _, id := range []model.UpstreamID{primary, localReplica, remoteReplica} {
			group.LimitOutstanding(id, dispatch.OutstandingLimit{Max: 2, Others: 2, OthersKnown: true})
		}
		Expect(group.AnswerFailed(0, place(group, newRead(0)), "read", millis(5), dispatch.FaultBusy)).To(BeFalse())
	})

	It("does not count a busy upstream whose other users are unknown", func() {
		group := newGroup()
		samplePrimary(group, 0)
		Expect(group.AnswerFailed(0, place(group, newRead(0)), "read", millis(5), dispatch.FaultBusy)).To(BeFalse())
	})
})
