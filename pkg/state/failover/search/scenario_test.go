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
	// settleTime is when a world without faults has registered all instances
	// and renewed their permits. scenarioFor and loadFor are the durations of a
	// scenario and of the measurement of the load.
	settleTime  = 5 * time.Second
	scenarioFor = 10 * time.Second
	loadFor     = 60 * time.Second
)

// settledWorld returns a world of gapInstances instances without faults at
// settleTime.
func settledWorld(seed uint64) *world {
	w := newWorld(seed, failover.Rules{}, gapInstances)
	w.run(settleTime)
	return w
}

func (w *world) continueFor(d time.Duration) {
	w.run(w.now + d)
	Expect(w.violation).To(BeEmpty())
}

// lostWrites counts the acknowledged writes that are missing on the primary.
func (w *world) lostWrites() int {
	primary := w.server(w.table.group().Primary)
	lost := 0
	for _, a := range w.acked {
		if !w.contains(primary.branch, a.branch, a.lsn) {
			lost++
		}
	}
	return lost
}

// longestPause returns the longest time between two successive acknowledged
// writes, of which the second came after since.
func (w *world) longestPause(since time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range w.acked[1:] {
		if w.acked[i+1].at > since {
			longest = max(longest, w.acked[i+1].at-w.acked[i].at)
		}
	}
	return longest
}

func (w *world) requestSwitch(target model.UpstreamID) {
	w.nodes[0].handle(failover.SwitchRequested{Group: groupID, Target: target})
}

// targetLagsFor is how long a stalled upstream lacks writes before a switch to it
// is requested.
const targetLagsFor = 300 * time.Millisecond

