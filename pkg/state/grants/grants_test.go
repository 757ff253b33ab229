package grants_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/grants"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "43")
	os.Exit(m.Run())
}

func TestGrants(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grants")
}

// search runs schedules from fixed seeds until the limit is exceeded.
func search(rules grants.Rules, schedules int) (at, full int, found error) {
	for seed := range schedules {
		random := rand.New(rand.NewPCG(uint64(seed), 9))
		w := newWorld(random.IntN, rules)
		if err := w.run(1000); err != nil {
			return seed, full, err
		}
		if w.mostOpen == capacity-reserve {
			full++
		}
	}
	return schedules, full, nil
}

var _ = Describe("the sum of connections", func() {
	It("stays within the limit through joins, removals, outages and lost answers", func() {
		_, full, err := search(grants.Rules{}, 4000)
		Expect(err).NotTo(HaveOccurred())
		Expect(full).To(BeNumerically(">", 1000))
		AddReportEntry("schedules that used the whole limit", full)
	})

	DescribeTable("exceeds the limit with a rule switched off",
		func(rules grants.Rules) {
			at, _, err := search(rules, 20000)
			Expect(err).To(HaveOccurred())
			AddReportEntry("first schedule above the limit", at)
		},
		Entry("opening without a lease", grants.Rules{NoLease: true}),
		Entry("no wait for the lease of a removed member", grants.Rules{NoLeaseWait: true}),
		Entry("no count of a removed member's connections", grants.Rules{NoCount: true}),
		Entry("no renewal of the entry after a lapse", grants.Rules{NoRenewal: true}),
		Entry("no bound before a smaller grant is written", grants.Rules{NoShrinkBound: true}),
		Entry("a write counts before its answer", grants.Rules{UseBeforeAnswer: true}),
	)
})

// advance lets time pass without faults: messages take a millisecond, members
// are confirmed each 100 ms, and each instance wants more than its share.
func (w *world) advance(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += time.Millisecond {
		flight := w.flight
		w.flight = nil
		for _, deliver := range flight {
			deliver()
		}
		for _, n := range w.nodes {
			if w.now%(100*time.Millisecond) == 0 && !n.dead {
				w.confirm(n)
				w.handle(n, grants.Tick{})
				n.waiting = w.capacity
				w.report(n)
			}
			w.openOne(n)
		}
		w.check()
	}
}

func (w *world) open() int {
	open := 0
	for _, n := range w.nodes {
		open += n.open
	}
	return open
}

var _ = Describe("the share of a dead instance", func() {
	DescribeTable("is taken up within seconds of its removal, and nothing is written without need",
		func(connections int) {
			w := newWorld(func(int) int { return 0 }, grants.Rules{})
			w.config, w.capacity, w.nodes, w.members = grants.DefaultConfig(""), connections, nil, nil
			for range 4 {
				w.join()
			}
			w.advance(5 * time.Second)
			Expect(w.open()).To(Equal(connections - reserve))
			writes := w.writes
			w.advance(10 * time.Minute)
			Expect(w.writes).To(Equal(writes))

			w.nodes[0].dead = true
			w.members, w.head = w.members[1:], w.head+1
			removed := w.now
			for w.now < removed+10*time.Second && (w.nodes[0].open > 0 || w.open() < connections-reserve) {
				w.advance(100 * time.Millisecond)
			}
			AddReportEntry("time from removal to full use", w.now-removed)
			Expect(w.now - removed).To(BeNumerically("<", 5*time.Second))
			Expect(w.broken).NotTo(HaveOccurred())
		},
		Entry("Tregwynt", 16),
		Entry("Lankapower", 55),
	)

	It("shrinks when an operator lowers the limit", func() {
		w := newWorld(func(int) int { return 0 }, grants.Rules{})
		w.advance(5 * time.Second)
		lowered := grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: db, Connections: 4, Reserve: reserve}}}
		for _, n := range w.nodes {
			w.handle(n, lowered)
		}
		w.advance(5 * time.Second)
		Expect(w.open()).To(Equal(4 - reserve))
		Expect(w.row.Sum()).To(Equal(4 - reserve))
	})

	It("keeps its connections open through an outage of the table", func() {
		w := newWorld(func(int) int { return 0 }, grants.Rules{})
		w.advance(5 * time.Second)
		w.down = true
		w.advance(time.Minute)
		Expect(w.open()).To(Equal(capacity - reserve))
		Expect(w.nodes[0].machine.Limit(w.nodes[0].clock(w.now), db)).To(BeZero())
		w.down = false
		w.advance(5 * time.Second)
		Expect(w.nodes[0].machine.Limit(w.nodes[0].clock(w.now), db)).To(BeNumerically(">", 0))
		Expect(w.broken).NotTo(HaveOccurred())
	})
})

func TestSumOfConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := newWorld(pick, grants.Rules{}).run(300); err != nil {
			t.Fatal(err)
		}
	})
}
