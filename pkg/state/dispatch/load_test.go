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

// replay plays a load on one group in virtual time: units arrive at a rate, and
// each upstream runs two statements at once and queues the rest.
type replay struct {
	group  *dispatch.Group
	random *rand.Rand
	now    time.Duration
	events eventHeap
	queues map[model.UpstreamID][]*job
	busy   map[model.UpstreamID]int
	// applied returns what a replica has applied.
	applied func(id model.UpstreamID, now time.Duration) model.Position

	jobs   map[*dispatch.Unit]*job
	counts map[string]int
}

// job is a unit on its way.
type job struct {
	unit      *dispatch.Unit
	placement *dispatch.Placement
	work      time.Duration
	sentAt    time.Duration
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

func newReplay(group *dispatch.Group) *replay {
	return &replay{
		group:  group,
		random: rand.New(rand.NewPCG(1, 2)),
		queues: map[model.UpstreamID][]*job{},
		busy:   map[model.UpstreamID]int{},
		jobs:   map[*dispatch.Unit]*job{},
		counts: map[string]int{},
		applied: func(_ model.UpstreamID, now time.Duration) model.Position {
			return model.Position{Term: 1, Number: model.LSN((now - millis(20)) / millis(1))}
		},
	}
}

func (r *replay) after(pause time.Duration, run func()) {
	heap.Push(&r.events, event{at: r.now + pause, run: run})
}

// arrivals submits units at a rate until the end.
func (r *replay) arrivals(perSecond float64, until time.Duration, make func(time.Duration) *dispatch.Unit, work time.Duration) {
	r.after(time.Duration(r.random.ExpFloat64()*float64(time.Second)/perSecond), func() {
		if r.now >= until {
			return
		}
		unit := make(r.now)
		r.jobs[unit] = &job{unit: unit, work: time.Duration((0.5 + r.random.Float64()) * float64(work))}
		r.submit(unit)
		r.arrivals(perSecond, until, make, work)
	})
}

func (r *replay) submit(unit *dispatch.Unit) {
	placement, refusal := r.group.Submit(r.now, unit)
	if placement != nil || refusal != nil {
		r.decided(dispatch.Decision{Unit: unit, Placement: placement, Refusal: refusal})
	}
}

func (r *replay) decided(d dispatch.Decision) {
	if d.Refusal != nil {
		r.counts["refused "+d.Unit.Route]++
		if r.now-d.Unit.Arrived > (d.Unit.Target-d.Unit.Arrived)/2 {
			r.counts["refused late"]++
		}
		return
	}
	entry := r.jobs[d.Unit]
	entry.placement = d.Placement
	entry.sentAt = r.now
	r.counts["at "+string(d.Placement.Upstream)]++
	r.group.Sent(r.now, d.Placement)
	if !d.Placement.RequiredPosition.IsZero() && r.applied(d.Placement.Upstream, r.now).Before(d.Placement.RequiredPosition) {
		r.after(millis(2), func() { r.behind(entry) })
		return
	}
	r.queues[d.Placement.Upstream] = append(r.queues[d.Placement.Upstream], entry)
	r.start(d.Placement.Upstream)
}

// behind lets a replica answer that it lacks the position.
func (r *replay) behind(entry *job) {
	id := entry.placement.Upstream
	r.counts["behind"]++
	r.group.Answered(r.now, entry.placement, entry.unit.Route, r.now-entry.sentAt)
	r.group.Freshness().ReplicaSampled(id, entry.sentAt, r.applied(id, r.now))
	r.group.Release(r.now, entry.placement)
	entry.unit.LaggingReplicas = append(entry.unit.LaggingReplicas, id)
	r.submit(entry.unit)
	r.settle()
}

func (r *replay) start(id model.UpstreamID) {
	const slots = 2
	if r.busy[id] >= slots || len(r.queues[id]) == 0 {
		return
	}
	entry := r.queues[id][0]
	r.queues[id] = r.queues[id][1:]
	r.busy[id]++
	r.after(entry.work, func() { r.finished(entry) })
}

func (r *replay) finished(entry *job) {
	id := entry.placement.Upstream
	r.busy[id]--
	r.group.Answered(r.now, entry.placement, entry.unit.Route, r.now-entry.sentAt)
	r.group.Release(r.now, entry.placement)
	if entry.placement.Primary {
		sample(r.group, entry.sentAt)
	} else {
		r.group.Freshness().ReplicaSampled(id, entry.sentAt, r.applied(id, r.now))
	}
	switch {
	case r.now <= entry.unit.Target:
		r.counts["in time "+entry.unit.Route]++
	default:
		r.counts["late "+entry.unit.Route]++
	}
	r.start(id)
	r.settle()
}

func (r *replay) settle() {
	for _, d := range r.group.DecideWaiting(r.now) {
		r.decided(d)
	}
}

// run plays until nothing is left to happen before the end.
func (r *replay) run(until time.Duration) {
	for tick := time.Duration(0); tick < until; tick += millis(50) {
		heap.Push(&r.events, event{at: tick, run: r.settle})
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
}

func (r *replay) share(of string, route string) float64 {
	total := r.counts["in time "+route] + r.counts["late "+route] + r.counts["refused "+route]
	return float64(r.counts[of+" "+route]) / float64(total)
}

// The load of an instance at Tregwynt's busiest, alone with the databases: the
// units of one instance against all of their slots.
var _ = Describe("a load", func() {
	const length = 20 * time.Second

	It("below what the slots carry is served in time", func() {
		r := newReplay(newGroup())
		sample(r.group, 0)
		r.arrivals(120, length, write, millis(4))
		r.arrivals(300, length, read, millis(9))
		r.run(length)
		Expect(r.share("in time", "write")).To(BeNumerically(">", 0.97))
		Expect(r.share("in time", "read")).To(BeNumerically(">", 0.97))
	})

	It("above it is cut by refusals at once, and the writes go first", func() {
		r := newReplay(newGroup())
		sample(r.group, 0)
		r.arrivals(120, length, write, millis(4))
		r.arrivals(900, length, read, millis(9))
		r.run(length)
		GinkgoWriter.Println(r.counts)
		Expect(r.share("in time", "write")).To(BeNumerically(">", 0.95))
		Expect(r.share("in time", "read")).To(BeNumerically(">", 0.45))
		Expect(r.share("late", "read")).To(BeNumerically("<", 0.10))
		Expect(r.counts["refused late"]).To(BeNumerically("<", r.counts["refused read"]/5))
	})

	// The replicas fall six seconds behind, so that all reads go to the primary.
	// Before, the overload outlived its cause: the replicas were not asked again,
	// and reads waited until they could only be broken off.
	It("returns to the replicas once these have caught up", func() {
		r := newReplay(newGroup())
		sample(r.group, 0)
		r.applied = func(_ model.UpstreamID, now time.Duration) model.Position {
			lag := millis(20)
			if now > 5*time.Second && now < 10*time.Second {
				lag = 6 * time.Second
			}
			return model.Position{Term: 1, Number: model.LSN(max(0, now-lag) / millis(1))}
		}
		r.arrivals(80, length, write, millis(4))
		r.arrivals(300, length, read, millis(9))
		r.run(11 * time.Second)
		Expect(r.share("in time", "write")).To(BeNumerically(">", 0.9))
		Expect(float64(r.counts["at b"] + r.counts["at c"])).To(BeNumerically(">", 0.5*float64(r.counts["in time read"])))
		Expect(r.share("in time", "read")).To(BeNumerically(">", 0.75))
	})
})
