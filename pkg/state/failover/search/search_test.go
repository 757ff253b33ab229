package search_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
)

func TestSearch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover search")
}

const workers = 4

// seedsVariable names the environment variable that sets the number of seeds.
const seedsVariable = "SEARCH_SEEDS"

func seeds() uint64 {
	if text := os.Getenv(seedsVariable); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err == nil {
			return count
		}
	}
	return defaultSeeds
}

// runSeed runs one schedule.
func runSeed(seed uint64, rules failover.Rules, faults []fault) *world {
	w := newWorld(seed, rules, 3+int(seed%3))
	w.schedule(faults)
	end := faultsTo + 4*time.Second + healBound
	w.run(end)
	if w.violation == "" && w.lastAck < end-time.Second {
		w.violate("no write since %v", w.lastAck)
	}
	return w
}

// tally sums up what the schedules of a search went through.
type tally struct {
	schedules, generations, acknowledged, evictions int
	violations                                      []string
}

func (t *tally) add(seed uint64, w *world) {
	t.schedules++
	t.generations += len(w.started)
	t.acknowledged += len(w.acked)
	for _, entry := range w.log {
		if entry.report.Kind == failover.ReportMemberRemoved {
			t.evictions++
		}
	}
	if w.violation != "" {
		t.violations = append(t.violations, fmt.Sprintf("seed %d: %s", seed, w.violation))
	}
}

// search runs the seeds below count in parallel, or with first only until a
// violation is found.
func search(count uint64, rules failover.Rules, faults []fault, first bool) tally {
	var total tally
	var next uint64
	var lock sync.Mutex
	var group sync.WaitGroup
	take := func() (uint64, bool) {
		lock.Lock()
		defer lock.Unlock()
		next++
		return next - 1, next <= count && !(first && len(total.violations) > 0)
	}
	for range workers {
		group.Go(func() {
			for seed, more := take(); more; seed, more = take() {
				w := runSeed(seed, rules, faults)
				lock.Lock()
				total.add(seed, w)
				lock.Unlock()
			}
		})
	}
	group.Wait()
	return total
}

var _ = Describe("the machines under random faults", func() {
	It("keep every invariant and take writes again", func() {
		total := search(seeds(), failover.Rules{}, allFaults, false)
		GinkgoWriter.Printf("%d schedules, %d generations, %d writes acknowledged, %d members removed\n",
			total.schedules, total.generations, total.acknowledged, total.evictions)
		Expect(total.violations).To(BeEmpty())
		Expect(total.generations).To(BeNumerically(">", total.schedules/2))
	})

	DescribeTable("break an invariant without the rule",
		func(rules failover.Rules, faults ...fault) {
			total := search(offSeeds, rules, faults, true)
			Expect(total.violations).NotTo(BeEmpty())
			GinkgoWriter.Println(total.schedules, total.violations[0])
		},
		Entry("confirmation", failover.Rules{SkipConfirmation: true}, killPrimary),
		Entry("permit from the start of the read", failover.Rules{PermitFromAnswer: true}, pauseInRead),
		Entry("drift of the clocks", failover.Rules{IgnoreDrift: true}, cutAtSeal),
		Entry("highest row", failover.Rules{AcceptOldHead: true}, killPrimary, tableSlow, killPrimary),
		Entry("stopped for good", failover.Rules{ForgetStopped: true}, killPrimary, tableSlow, badNetwork),
		Entry("registration first", failover.Rules{PermitUnregistered: true}, killPrimary, joinNode, tableSlow),
		Entry("promise of all", failover.Rules{PromiseByMajority: true}, partition, partition, cutNode, killPrimary),
		Entry("no promise on an older row", failover.Rules{PromiseOnNewerHead: true}, cutNode, killPrimary),
		Entry("established", failover.Rules{EstablishedAtOnce: true}, partition),
		Entry("removal waits", failover.Rules{RemoveAtOnce: true}, unlistNode),
	)
})
