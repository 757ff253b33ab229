package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
)

// simulation runs a load against one group in virtual time. Units arrive at
// random with a given mean rate; each upstream runs as many statements at once
// as it has slots and queues the rest.
type simulation struct {
	slots     int
	group     *dispatch.Group
	random    *rand.Rand
	now       time.Duration
	events    eventHeap
	queues    map[model.UpstreamID][]*job
	busySlots map[model.UpstreamID]int
	// appliedPosition returns the log position that a replica has applied.
	appliedPosition func(id model.UpstreamID, now time.Duration) model.Position
	// faulty fails statements; nil if none fails.
	faulty *faulty

	jobs map[*dispatch.Unit]*job
	// counts holds the number of units by result and route, such as "late read",
	// and by upstream, such as "at b".
	counts map[string]int
	// label returns the name under which a unit is counted.
	label func(unit *dispatch.Unit) string
	// ended is called when a unit was answered or refused; it may be nil.
	ended func(unit *dispatch.Unit, refusal *dispatch.Refusal)
	// placed is called when a unit is placed; it may be nil.
	placed func(entry *job)
	// longestWait is the longest wait of a placed unit, by label.
	longestWait map[string]time.Duration
	// slotTime is the time for which units occupied slots, by label.
	slotTime map[string]time.Duration
}

// job is a submitted unit.
type job struct {
	unit      *dispatch.Unit
	placement *dispatch.Placement
	// work is the time for which the unit occupies a slot.
	work   time.Duration
	sentAt time.Duration
	// statements is the number of further statements of a transaction, with
	// pause before each.
	statements int
	pause      time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSimulation(group *dispatch.Group) *simulation {
	return &simulation{
		slots:       2,
		label:       func(unit *dispatch.Unit) string { return unit.Route },
		longestWait: map[string]time.Duration{},
		slotTime:    map[string]time.Duration{},

		group:     group,
		random:    rand.New(rand.NewPCG(1, 2)),
		queues:    map[model.UpstreamID][]*job{},
		busySlots: map[model.UpstreamID]int{},
		jobs:      map[*dispatch.Unit]*job{},
		counts:    map[string]int{},
		appliedPosition: func(_ model.UpstreamID, now time.Duration) model.Position {
			return model.Position{Term: 1, LSN: model.LSN((now - millis(20)) / millis(1))}
		},
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now + delay, run: run})
}

// scheduleArrivals submits units at the mean rate perSecond until the time
// until, unless newUnit returns nil. The work of a unit varies between half and one and a half times work.
func (s *simulation) scheduleArrivals(perSecond float64, until time.Duration, newUnit func(time.Duration) *dispatch.Unit, work time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/perSecond), func() {
		if s.now >= until {
			return
		}
		if unit := newUnit(s.now); unit != nil {
			s.jobs[unit] = &job{unit: unit, work: time.Duration((0.5 + s.random.Float64()) * float64(work))}
			s.submit(unit)
		}
		s.scheduleArrivals(perSecond, until, newUnit, work)
	})
}

func (s *simulation) submit(unit *dispatch.Unit) {
	placement, refusal := s.group.Submit(s.now, unit)
	if placement != nil || refusal != nil {
		s.applyDecision(dispatch.Decision{Unit: unit, Placement: placement, Refusal: refusal})
	}
}

func (s *simulation) applyDecision(d dispatch.Decision) {
	if d.Refusal != nil {
		s.counts["refused "+s.label(d.Unit)]++
		if s.now-d.Unit.Arrived > (d.Unit.Target-d.Unit.Arrived)/2 {
			s.counts["refused late"]++
		}
		s.end(d.Unit, d.Refusal)
		return
	}
	entry := s.jobs[d.Unit]
	entry.placement = d.Placement
	entry.sentAt = s.now
	s.counts["at "+string(d.Placement.Upstream)]++
	if s.placed != nil {
		s.placed(entry)
	}
	label := s.label(d.Unit)
	s.longestWait[label] = max(s.longestWait[label], s.now-d.Unit.Arrived)
	s.group.Sent(s.now, d.Placement)
	if !d.Placement.RequiredPosition.IsZero() && s.appliedPosition(d.Placement.Upstream, s.now).Before(d.Placement.RequiredPosition) {
		s.after(millis(2), func() { s.answerLagging(entry) })
		return
	}
	s.queues[d.Placement.Upstream] = append(s.queues[d.Placement.Upstream], entry)
	s.startNext(d.Placement.Upstream)
}

// answerLagging handles the answer of a replica that has not yet applied the
// required position: the unit is submitted again.
func (s *simulation) answerLagging(entry *job) {
	id := entry.placement.Upstream
	s.counts["behind"]++
	s.group.Answered(s.now, entry.placement, entry.unit.Route, s.now-entry.sentAt)
	s.group.Freshness().AddReplicaSample(id, entry.sentAt, s.appliedPosition(id, s.now))
	s.group.Release(s.now, entry.placement)
	entry.unit.LaggingReplicas = append(entry.unit.LaggingReplicas, id)
	s.submit(entry.unit)
	s.decideWaiting()
}

