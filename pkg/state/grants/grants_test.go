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

// runSchedules runs random schedules with the seeds from 0 on until one exceeds
// the limit. It returns the seed of that schedule, or the number of schedules,
// and how many schedules had all grantable connections open at some time.
func runSchedules(rules grants.Rules, schedules int) (stoppedAt, full int, violation error) {
	for seed := range schedules {
		random := rand.New(rand.NewPCG(uint64(seed), 9))
		s := newSimulation(random.IntN, rules)
		if err := s.run(1000); err != nil {
			return seed, full, err
		}
		if s.maxOpen == capacity-reserve {
			full++
		}
	}
	return schedules, full, nil
}

var _ = Describe("the sum of connections", func() {
	It("stays within the limit through joins, removals, outages of the table and lost messages", func() {
		_, full, err := runSchedules(grants.Rules{}, 4000)
		Expect(err).NotTo(HaveOccurred())
		Expect(full).To(BeNumerically(">", 1000))
		AddReportEntry("schedules that used the whole limit", full)
	})

	DescribeTable("exceeds the limit if a rule is switched off",
		func(rules grants.Rules) {
			seed, _, err := runSchedules(rules, 20000)
			Expect(err).To(HaveOccurred())
			AddReportEntry("seed of the first schedule above the limit", seed)
		},
		Entry("opening without a valid lease", grants.Rules{NoLease: true}),
		Entry("no wait for the lease of a removed instance", grants.Rules{NoLeaseWait: true}),
		Entry("no count of the connections of a removed instance", grants.Rules{NoCount: true}),
		Entry("no rewrite of the entry under a new lease", grants.Rules{NoRenewal: true}),
		Entry("no limit on the connections before a smaller grant is written", grants.Rules{NoShrinkBound: true}),
		Entry("a write counts as applied before its result", grants.Rules{UseBeforeAnswer: true}),
	)
})

// advance simulates a span without message faults: messages take a millisecond,
// membership is confirmed every 100 ms, and each instance wants more than its
// fair share.
func (s *simulation) advance(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += time.Millisecond {
		messages := s.inFlight
		s.inFlight = nil
		for _, deliver := range messages {
			deliver()
		}
		for _, n := range s.instances {
			if s.now%(100*time.Millisecond) == 0 && !n.stopped {
				s.confirm(n)
				s.handle(n, grants.Tick{})
				n.waiting = s.capacity
				s.report(n)
			}
			s.openOne(n)
		}
		s.check()
	}
}

func (s *simulation) totalOpen() int {
	open := 0
	for _, n := range s.instances {
		open += n.open
	}
	return open
}

var _ = Describe("the grants", func() {
	DescribeTable("of a removed instance go to the others within seconds, and an unchanged state writes no row",
		func(connections int) {
			s := newSimulation(func(int) int { return 0 }, grants.Rules{})
			s.config, s.capacity, s.instances, s.members = grants.DefaultConfig(""), connections, nil, nil
			for range 4 {
				s.join()
			}
			s.advance(5 * time.Second)
			Expect(s.totalOpen()).To(Equal(connections - reserve))
			writes := s.writes
			s.advance(10 * time.Minute)
			Expect(s.writes).To(Equal(writes))

			s.instances[0].stopped = true
			s.members, s.membersVersion = s.members[1:], s.membersVersion+1
			removed := s.now
			for s.now < removed+10*time.Second && (s.instances[0].open > 0 || s.totalOpen() < connections-reserve) {
				s.advance(100 * time.Millisecond)
			}
			AddReportEntry("time from removal to full use", s.now-removed)
			Expect(s.now - removed).To(BeNumerically("<", 5*time.Second))
			Expect(s.violation).NotTo(HaveOccurred())
		},
		Entry("Tregwynt", 16),
		Entry("Lankapower", 55),
	)

	It("shrink when an operator lowers the limit", func() {
		s := newSimulation(func(int) int { return 0 }, grants.Rules{})
		s.advance(5 * time.Second)
		lowered := grants.UpstreamsAdopted{Upstreams: []grants.UpstreamCapacity{{ID: db, Connections: 4, Reserve: reserve}}}
		for _, n := range s.instances {
			s.handle(n, lowered)
		}
		s.advance(5 * time.Second)
		Expect(s.totalOpen()).To(Equal(4 - reserve))
		Expect(s.row.Sum()).To(Equal(4 - reserve))
	})

	It("expire in an outage of the table, but the connections stay open", func() {
		s := newSimulation(func(int) int { return 0 }, grants.Rules{})
		s.advance(5 * time.Second)
		s.tableDown = true
		s.advance(time.Minute)
		Expect(s.totalOpen()).To(Equal(capacity - reserve))
		Expect(s.instances[0].machine.Limit(s.instances[0].clock(s.now), db)).To(BeZero())
		s.tableDown = false
		s.advance(5 * time.Second)
		Expect(s.instances[0].machine.Limit(s.instances[0].clock(s.now), db)).To(BeNumerically(">", 0))
		Expect(s.violation).NotTo(HaveOccurred())
	})
})

func TestSumOfConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := newSimulation(pick, grants.Rules{}).run(300); err != nil {
			t.Fatal(err)
		}
	})
}
