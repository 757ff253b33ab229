package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/balance"
	"gypsumdock/pkg/state/model"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

const (
	route  = "status"
	target = 200 * time.Millisecond
	// workers is the number of units that a server runs at once.
	workers = 4
)

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// job is a unit of work in the simulation.
type job struct {
	from   *sender
	server int
	sentAt time.Duration
	work   time.Duration
}

// sender is an instance that forwards units.
type sender struct {
	balance *balance.Balance
	// order holds the servers; the first two are in the data centre of the sender.
	order []balance.Candidate
	rate  func(now time.Duration) float64
	home  bool
}

// simulation runs senders before four servers in virtual time, in steps of a
// millisecond. Servers 0 and 1 are in the data centre of the senders.
type simulation struct {
	now     time.Duration
	random  *rand.Rand
	senders []*sender
	queues  [4][]*job
	// speed returns the work that a worker of the server does in a millisecond, as
	// a part of the usual one.
	speed func(server int, now time.Duration) float64
	// balanced is false to always send to the first server of the order.
	balanced bool
	// nearOnly is set to withhold the target, without which no other data centre
	// is used.
	nearOnly bool
	answered [4]int
	total    int
	late     int
}

func newSimulation(balanced bool, perSecond float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(1, 2)), balanced: balanced,
		speed: func(int, time.Duration) float64 { return 1 },
	}
	for i := range 6 {
		order := []balance.Candidate{{Server: "s0", Near: true}, {Server: "s1", Near: true}, {Server: "s2"}, {Server: "s3"}}
		if i%2 == 1 {
			order[0], order[1] = order[1], order[0]
		}
		s.senders = append(s.senders, &sender{
			balance: balance.New(), order: order,
			rate: func(time.Duration) float64 { return perSecond },
		})
	}
	return s
}

func serverIndex(id model.InstanceID) int { return int(id[1] - '0') }

func (s *simulation) send(from *sender) {
	chosen := 0
	unit := balance.Unit{Route: route, TimeToTarget: target, HasHome: from.home}
	if s.nearOnly {
		unit.TimeToTarget = 0
	}
	if s.balanced {
		chosen = from.balance.Choose(s.now, from.order, unit, s.random.Uint64())
	}
	id := from.order[chosen].Server
	from.balance.Sent(s.now, id, balance.Request{Route: route})
	work := time.Duration((0.5 + s.random.Float64()) * float64(millis(18)))
	server := serverIndex(id)
	s.queues[server] = append(s.queues[server], &job{from: from, server: server, sentAt: s.now, work: work})
}

// step lets the servers work for a millisecond.
func (s *simulation) step() {
	for server := range s.queues {
		done := time.Duration(s.speed(server, s.now) * float64(millis(1)))
		rest := s.queues[server][:0]
		var finished []*job
		for i, entry := range s.queues[server] {
			if i < workers {
				entry.work -= done
			}
			if entry.work <= 0 {
				finished = append(finished, entry)
				continue
			}
			rest = append(rest, entry)
		}
		s.queues[server] = rest
		for _, entry := range finished {
			s.finish(entry)
		}
	}
	s.now += millis(1)
}

func (s *simulation) finish(entry *job) {
	id := model.InstanceID(fmt.Sprintf("s%d", entry.server))
	waiting := max(0, len(s.queues[entry.server])-workers)
	entry.from.balance.Answered(s.now, id, balance.Answer{Request: balance.Request{Route: route}, SentAt: entry.sentAt})
	entry.from.balance.Reported(s.now, id, balance.Load{Running: len(s.queues[entry.server]) - waiting, Waiting: waiting})
	s.answered[entry.server]++
	s.total++
	if s.now-entry.sentAt > target {
		s.late++
	}
}

// run sends units for the given time and then waits for their answers.
func (s *simulation) run(length time.Duration) {
	for s.now < length {
		for _, from := range s.senders {
			if s.random.Float64() < from.rate(s.now)/1000 {
				s.send(from)
			}
		}
		s.step()
	}
	for range 60_000 {
		s.step()
	}
}

