package quota_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

var _ = Describe("members that are removed while they are cut off together", func() {
	// Guards against two of three members that still hear each other and go on
	// spending as half of the members they know, although the third has removed both.
	DescribeTable("do not spend beside the members that removed them",
		func(removedAfter time.Duration) {
			p := membership
			p.members, p.evictAfter = 3, removedAfter
			s := newSimulation(rand.New(rand.NewPCG(1, 18)).IntN, quota.Rules{}, p)
			s.restUntil = time.Hour
			for _, n := range s.members {
				n.demand = 400
			}
			Expect(s.run(800)).To(Succeed())
			first := s.members[0]
			for _, n := range s.members[1:] {
				s.cut[[2]model.InstanceID{n.id, first.id}] = true
				s.cut[[2]model.InstanceID{first.id, n.id}] = true
				n.storeCut = true
			}
			Expect(s.run(1600)).To(Succeed())
		},
		Entry("removed after 500 ms", 500*time.Millisecond),
		Entry("removed after 4 s", 4*time.Second),
	)

	// Regression cases: random schedules of the kind "membership" that exceeded the
	// tolerance.
	DescribeTable("stay within the tolerance in a schedule that exceeded it",
		func(seed uint64) {
			Expect(newSimulation(rand.New(rand.NewPCG(seed, 18)).IntN, quota.Rules{}, membership).run(1200)).To(Succeed())
		},
		Entry("seed 1544", uint64(1544)),
		Entry("seed 1761", uint64(1761)),
	)
})
