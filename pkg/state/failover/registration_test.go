package failover_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Times of a startSimulation.
const (
	// startRoundTrip is the time of a request and its answer on the network.
	startRoundTrip = 2 * time.Millisecond
	// startWriteTime is how long the table executes one write.
	startWriteTime = 5 * time.Millisecond
	startTick      = 50 * time.Millisecond
	// startSpread is the time within which all instances start.
	startSpread = 300 * time.Millisecond
)

// startSimulation simulates, in virtual time, many instances that start at once
// and register in one head row. The table executes one write at a time. The row
// still lists the instances' earlier processes, and the instances cannot reach
// each other yet.
type startSimulation struct {
	random    *rand.Rand
	head      *model.Head
	busyUntil time.Duration
	writes    int
	reads     int
	messages  int
	machines  []*failover.Machine
	queue     startQueue
	order     int
}

type startEvent struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

type startQueue []startEvent

func (q startQueue) Len() int { return len(q) }
func (q startQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q startQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *startQueue) Push(x any)   { *q = append(*q, x.(startEvent)) }
func (q *startQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// schedule calls run at the virtual time at.
func (s *startSimulation) schedule(at time.Duration, run func(now time.Duration)) {
	s.order++
	heap.Push(&s.queue, startEvent{at: at, order: s.order, run: run})
}

func startMember(index int, process string) model.Member {
	machine := fmt.Sprintf("machine-%02d", index)
	return model.Member{
		ID: model.InstanceID(machine + "/" + process), Machine: machine,
		DataCentre: model.DataCentre(fmt.Sprintf("centre-%d", index%3)),
	}
}

// newStartSimulation returns a simulation of this many instances. configure, if
// not nil, completes the settings of each.
func newStartSimulation(instances int, seed uint64, configure func(index int, config *failover.Config)) *startSimulation {
	s := &startSimulation{random: rand.New(rand.NewPCG(seed, 1)), head: &model.Head{Version: 1, Revision: 1, MembersVersion: 1}}
	for i := range instances {
		s.head.Members = append(s.head.Members, startMember(i, "before"))
	}
	for i := range instances {
		config := failover.Config{Self: startMember(i, "now"), TickInterval: startTick}
		if configure != nil {
			configure(i, &config)
		}
		machine := failover.New(config)
		s.machines = append(s.machines, machine)
		begin := time.Duration(s.random.Int64N(int64(startSpread)))
		s.schedule(begin, func(now time.Duration) { s.tick(machine, now) })
	}
	return s
}

func (s *startSimulation) tick(machine *failover.Machine, now time.Duration) {
	s.carryOut(machine, now, machine.Handle(now, failover.Tick{}))
	s.schedule(now+startTick, func(next time.Duration) { s.tick(machine, next) })
}

func (s *startSimulation) carryOut(machine *failover.Machine, now time.Duration, actions []failover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case failover.SendPeer:
			s.messages++
		case failover.ReadHead:
			s.reads++
			s.schedule(now+startRoundTrip/2, func(read time.Duration) {
				head := s.head
				s.answer(machine, read+startRoundTrip/2, failover.HeadRead{StartedAt: now, Head: head})
			})
		case failover.WriteHead:
			s.schedule(now+startRoundTrip/2, func(arrived time.Duration) { s.applyWrite(machine, arrived, a) })
		}
	}
}

func (s *startSimulation) answer(machine *failover.Machine, at time.Duration, event failover.Event) {
	s.schedule(at, func(now time.Duration) { s.carryOut(machine, now, machine.Handle(now, event)) })
}

func (s *startSimulation) applyWrite(machine *failover.Machine, arrived time.Duration, write failover.WriteHead) {
	s.writes++
	s.busyUntil = max(s.busyUntil, arrived) + startWriteTime
	s.schedule(s.busyUntil, func(done time.Duration) {
		written := failover.HeadWritten{Op: write.Op, Outcome: failover.WriteConflict}
		if write.IfVersion == s.head.Version {
			s.head = write.Head.Clone()
			s.head.Version++
			written.Outcome = failover.WriteApplied
		}
		written.Head = s.head
		s.answer(machine, done+startRoundTrip/2, written)
	})
}