func (s *simulation) lateShare() float64 { return float64(s.late) / float64(s.total) }

func (s *simulation) share(server int) float64 { return float64(s.answered[server]) / float64(s.total) }

// The load is that of six instances, each with 30 units a second of 18 ms, before
// the four servers of a group.
var _ = Describe("a load on uneven servers", func() {
	const length = 20 * time.Second

	// compare runs the load with the rule and without, and returns both.
	compare := func(change func(*simulation)) (with, without *simulation) {
		with, without = newSimulation(true, 30), newSimulation(false, 30)
		for _, s := range []*simulation{with, without} {
			change(s)
			s.run(length)
			GinkgoWriter.Printf("balanced %v: %.4f late, answered %v\n", s.balanced, s.lateShare(), s.answered)
		}
		return with, without
	}

	It("stays in the data centre while all servers answer at normal speed", func() {
		with, _ := compare(func(*simulation) {})
		Expect(with.lateShare()).To(BeNumerically("<", 0.001))
		Expect(with.share(2) + with.share(3)).To(BeNumerically("<", 0.01))
		Expect(with.share(0)).To(BeNumerically("~", 0.5, 0.1))
	})

	It("avoids a server that is five times slower", func() {
		with, without := compare(func(s *simulation) {
			s.speed = func(server int, _ time.Duration) float64 {
				if server == 0 {
					return 0.2
				}
				return 1
			}
		})
		Expect(without.lateShare()).To(BeNumerically(">", 0.3))
		Expect(with.lateShare()).To(BeNumerically("<", 0.01))
	})

	It("avoids a server that is frozen for 4 s, and uses it again", func() {
		with, without := compare(func(s *simulation) {
			s.speed = func(server int, now time.Duration) float64 {
				if server == 0 && now > 5*time.Second && now < 9*time.Second {
					return 0
				}
				return 1
			}
		})
		Expect(without.lateShare()).To(BeNumerically(">", 0.1))
		Expect(with.lateShare()).To(BeNumerically("<", 0.02))
		Expect(with.share(0)).To(BeNumerically(">", 0.25))
	})

	It("avoids a server that is throttled for the rest of each 100 ms", func() {
		with, without := compare(func(s *simulation) {
			s.speed = func(server int, now time.Duration) float64 {
				if server == 0 && now%millis(100) >= millis(20) {
					return 0
				}
				return 1
			}
		})
		Expect(without.lateShare()).To(BeNumerically(">", 0.2))
		Expect(with.lateShare()).To(BeNumerically("<", 0.02))
	})

	It("uses another data centre for a burst that the near servers cannot take in time, and only for it", func() {
		burst := func(s *simulation) {
			for _, from := range s.senders {
				from.rate = func(now time.Duration) float64 {
					if now > 5*time.Second && now < 8*time.Second {
						return 110
					}
					return 30
				}
			}
		}
		with, without := compare(burst)
		nearOnly := newSimulation(true, 30)
		nearOnly.nearOnly = true
		burst(nearOnly)
		nearOnly.run(length)
		Expect(nearOnly.lateShare()).To(BeNumerically(">", 0.3))
		Expect(without.lateShare()).To(BeNumerically(">", 0.3))
		Expect(with.lateShare()).To(BeNumerically("<", 0.01))
		Expect(with.share(2) + with.share(3)).To(And(BeNumerically(">", 0.01), BeNumerically("<", 0.25)))
	})

	It("keeps a caller at its home while that is not clearly worse", func() {
		with, _ := compare(func(s *simulation) {
			for _, from := range s.senders {
				from.home = true
				from.order = []balance.Candidate{{Server: "s2"}, {Server: "s0", Near: true}, {Server: "s1", Near: true}}
			}
		})
		Expect(with.share(2)).To(BeNumerically(">", 0.8))
		Expect(with.lateShare()).To(BeNumerically("<", 0.02))
	})
})

