package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/state/model"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var deployments = []struct {
	name string
	base scenario
}{
	{"Tregwynt, 2 slots", scenario{slots: 2, connections: 16, oneWay: time.Millisecond}},
	{"Lankapower, 5 slots", scenario{slots: 5, connections: 55, oneWay: 1500 * time.Microsecond}},
}

var policies = []struct {
	name   string
	policy policy
}{{"none", noQueue}, {"share per instance", sharePerInstance}, {"adaptive", adaptiveLimit}, {"one ordering point", singleQueue}}

var ruleSets = []struct {
	name  string
	rules admission.Rules
}{
	{"all rules", admission.Rules{}},
	{"no fairness", admission.Rules{NoFairness: true}},
	{"no nesting", admission.Rules{NoNesting: true}},
	{"no prediction", admission.Rules{NoPrediction: true}},
	{"none of the rules", admission.Rules{NoFairness: true, NoPrediction: true}},
}

func (sc scenario) simulate(load float64, p policy, rules admission.Rules, greedyInstances int) simulationResult {
	sc.load, sc.policy, sc.rules, sc.greedyInstances = load, p, rules, greedyInstances
	sc.service = 8 * time.Millisecond
	return simulate(sc)
}

// BenchmarkOverload prints the figures of docs/measurements/admission.md.
func BenchmarkOverload(b *testing.B) {
	report := func(b *testing.B, r simulationResult) {
		b.ReportMetric(100*r.goodput, "%goodput")
		b.ReportMetric(100*r.modestShare, "%modest-answered")
		b.ReportMetric(r.modestP50.Seconds()*1000, "ms-p50")
		b.ReportMetric(r.modestP99.Seconds()*1000, "ms-p99")
		b.ReportMetric(r.attempts, "attempts")
		b.ReportMetric(0, "ns/op")
	}
	for _, d := range deployments {
		d.base.seconds = 120
		for _, p := range policies {
			for _, greedyInstances := range []int{1, instanceCount} {
				for _, load := range []float64{1, 2} {
					b.Run(fmt.Sprintf("%s/%s/greedy on %d/%.0fx", d.name, p.name, greedyInstances, load), func(b *testing.B) {
						report(b, d.base.simulate(load, p.policy, admission.Rules{}, greedyInstances))
					})
				}
			}
		}
		for _, rules := range ruleSets {
			b.Run(fmt.Sprintf("%s/%s", d.name, rules.name), func(b *testing.B) {
				report(b, d.base.simulate(2, singleQueue, rules.rules, instanceCount))
			})
		}
		d.base.ignoreRetryAfter = true
		b.Run(d.name+"/advice ignored", func(b *testing.B) {
			report(b, d.base.simulate(2, singleQueue, admission.Rules{}, instanceCount))
		})
	}
}

var _ = Describe("Queue under overload", func() {
	for _, d := range deployments {
		base := d.base
		base.seconds = 20

		It("keeps the goodput and serves the modest callers, "+d.name, func() {
			normal := base.simulate(1, singleQueue, admission.Rules{}, instanceCount)
			double := base.simulate(2, singleQueue, admission.Rules{}, instanceCount)
			Expect(double.goodput).To(BeNumerically(">=", 0.95*normal.goodput))
			Expect(double.modestShare).To(BeNumerically(">", 0.99))
		})

		It("needs each of its rules, "+d.name, func() {
			normal := base.simulate(1, singleQueue, admission.Rules{}, instanceCount)
			late := base.simulate(2, singleQueue, admission.Rules{NoPrediction: true}, instanceCount)
			Expect(late.goodput).To(BeNumerically("<", 0.95*normal.goodput))
			unfair := base.simulate(2, singleQueue, admission.Rules{NoFairness: true}, instanceCount)
			Expect(unfair.modestShare).To(BeNumerically("<", 0.8))
			flat := base.simulate(2, singleQueue, admission.Rules{NoNesting: true}, instanceCount)
			Expect(flat.modestShare).To(BeNumerically("<", 0.8))
		})
	}
})

var _ = Describe("Queue", func() {
	var queue *admission.Queue

	unit := func(id admission.UnitID, caller model.CallerName, at time.Duration) admission.Unit {
		return admission.Unit{ID: id, Caller: caller, Owner: "i1", Arrived: at, Deadline: at + 100*time.Millisecond}
	}

	BeforeEach(func() {
		config := admission.DefaultConfig(1)
		config.MaxQueued = 2
		queue = admission.New(config)
	})

	It("refuses the newest unit of the caller with the most queued units when it is full", func() {
		Expect(queue.Submit(0, unit(1, "greedy", 0), 1)[0].Admitted()).To(BeTrue())
		Expect(queue.Submit(0, unit(2, "greedy", 0), 1)).To(BeEmpty())
		Expect(queue.Submit(0, unit(3, "greedy", 0), 1)).To(BeEmpty())
		decisions := queue.Submit(0, unit(4, "modest", 0), 1)
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].ID).To(Equal(admission.UnitID(3)))
		Expect(decisions[0].Refusal.SafeToRetry()).To(BeTrue())
		Expect(decisions[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("frees the slots of an instance that is gone, and those whose release was lost", func() {
		queue.Submit(0, unit(1, "a", 0), 1)
		queue.Submit(0, unit(2, "b", 0), 1)
		Expect(queue.DropOwner(0, "i1", 1)).To(BeEmpty())
		Expect(queue.Running() + queue.Queued()).To(BeZero())
		queue.Submit(0, unit(3, "a", 0), 1)
		queue.Expire(time.Minute, 1)
		Expect(queue.Running()).To(BeZero())
	})

	It("keeps the state of a bounded number of callers", func() {
		for i := range 10000 {
			id := admission.UnitID(i)
			now := time.Duration(i) * time.Millisecond
			queue.Submit(now, unit(id, model.CallerName(fmt.Sprint(i)), now), 1)
			queue.Release(now+time.Millisecond/2, id, 1)
		}
		Expect(queue.Callers()).To(BeNumerically("<", 100))
	})
})

func BenchmarkSubmitRelease(b *testing.B) {
	queue := admission.New(admission.DefaultConfig(5))
	b.ReportAllocs()
	for i := range b.N {
		id, now := admission.UnitID(i), time.Duration(i)*time.Microsecond
		queue.Submit(now, admission.Unit{
			ID: id, Caller: callerName(i % 8), Connection: admission.ConnectionID(i % 64), Arrived: now, Deadline: now + time.Second,
		}, 1)
		queue.Release(now, id-admission.UnitID(min(i, 20)), 1)
	}
}
