package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// load is a load in virtual time on members that are in touch.
type load struct {
	limit quota.Limit
	// demand is the operations per second, as a part of the rate.
	demand float64
	// wave is the part by which the demand of each member rises and falls in
	// wavePeriod, and skew the ratio between the demands of two neighbours.
	wave float64
	skew float64
	// idle is set for a load that begins after an idle time.
	idle bool
}

const wavePeriod = 4 * time.Second

// result is what became of a load.
type result struct {
	asked, refused, admitted int
	span                     time.Duration
	messages                 int
	// mostInWindow is the largest number of operations in a window.
	mostInWindow int
}

func (r result) String() string {
	return fmt.Sprintf("%d asked, %.3f%% refused, %.1f a second admitted, at most %d in a window, %.0f messages a second",
		r.asked, 100*float64(r.refused)/float64(r.asked), float64(r.admitted)/r.span.Seconds(), r.mostInWindow,
		float64(r.messages)/r.span.Seconds())
}

// fleet is a set of members that are in touch, in virtual time.
type fleet struct {
	now      time.Duration
	machines []*quota.Machine
	index    map[model.InstanceID]int
	inFlight []parcel
	random   *rand.Rand
	messages int
}

// parcel is a report in flight to the member with the index to.
type parcel struct {
	at     time.Duration
	from   model.InstanceID
	to     int
	report quota.Report
}

func newFleet(members int, limits []quota.Limit) *fleet {
	f := &fleet{index: make(map[model.InstanceID]int), random: rand.New(rand.NewPCG(1, 2))}
	var listed []model.Member
	for i := range members {
		id := model.InstanceID(fmt.Sprintf("m%02d", i))
		listed = append(listed, model.Member{ID: id})
		f.index[id] = i
	}
	for _, member := range listed {
		machine := quota.New(quota.Config{Self: member.ID, Tolerance: quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}})
		machine.SetLimits(0, limits)
		machine.SetMembers(0, listed, 0)
		f.machines = append(f.machines, machine)
	}
	return f
}

// advance simulates 5 ms. Reports are sent every 100 ms, at another time by each
// member, and take 4 ms.
func (f *fleet) advance() {
	f.now += 5 * time.Millisecond
	rest := f.inFlight[:0]
	for _, p := range f.inFlight {
		if p.at > f.now {
			rest = append(rest, p)
			continue
		}
		f.machines[p.to].Receive(f.now, p.from, p.report)
	}
	f.inFlight = rest
	for id, i := range f.index {
		if (f.now/(5*time.Millisecond)+time.Duration(i*7))%20 != 0 {
			continue
		}
		for _, out := range f.machines[i].Tick(f.now) {
			f.messages++
			f.inFlight = append(f.inFlight, parcel{at: f.now + 4*time.Millisecond, from: id, to: f.index[out.To], report: out.Report})
		}
	}
}

// play runs a load on 12 members for span, after 10 seconds in which the buckets
// fill.
func (l load) play(span time.Duration) result {
	const members = 12
	limits := []quota.Limit{l.limit}
	f := newFleet(members, limits)
	weights := make([]float64, members)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(l.skew, float64(i))
		sum += weights[i]
	}
	due := make([]float64, members)
	for i := range due {
		due[i] = f.random.Float64()
	}
	r := result{span: span}
	var runs []time.Duration
	start := 10 * time.Second
	if l.idle {
		start = 30 * time.Second
	}
	for f.now < span+start {
		f.advance()
		if l.idle && f.now < start {
			continue
		}
		for i, machine := range f.machines {
			phase := 2 * math.Pi * (f.now.Seconds()/wavePeriod.Seconds() + float64(i)/members)
			rate := l.limit.Rate * l.demand * weights[i] / sum * (1 + l.wave*math.Sin(phase))
			// The gaps vary between half and one and a half of their mean.
			due[i] -= rate * 0.005
			for due[i] <= 0 {
				due[i] += 0.5 + f.random.Float64()
				if f.now < start {
					machine.Admit(f.now, l.limit.Caller)
					continue
				}
				r.asked++
				if admitted, _ := machine.Admit(f.now, l.limit.Caller); !admitted {
					r.refused++
					continue
				}
				r.admitted++
				runs = append(runs, f.now)
				for runs[0] <= f.now-5*time.Second {
					runs = runs[1:]
				}
				r.mostInWindow = max(r.mostInWindow, len(runs))
			}
		}
	}
	r.messages = f.messages
	return r
}