// The servers of a group wait up to 1.6 s for its new primary. They serve other
// groups in that time.
var _ = Describe("a server that waits for a new primary", func() {
	avoidedAfter := func(needsPrimary bool) bool {
		bal := balance.New()
		order := []balance.Candidate{{Server: "s0", Near: true}, {Server: "s1", Near: true}}
		request := balance.Request{Route: "orders", NeedsPrimary: needsPrimary}
		for i := range 4 {
			bal.Sent(millis(i), "s0", request)
		}
		bal.Choose(millis(800), order, balance.Unit{Route: route}, 0)
		for i := range 4 {
			bal.Answered(millis(1600), "s0", balance.Answer{Request: request, SentAt: millis(i)})
		}
		bal.Choose(millis(1601), order, balance.Unit{Route: route}, 0)
		return bal.Avoided("s0")
	}

	It("is not avoided for units that wait for a primary", func() {
		Expect(avoidedAfter(true)).To(BeFalse())
		Expect(avoidedAfter(false)).To(BeTrue())
	})
})

var _ = Describe("Choose", func() {
	order := []balance.Candidate{{Server: "s0", Near: true}, {Server: "s1", Near: true}}
	unit := balance.Unit{Route: route}
	// share returns how many of 100 units are sent to s0.
	share := func(bal *balance.Balance, now time.Duration) int {
		random := rand.New(rand.NewPCG(7, 8))
		count := 0
		for range 100 {
			if bal.Choose(now, order, unit, random.Uint64()) == 0 {
				count++
			}
		}
		return count
	}

	// Guards against a frozen server that stays in use, as it sends no answer whose
	// time could be measured.
	It("avoids a server while a single read there is outstanding for long", func() {
		bal := balance.New()
		bal.Sent(0, "s0", balance.Request{Route: route})
		Expect(bal.Choose(millis(30), order, unit, 0)).To(BeNumerically(">=", 0))
		Expect(bal.Avoided("s0")).To(BeFalse())
		Expect(bal.Choose(millis(200), order, unit, 0)).To(Equal(1))
		Expect(bal.Avoided("s0")).To(BeTrue())
	})

	DescribeTable("prefers the server with less load of its own, while the report is recent",
		func(load balance.Load) {
			bal := balance.New()
			bal.Reported(0, "s0", load)
			Expect(share(bal, millis(100))).To(BeZero())
			bal.Reported(millis(100), "s1", load)
			Expect(share(bal, millis(100))).To(BeNumerically(">", 90))
		},
		Entry("units that wait", balance.Load{Running: 4, Waiting: 20}),
		Entry("a processor share that is used up", balance.Load{Running: 4, Busy: 1}),
	)

	It("prefers the server with fewer units of this instance", func() {
		bal := balance.New()
		for range 3 {
			bal.Sent(0, "s0", balance.Request{Route: route, NeedsPrimary: true})
		}
		Expect(share(bal, 0)).To(BeZero())
	})

	It("weighs an old report less than a difference in recent answers", func() {
		bal := balance.New()
		bal.Reported(0, "s0", balance.Load{Running: 4, Waiting: 4})
		now := 30 * time.Second
		bal.Sent(now, "s1", balance.Request{Route: route})
		bal.Answered(now+millis(28), "s1", balance.Answer{Request: balance.Request{Route: route}, SentAt: now})
		Expect(share(bal, now+millis(28))).To(Equal(100))
	})
})

func BenchmarkChoose(b *testing.B) {
	bal := balance.New()
	var order []balance.Candidate
	for i := range 10 {
		id := model.InstanceID(fmt.Sprintf("machine-%d/123456789-1712345678901", i))
		order = append(order, balance.Candidate{Server: id, Near: i < 4})
		request := balance.Request{Route: route}
		bal.Sent(0, id, request)
		bal.Answered(millis(20), id, balance.Answer{Request: request})
		bal.Reported(millis(20), id, balance.Load{Running: 3, Waiting: 1, Busy: 0.5})
		bal.Sent(millis(21), id, request)
	}
	unit := balance.Unit{Route: route, TimeToTarget: target}
	b.ReportAllocs()
	var random uint64
	for b.Loop() {
		random += 0x9e3779b97f4a7c15
		bal.Choose(millis(30), order, unit, random)
	}
}
