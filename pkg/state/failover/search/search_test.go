// Package search_test simulates many instances under random faults, and checks
// that the failover machines keep their invariants. Each run follows from its
// seed.
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

// listedOnlySeeds is the number of schedules with connections to listed members only.
const listedOnlySeeds uint64 = 100

// workers is the number of runs in parallel.
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

// runSeed runs the schedule of one seed and checks that the group takes writes
// at its end.
func runSeed(seed uint64, rules failover.Rules, faults []fault) *world {
	return runWorld(newWorld(seed, rules, 3+int(seed%3)), faults)
}

// runWorld runs the schedule of a world as runSeed does.
func runWorld(w *world, faults []fault) *world {
	w.schedule(faults)
	end := faultsTo + 4*time.Second + healBound
	w.run(end)
	if w.violation == "" && w.lastAck < end-time.Second {
		w.violate("no write since %v", w.lastAck)
	}
	return w
}

// tally sums up the runs of a search.
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

// search runs the seeds below count in parallel. If stopAtFirst is true, it
// stops after the first violation.
func search(count uint64, rules failover.Rules, faults []fault, stopAtFirst bool) tally {
	var total tally
	var next uint64
	var lock sync.Mutex
	var group sync.WaitGroup
	take := func() (uint64, bool) {
		lock.Lock()
		defer lock.Unlock()
		next++
		return next - 1, next <= count && !(stopAtFirst && len(total.violations) > 0)
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
	It("keep every invariant and take writes again after the faults", func() {
		total := search(seeds(), failover.Rules{}, allFaults, false)
		GinkgoWriter.Printf("%d schedules, %d generations, %d writes acknowledged, %d members removed\n",
			total.schedules, total.generations, total.acknowledged, total.evictions)
		Expect(total.violations).To(BeEmpty())
		Expect(total.generations).To(BeNumerically(">", total.schedules/2))
	})

	// In the mesh an instance cannot answer one that has registered since it read the
	// row.
	It("keep every invariant with connections to listed members only", func() {
		var total tally
		for seed := range listedOnlySeeds {
			w := newWorld(seed, failover.Rules{}, 3+int(seed%3))
			w.net.listedOnly = true
			total.add(seed, runWorld(w, allFaults))
		}
		Expect(total.violations).To(BeEmpty())
		Expect(total.generations).To(BeNumerically(">", total.schedules/2))
	})

	DescribeTable("violate an invariant if a safety rule is off",
		func(rules failover.Rules, faults ...fault) {
			total := search(ruleOffSeeds, rules, faults, true)
			Expect(total.violations).NotTo(BeEmpty())
			GinkgoWriter.Println(total.schedules, total.violations[0])
		},
		Entry("wait for confirmations before a promotion", failover.Rules{SkipConfirmation: true}, killPrimary),
		Entry("count a permit from the start of the read", failover.Rules{PermitFromAnswer: true}, pauseInRead),
		Entry("add clock drift to the wait", failover.Rules{IgnoreDrift: true}, cutAtSeal),
		Entry("accept only newer head rows", failover.Rules{AcceptOldHead: true}, killPrimary, tableSlow, killPrimary),
		Entry("hold no permit for a generation again", failover.Rules{ForgetStopped: true}, killPrimary, tableSlow, badNetwork),
		Entry("register before holding permits", failover.Rules{PermitUnregistered: true}, killPrimary, joinNode, tableSlow),
		Entry("require the promises of all members", failover.Rules{PromiseByMajority: true}, partition, partition, cutNode, killPrimary),
		Entry("promise nothing for another head row", failover.Rules{PromiseOnNewerHead: true}, cutNode, killPrimary),
		Entry("complete by waiting only when established", failover.Rules{EstablishedAtOnce: true}, partition),
		Entry("start the permits of a group that moves at the newest confirmation", failover.Rules{PermitFromBundle: true}, moveGroup, moveGroup, cutNode, partition, cutPrimary),
		Entry("wait for members that served the group before", failover.Rules{ConfirmByServers: true}, moveGroup, moveGroup, partition, cutPrimary),
		Entry("remove evicted members after their permits expire", failover.Rules{RemoveAtOnce: true}, unlistNode),
	)
})