func (s *simulation) startNext(id model.UpstreamID) {
	if s.busySlots[id] >= s.slots || len(s.queues[id]) == 0 {
		return
	}
	entry := s.queues[id][0]
	s.queues[id] = s.queues[id][1:]
	s.busySlots[id]++
	s.after(entry.work, func() { s.finish(entry) })
}

func (s *simulation) finish(entry *job) {
	id := entry.placement.Upstream
	s.busySlots[id]--
	s.slotTime[s.label(entry.unit)] += entry.work
	if s.faulty.fails(s, entry) {
		return
	}
	s.group.Answered(s.now, entry.placement, entry.unit.Route, s.now-entry.sentAt)
	if entry.statements > 0 {
		entry.statements--
		s.after(entry.pause, func() { s.sendNext(entry) })
		s.startNext(id)
		s.decideWaiting()
		return
	}
	s.group.Release(s.now, entry.placement)
	if entry.placement.Primary {
		samplePrimary(s.group, entry.sentAt)
	} else {
		s.group.Freshness().AddReplicaSample(id, entry.sentAt, s.appliedPosition(id, s.now))
	}
	switch {
	case s.now > entry.unit.Deadline:
		s.counts["missed "+s.label(entry.unit)]++
	case s.now <= entry.unit.Target:
		s.counts["in time "+s.label(entry.unit)]++
	default:
		s.counts["late "+s.label(entry.unit)]++
	}
	s.end(entry.unit, nil)
	s.startNext(id)
	s.decideWaiting()
}

// sendNext sends the next statement of a transaction.
func (s *simulation) sendNext(entry *job) {
	entry.sentAt = s.now
	s.group.Sent(s.now, entry.placement)
	s.queues[entry.placement.Upstream] = append(s.queues[entry.placement.Upstream], entry)
	s.startNext(entry.placement.Upstream)
}

func (s *simulation) end(unit *dispatch.Unit, refusal *dispatch.Refusal) {
	delete(s.jobs, unit)
	if s.ended != nil {
		s.ended(unit, refusal)
	}
}

func (s *simulation) decideWaiting() {
	for _, d := range s.group.DecideWaiting(s.now) {
		s.applyDecision(d)
	}
}

// run executes all events, and decides the queued units each 50 ms until the
// time until.
func (s *simulation) run(until time.Duration) {
	for tick := time.Duration(0); tick < until; tick += millis(50) {
		heap.Push(&s.events, event{at: tick, run: s.decideWaiting})
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// share returns the fraction of the route's units that had the result.
func (s *simulation) share(result string, route string) float64 {
	total := s.counts["in time "+route] + s.counts["late "+route] + s.counts["missed "+route] + s.counts["refused "+route]
	return float64(s.counts[result+" "+route]) / float64(total)
}

// The load is that of one instance at its peak that has all slots of the databases
// to itself.
var _ = Describe("a load", func() {
	const length = 20 * time.Second

	It("below the capacity of the slots is served in time", func() {
		s := newSimulation(newGroup())
		samplePrimary(s.group, 0)
		s.scheduleArrivals(120, length, newWrite, millis(4))
		s.scheduleArrivals(300, length, newRead, millis(9))
		s.run(length)
		Expect(s.share("in time", "write")).To(BeNumerically(">", 0.97))
		Expect(s.share("in time", "read")).To(BeNumerically(">", 0.97))
	})

	It("above the capacity is shed by early refusals, with priority for writes", func() {
		s := newSimulation(newGroup())
		samplePrimary(s.group, 0)
		s.scheduleArrivals(120, length, newWrite, millis(4))
		s.scheduleArrivals(900, length, newRead, millis(9))
		s.run(length)
		GinkgoWriter.Println(s.counts)
		Expect(s.share("in time", "write")).To(BeNumerically(">", 0.95))
		Expect(s.share("in time", "read")).To(BeNumerically(">", 0.45))
		Expect(s.share("late", "read")).To(BeNumerically("<", 0.10))
		Expect(s.counts["refused late"]).To(BeNumerically("<", s.counts["refused read"]/5))
	})

	// The replicas fall six seconds behind, so that all reads go to the primary.
	// The overload once outlasted its cause: no read was sent to the replicas
	// again, and queued reads waited until they could only be cancelled.
	It("uses the replicas again once they have caught up", func() {
		s := newSimulation(newGroup())
		samplePrimary(s.group, 0)
		s.appliedPosition = func(_ model.UpstreamID, now time.Duration) model.Position {
			lag := millis(20)
			if now > 5*time.Second && now < 10*time.Second {
				lag = 6 * time.Second
			}
			return model.Position{Term: 1, LSN: model.LSN(max(0, now-lag) / millis(1))}
		}
		s.scheduleArrivals(80, length, newWrite, millis(4))
		s.scheduleArrivals(300, length, newRead, millis(9))
		s.run(11 * time.Second)
		Expect(s.share("in time", "write")).To(BeNumerically(">", 0.9))
		Expect(float64(s.counts["at b"] + s.counts["at c"])).To(BeNumerically(">", 0.5*float64(s.counts["in time read"])))
		Expect(s.share("in time", "read")).To(BeNumerically(">", 0.75))
	})
})
