package quota_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gypsumdock/pkg/state/quota"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "47")
	os.Exit(m.Run())
}

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// outcome is the result of one schedule.
type outcome struct {
	peak      float64
	violation error
}

// workers is the number of schedules that run at the same time.
const workers = 4

// runSchedules runs random schedules with the seeds from 0 on until one exceeds
// the bound. It returns the seed of that schedule, or the number of schedules,
// and the largest part of the bound that was used.
func runSchedules(rules quota.Rules, schedules int) (stoppedAt int, peak float64, violation error) {
	for first := 0; first < schedules; first += workers {
		var outcomes [workers]outcome
		var group sync.WaitGroup
		for i := range outcomes {
			group.Go(func() {
				random := rand.New(rand.NewPCG(uint64(first+i), 18))
				s := newSimulation(random.IntN, rules)
				outcomes[i].violation = s.run(1200)
				outcomes[i].peak = s.peak
			})
		}
		group.Wait()
		for i, o := range outcomes {
			peak = max(peak, o.peak)
			if o.violation != nil {
				return first + i, peak, o.violation
			}
		}
	}
	return schedules, peak, nil
}

var _ = Describe("the operations of a caller over all members", func() {
	It("stay within the tolerance in every window through cuts, freezes, losses, joins and changed limits", func() {
		_, peak, err := runSchedules(quota.Rules{}, 400)
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("largest part of the bound in use", peak)
	})

	DescribeTable("exceed the tolerance if a rule is switched off",
		func(rules quota.Rules) {
			seed, _, err := runSchedules(rules, 3000)
			Expect(err).To(HaveOccurred())
			AddReportEntry("seed of the first schedule above the bound", seed)
		},
		Entry("a group that outlives the touch of its members", quota.Rules{NoLease: true}),
		Entry("a group whose members do not agree on it", quota.Rules{NoAgreement: true}),
		Entry("a change of group without a wait", quota.Rules{NoSettle: true}),
		Entry("no charge for silent members", quota.Rules{NoSilenceCharge: true}),
		Entry("no bound on use that others do not know of", quota.Rules{NoUnackedBound: true}),
		Entry("a share that rises before the others know", quota.Rules{NoWeightBound: true}),
		Entry("no debt", quota.Rules{NoDebt: true}),
		Entry("removed members forgotten at once", quota.Rules{NoFormerMembers: true}),
		Entry("no wait of a new member", quota.Rules{NoJoinWait: true}),
		Entry("no confirmation of the members", quota.Rules{NoConfirmation: true}),
		Entry("a full bucket at the start", quota.Rules{FullStart: true}),
		Entry("a full bucket for a member that loses its group", quota.Rules{NoCarry: true}),
	)
})

func TestSumOfOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := newSimulation(pick, quota.Rules{}).run(100); err != nil {
			t.Fatal(err)
		}
	})
}