// run continues until all instances are registered, and returns when that was,
// or limit if it takes longer.
func (s *startSimulation) run(limit time.Duration) time.Duration {
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(startEvent)
		if next.at > limit {
			return limit
		}
		next.run(next.at)
		if s.countRegistered() == len(s.machines) {
			return next.at
		}
	}
	return limit
}

func (s *startSimulation) countRegistered() int {
	count := 0
	for _, machine := range s.machines {
		view := machine.View()
		if view.Registered {
			count++
		}
	}
	return count
}

var _ = Describe("the simultaneous start of all instances", func() {
	// After a power loss, 28 instances needed 3 s until the last one held
	// permits, since each kept writing to a version of the row that others had
	// already replaced.
	It("registers 28 instances within a second", func() {
		for seed := range uint64(20) {
			s := newStartSimulation(28, seed, nil)
			took := s.run(20 * time.Second)
			GinkgoWriter.Printf("seed %d: %v, %d writes\n", seed, took, s.writes)
			Expect(took).To(BeNumerically("<", time.Second), "seed %d, %d writes", seed, s.writes)
		}
	})
})

// Guards against an instance without a bound on the members that waits like one
// which replaces members of a full row.
var _ = It("an instance in a region without a bound registers with its first read", func() {
	machine := failover.New(failover.Config{Self: startMember(0, "now"), TickInterval: startTick})
	machine.Handle(time.Millisecond, failover.Tick{})
	read := failover.HeadRead{StartedAt: time.Millisecond, Head: &model.Head{Version: 4, MembersVersion: 2}}
	Expect(machine.Handle(2*time.Millisecond, read)).To(ContainElement(BeAssignableToTypeOf(failover.WriteHead{})))
})

// Guards against the loss of up to a whole read interval after a start: an
// instance is told of the groups that it serves once it has registered, so that
// neither the read before nor the write itself renews their permits.
var _ = Describe("an instance that learns of its groups after its registration", func() {
	const (
		startedAt    = 5 * time.Millisecond
		readAt       = 10 * time.Millisecond
		registeredAt = 20 * time.Millisecond
		adoptedAt    = 21 * time.Millisecond
	)
	self := startMember(0, "now")
	groups := failover.BundleAdopted{Groups: []failover.GroupSpec{{ID: "g", Servers: []model.InstanceID{self.ID}}}}

	// registered returns a machine that has registered by a write at readAt.
	registered := func() *failover.Machine {
		machine := failover.New(failover.Config{Self: self, TickInterval: startTick, MaxMembers: 12})
		machine.Handle(startedAt, failover.Tick{})
		head := &model.Head{Version: 4, MembersVersion: 2, Groups: []model.GroupHead{{ID: "g", Generation: 3, Primary: "u"}}}
		var write *failover.WriteHead
		for _, action := range machine.Handle(readAt, failover.HeadRead{StartedAt: startedAt, Head: head}) {
			if a, is := action.(failover.WriteHead); is {
				write = &a
			}
		}
		Expect(write).NotTo(BeNil())
		written := write.Head.Clone()
		written.Version = 5
		machine.Handle(registeredAt, failover.HeadWritten{Op: write.Op, Outcome: failover.WriteApplied, Head: written})
		return machine
	}

	It("holds their permits at once, from the start of the write", func() {
		machine := registered()
		machine.Handle(adoptedAt, groups)
		view := machine.View()
		state, known := view.Group("g")
		Expect(known).To(BeTrue())
		Expect(state.PermitUntil).To(Equal(readAt + 3*time.Second))
	})

	It("holds none after it has learned of a newer row that is not confirmed", func() {
		machine := registered()
		newer := &model.Head{
			Version: 6, MembersVersion: 2, Members: []model.Member{self},
			Groups: []model.GroupHead{{ID: "g", Generation: 4, Primary: "v"}},
		}
		machine.Handle(registeredAt, failover.PeerReceived{Message: failover.HeadSent{Head: newer}})
		machine.Handle(adoptedAt, groups)
		view := machine.View()
		state, _ := view.Group("g")
		Expect(state.PermitUntil).To(BeZero())
	})
})
