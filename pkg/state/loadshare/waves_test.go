package loadshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
)

const (
	slots = 5
	// oneWay is the delay between a server and the upstream, in steps of a
	// millisecond.
	oneWay = 3
	target = 200 * time.Millisecond
)

// unit is a statement in the simulation.
type unit struct {
	server  int
	arrived time.Duration
	work    time.Duration
	// at is when it reaches the upstream, or its answer the server.
	at time.Duration
}

// waves simulates four servers before one upstream in virtual time, in steps of
// a millisecond.
type waves struct {
	random *rand.Rand
	now    time.Duration
	shares [4]*loadshare.Share
	// divided is the limit of each server if the slots are divided equally; zero
	// for the limits of the shares.
	divided     int
	rate        func(server int, now time.Duration) float64
	queues      [4][]*unit
	outstanding [4]int
	travelling  []*unit
	upstream    []*unit
	returning   []*unit

	total, late, overfull, steps, messages int
	wait                                   time.Duration
	mostAtOnce                             int
}

func serverID(i int) model.InstanceID { return model.InstanceID(fmt.Sprintf("s%d", i)) }

func newWaves(divided int, rate func(int, time.Duration) float64) *waves {
	w := &waves{random: rand.New(rand.NewPCG(5, 6)), divided: divided, rate: rate}
	for i := range w.shares {
		w.shares[i] = loadshare.New()
		var others []model.InstanceID
		for j := range w.shares {
			if j != i {
				others = append(others, serverID(j))
			}
		}
		w.shares[i].SetUpstreams([]loadshare.Upstream{{ID: "u", Slots: slots, MaxConnections: 49, Others: others}})
	}
	return w
}

func (w *waves) limit(server int) int {
	if w.divided > 0 {
		return w.divided
	}
	limit, _ := w.shares[server].Limit(w.now, "u")
	return limit.Outstanding
}

// report lets the servers tell each other what they have.
func (w *waves) report() {
	for i := range w.shares {
		own := []loadshare.Count{{Upstream: "u", Outstanding: w.outstanding[i]}}
		for j := range w.shares {
			if i == j {
				continue
			}
			w.shares[j].Heard(w.now, serverID(i))
			if due := w.shares[i].Due(w.now, serverID(j), own); len(due) > 0 {
				w.messages++
				Expect(w.shares[j].Reported(w.now, serverID(i), due)).To(Succeed())
			}
		}
	}
}

func (w *waves) step() {
	for i := range w.queues {
		if w.random.Float64() < w.rate(i, w.now)/1000 {
			work := time.Duration((0.5 + w.random.Float64()) * float64(18*time.Millisecond))
			w.queues[i] = append(w.queues[i], &unit{server: i, arrived: w.now, work: work})
		}
		for len(w.queues[i]) > 0 && w.outstanding[i] < w.limit(i) {
			w.outstanding[i]++
			w.queues[i][0].at = w.now + oneWay*time.Millisecond
			w.travelling = append(w.travelling, w.queues[i][0])
			w.queues[i] = w.queues[i][1:]
		}
	}
	w.travelling = w.arrive(w.travelling, func(u *unit) { w.upstream = append(w.upstream, u) })
	w.work()
	w.returning = w.arrive(w.returning, func(u *unit) {
		w.outstanding[u.server]--
		w.total++
		w.wait += w.now - u.arrived
		if w.now-u.arrived > target {
			w.late++
		}
	})
	w.steps++
	sum := 0
	for _, count := range w.outstanding {
		sum += count
	}
	w.mostAtOnce = max(w.mostAtOnce, sum)
	if sum > 2*slots {
		w.overfull++
	}
	w.now += time.Millisecond
}

func (w *waves) arrive(units []*unit, handle func(*unit)) []*unit {
	var rest []*unit
	for _, u := range units {
		if u.at <= w.now {
			handle(u)
			continue
		}
		rest = append(rest, u)
	}
	return rest
}

func (w *waves) work() {
	var rest []*unit
	for i, u := range w.upstream {
		if i < slots {
			u.work -= time.Millisecond
		}
		if u.work <= 0 {
			u.at = w.now + oneWay*time.Millisecond
			w.returning = append(w.returning, u)
			continue
		}
		rest = append(rest, u)
	}
	w.upstream = rest
}

func (w *waves) run(length time.Duration) *waves {
	for w.now < length {
		if w.now%loadshare.ReportInterval == 0 {
			w.report()
		}
		w.step()
	}
	GinkgoWriter.Printf("limit %d: %d units, late %.4f, mean %v, above twice the slots %.4f of the time, most %d, messages/s %.0f\n",
		w.divided, w.total, w.lateShare(), (w.wait / time.Duration(w.total)).Round(100*time.Microsecond), w.overfullShare(), w.mostAtOnce,
		float64(w.messages)/length.Seconds())
	return w
}

func (w *waves) lateShare() float64     { return float64(w.late) / float64(w.total) }
func (w *waves) overfullShare() float64 { return float64(w.overfull) / float64(w.steps) }

var _ = Describe("four servers before one upstream of 5 slots", func() {
	const length = 60 * time.Second

	// wave returns a load of plus and minus half around the mean of each server, a
	// quarter of a wave apart.
	wave := func(means ...float64) func(int, time.Duration) float64 {
		return func(server int, now time.Duration) float64 {
			phase := float64(server)*math.Pi/2 + 2*math.Pi*now.Seconds()/10
			return means[server] * (1 + 0.5*math.Sin(phase))
		}
	}
	// divided is the limit of each server if the slots are divided equally.
	const divided = 4

	// The sum stays below the capacity of 277 units a second.
	It("lend each other what they do not use while one has most of the load", func() {
		rate := wave(120, 50, 30, 20)
		without, with := newWaves(divided, rate).run(length), newWaves(0, rate).run(length)
		Expect(without.lateShare()).To(BeNumerically(">", 0.1))
		Expect(with.lateShare()).To(BeNumerically("<", 0.01))
		Expect(with.overfullShare()).To(BeNumerically("<", 0.25))
	})

	// Guards against limits below an equal part, with which slots idle while the
	// counts of the others are out of date.
	It("lose nothing while all have equal waves close to the capacity", func() {
		rate := wave(65, 65, 65, 65)
		without, with := newWaves(divided, rate).run(length), newWaves(0, rate).run(length)
		Expect(with.lateShare()).To(BeNumerically("<", without.lateShare()+0.02))
		Expect(with.overfullShare()).To(BeNumerically("<", without.overfullShare()))
	})
})
