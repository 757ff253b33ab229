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

// Times of the store in the replay of a start of all instances.
const (
	startWay         = 2 * time.Millisecond
	startTransaction = 5 * time.Millisecond
	startTick        = 50 * time.Millisecond
	startSpread      = 300 * time.Millisecond
)

// start replays, in virtual time, the start of many instances before one head
// row. The store carries out one write after the other. The instances know the
// row of before, and do not reach each other yet.
type start struct {
	random   *rand.Rand
	head     *model.Head
	busyTo   time.Duration
	writes   int
	machines []*failover.Machine
	queue    startQueue
	order    int
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

func (s *start) after(at time.Duration, run func(now time.Duration)) {
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

func newStart(instances int, seed uint64) *start {
	s := &start{random: rand.New(rand.NewPCG(seed, 1)), head: &model.Head{Version: 1, Revision: 1, MembersVersion: 1}}
	for i := range instances {
		s.head.Members = append(s.head.Members, startMember(i, "before"))
	}
	for i := range instances {
		machine := failover.New(failover.Config{Self: startMember(i, "now"), TickInterval: startTick})
		s.machines = append(s.machines, machine)
		begin := time.Duration(s.random.Int64N(int64(startSpread)))
		s.after(begin, func(now time.Duration) { s.tick(machine, now) })
	}
	return s
}

func (s *start) tick(machine *failover.Machine, now time.Duration) {
	s.carryOut(machine, now, machine.Handle(now, failover.Tick{}))
	s.after(now+startTick, func(next time.Duration) { s.tick(machine, next) })
}

func (s *start) carryOut(machine *failover.Machine, now time.Duration, actions []failover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case failover.ReadHead:
			s.after(now+startWay/2, func(read time.Duration) {
				head := s.head
				s.answer(machine, read+startWay/2, failover.HeadRead{StartedAt: now, Head: head})
			})
		case failover.WriteHead:
			s.after(now+startWay/2, func(arrived time.Duration) { s.write(machine, arrived, a) })
		}
	}
}

func (s *start) answer(machine *failover.Machine, at time.Duration, event failover.Event) {
	s.after(at, func(now time.Duration) { s.carryOut(machine, now, machine.Handle(now, event)) })
}

func (s *start) write(machine *failover.Machine, arrived time.Duration, write failover.WriteHead) {
	s.writes++
	s.busyTo = max(s.busyTo, arrived) + startTransaction
	s.after(s.busyTo, func(done time.Duration) {
		written := failover.HeadWritten{Op: write.Op, Outcome: failover.WriteConflict}
		if write.IfVersion == s.head.Version {
			s.head = write.Head.Clone()
			s.head.Version++
			written.Outcome = failover.WriteApplied
		}
		written.Head = s.head
		s.answer(machine, done+startWay/2, written)
	})
}

// run plays until all instances are registered, and returns when that was.
func (s *start) run(limit time.Duration) time.Duration {
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(startEvent)
		if next.at > limit {
			return limit
		}
		next.run(next.at)
		if s.registered() == len(s.machines) {
			return next.at
		}
	}
	return limit
}

func (s *start) registered() int {
	count := 0
	for _, machine := range s.machines {
		view := machine.View()
		if view.Registered {
			count++
		}
	}
	return count
}

var _ = Describe("a start of all instances at once", func() {
	// 28 instances that returned from a power loss took three seconds until the
	// last of them held permits: each wrote on a row that had long changed.
	It("registers 28 of them within a second", func() {
		for seed := range uint64(20) {
			s := newStart(28, seed)
			took := s.run(20 * time.Second)
			GinkgoWriter.Printf("seed %d: %v, %d writes\n", seed, took, s.writes)
			Expect(took).To(BeNumerically("<", time.Second), "seed %d, %d writes", seed, s.writes)
		}
	})
})