var _ = Describe("a load in virtual time on 12 members", func() {
	// Guards against a fixed division into equal shares, which refuses most of an
	// uneven load.
	It("at 60% of the rate is hardly ever refused, however unevenly it is spread", func() {
		for _, limit := range []quota.Limit{{Caller: hot, Rate: 20, Burst: 10}, {Caller: hot, Rate: 100, Burst: 20}, {Caller: hot, Rate: 100, Burst: 200}, {Caller: hot, Rate: 400, Burst: 40}} {
			for _, skew := range []float64{1, 0.5, 0.1} {
				r := load{limit: limit, demand: 0.6, wave: 0.5, skew: skew}.play(60 * time.Second)
				AddReportEntry(fmt.Sprintf("rate %v, burst %v, skew %v", limit.Rate, limit.Burst, skew), r.String())
				Expect(float64(r.refused)).To(BeNumerically("<", 0.005*float64(r.asked)))
			}
		}
	})

	// Guards against members that exchange their first reports only under load: each
	// charges what the others may have used unreported, and would refuse the load
	// until that is paid back.
	It("that begins after the region was idle is hardly ever refused", func() {
		for _, skew := range []float64{1, 0.5} {
			limit := quota.Limit{Caller: hot, Rate: 100, Burst: 100}
			r := load{limit: limit, demand: 0.6, wave: 0.5, skew: skew, idle: true}.play(10 * time.Second)
			AddReportEntry(fmt.Sprintf("rate %v, burst %v, skew %v", limit.Rate, limit.Burst, skew), r.String())
			Expect(float64(r.refused)).To(BeNumerically("<", 0.005*float64(r.asked)))
		}
	})

	// Guards against shares that are too small and a debt that is counted twice, which
	// leave part of the rate unused.
	It("at five times the rate gets at least 95% of its rate", func() {
		for _, limit := range []quota.Limit{{Caller: hot, Rate: 2, Burst: 2}, {Caller: hot, Rate: 20, Burst: 10}, {Caller: hot, Rate: 100, Burst: 20}, {Caller: hot, Rate: 400, Burst: 40}} {
			for _, skew := range []float64{1, 0.5} {
				r := load{limit: limit, demand: 5, wave: 0.5, skew: skew}.play(60 * time.Second)
				AddReportEntry(fmt.Sprintf("rate %v, burst %v, skew %v", limit.Rate, limit.Burst, skew), r.String())
				Expect(float64(r.admitted)).To(BeNumerically(">", 0.95*limit.Rate*60))
				Expect(float64(r.mostInWindow)).To(BeNumerically("<=", (limit.Rate*5+limit.Burst)*1.1+20))
			}
		}
	})

	// An equal share of a burst of two is less than one token.
	It("of a caller with a rate of one or two is hardly ever refused", func() {
		for _, limit := range []quota.Limit{{Caller: hot, Rate: 2, Burst: 2}, {Caller: hot, Rate: 1, Burst: 1}} {
			for _, skew := range []float64{1, 0.5, 0.1} {
				r := load{limit: limit, demand: 0.6, wave: 0.5, skew: skew}.play(300 * time.Second)
				AddReportEntry(fmt.Sprintf("rate %v, burst %v, skew %v", limit.Rate, limit.Burst, skew), r.String())
				Expect(float64(r.refused)).To(BeNumerically("<", 0.02*float64(r.asked)))
			}
		}
	})
})