var _ = Describe("a group", func() {
	It("keeps a healthy primary that one data centre cannot reach", func() {
		generationAfterCut := func(rules failover.Rules) model.Generation {
			w := newWorld(1, rules, gapInstances)
			w.run(settleTime)
			for _, n := range w.nodes {
				n.noUpstream["u1"] = n.dc == w.nodes[0].dc
			}
			w.continueFor(scenarioFor)
			return w.table.group().Generation
		}
		Expect(generationAfterCut(failover.Rules{})).To(BeEquivalentTo(1))
		Expect(generationAfterCut(failover.Rules{DetectAlone: true})).To(BeNumerically(">", 1))
	})

	It("loses no acknowledged write in a planned switch", func() {
		var pauses []time.Duration
		for seed := range uint64(gapSeeds) {
			w := settledWorld(seed)
			w.writeFaster()
			w.requestSwitch("u2")
			w.continueFor(scenarioFor)
			Expect(w.table.group().Primary).To(BeEquivalentTo("u2"))
			Expect(w.lostWrites()).To(BeZero())
			pauses = append(pauses, w.longestPause(settleTime))
			Expect(pauses[seed]).To(BeNumerically("<", 2*time.Second))
		}
		slices.Sort(pauses)
		printTable("planned switch: writes paused for %v (median), %v (greatest)\n",
			pauses[len(pauses)/2], pauses[len(pauses)-1])
	})

	It("keeps the old primary if the target of a planned switch does not catch up", func() {
		for seed := range uint64(8) {
			w := settledWorld(seed)
			w.server("u2").stalled = true
			// Without a write that the target lacks, it has caught up.
			w.continueFor(targetLagsFor)
			Expect(w.server("u2").lsn).To(BeNumerically("<", w.server("u1").lsn), "seed %d", seed)
			w.requestSwitch("u2")
			w.continueFor(scenarioFor)
			Expect(w.table.group().Primary).To(BeEquivalentTo("u1"), "seed %d", seed)
			Expect(w.table.group().Generation).To(BeEquivalentTo(3), "seed %d", seed)
			Expect(w.lostWrites()).To(BeZero(), "seed %d", seed)
			Expect(w.lastAck).To(BeNumerically(">", w.now-time.Second), "seed %d", seed)
		}
	})

	It("renews permits by the promises of all members while the platform is down, but not with a member missing", func() {
		w := settledWorld(3)
		w.table.down = true
		w.continueFor(searchMaxPromise - time.Second)
		Expect(w.longestPause(settleTime)).To(BeNumerically("<", time.Second))
		Expect(w.lastAck).To(BeNumerically(">", w.now-time.Second))
		w.nodes[3].dead = true
		died := w.now
		w.continueFor(scenarioFor)
		Expect(w.lastAck).To(BeNumerically("<", died+4*time.Second))
		view, _ := w.nodes[0].view.Group(groupID)
		Expect(view.Replicas).NotTo(BeEmpty())
	})

	It("renews permits by promises while answers of the platform take longer than a permit is valid", func() {
		w := settledWorld(4)
		w.table.delayMax = 4 * time.Second
		w.continueFor(searchMaxPromise + scenarioFor)
		Expect(w.longestPause(settleTime)).To(BeNumerically("<", time.Second))
	})

	It("sends no reads to a deposed primary until it follows the new one", func() {
		w := settledWorld(5)
		w.server("u1").alive = false
		w.continueFor(scenarioFor)
		w.server("u1").alive = true
		w.continueFor(scenarioFor)
		for _, n := range w.nodes {
			view, _ := n.view.Group(groupID)
			Expect(view.Primary).NotTo(BeEquivalentTo("u1"))
			Expect(view.Replicas).NotTo(ContainElement(HaveField("ID", BeEquivalentTo("u1"))))
		}
		w.healed = true
		w.continueFor(scenarioFor)
		view, _ := w.nodes[0].view.Group(groupID)
		Expect(view.Replicas).To(ContainElement(HaveField("ID", BeEquivalentTo("u1"))))
	})

	It("sends no reads to a replica of a candidate that was promoted and then replaced", func() {
		violationAfterReplacement := func(rules failover.Rules) string {
			w := newWorld(3, rules, gapInstances)
			w.run(settleTime)
			follower := w.server("u4")
			follower.stalled = true
			w.server("u1").alive = false
			w.table.onSeal = func(*world) {
				candidate := w.server(w.table.group().Seal.Candidate)
				w.promoteServer(candidate)
				follower.follows = candidate
				follower.stalled = false
				w.replay()
				candidate.alive = false
			}
			w.run(w.now + scenarioFor)
			Expect(w.started).NotTo(BeEmpty())
			return w.violation
		}
		Expect(violationAfterReplacement(failover.Rules{})).To(BeEmpty())
		Expect(violationAfterReplacement(failover.Rules{TrustTimeline: true})).To(ContainSubstring("diverged"))
	})

	It("promotes no replica that may lack a write for which a route awaited replication", func() {
		w := settledWorld(0)
		for _, n := range w.nodes {
			n.handle(w.bundle(1))
		}
		w.server("u1").alive = false
		w.server("u2").alive = false
		w.continueFor(scenarioFor)
		Expect(w.table.group().Generation).To(BeEquivalentTo(1))
		w.server("u2").alive = true
		w.continueFor(scenarioFor)
		Expect(w.table.group().Generation).To(BeEquivalentTo(2))
	})

	It("promotes no other replica if only a leaving one may have such a write", func() {
		w := settledWorld(0)
		leaving := w.bundle(1)
		leaving.Groups[0].Upstreams[1].Leaving = true
		for _, n := range w.nodes {
			n.handle(leaving)
		}
		w.server("u1").alive = false
		w.continueFor(scenarioFor)
		Expect(w.table.group().Generation).To(BeEquivalentTo(1))
	})

	It("is switched away from a primary that is leaving", func() {
		w := settledWorld(0)
		leaving := w.bundle(0)
		leaving.Groups[0].Upstreams[0].Leaving = true
		for _, n := range w.nodes {
			n.handle(leaving)
		}
		w.continueFor(scenarioFor)
		Expect(w.table.group().Primary).NotTo(BeEquivalentTo("u1"))
		Expect(w.table.group().Generation).To(BeEquivalentTo(2))
		Expect(w.lostWrites()).To(BeZero())
		Expect(w.longestPause(settleTime)).To(BeNumerically("<", time.Second))
	})

	It("keeps the permits of an instance until its graceful stop is finished", func() {
		w := settledWorld(6)
		w.nodes[1].handle(failover.StopRequested{})
		w.continueFor(time.Second)
		_, held := w.nodes[1].permit()
		Expect(held).To(BeTrue())
		w.nodes[1].handle(failover.StopFinished{})
		w.continueFor(time.Second)
		_, held = w.nodes[1].permit()
		Expect(held).To(BeFalse())
		_, registered := w.table.head.Member(w.nodes[1].id)
		Expect(registered).To(BeFalse())
		Expect(w.longestPause(settleTime)).To(BeNumerically("<", time.Second))
	})
})

var _ = Describe("the load on the table", func() {
	It("is one read per instance and second, and no write while nothing changes", func() {
		for _, instances := range []int{4, 8, 16} {
			w := newWorld(0, failover.Rules{}, instances)
			w.run(settleTime)
			reads, writes := w.table.reads, w.table.writes
			w.continueFor(loadFor)
			perInstance := float64(w.table.reads-reads) / float64(instances) / loadFor.Seconds()
			printTable("| %d instances | %.2f reads per instance and second | %d writes in %v | %d writes to register |\n",
				instances, perInstance, w.table.writes-writes, loadFor, writes)
			Expect(perInstance).To(BeNumerically("<", 1.1))
			Expect(w.table.writes).To(Equal(writes))
		}
	})
})
