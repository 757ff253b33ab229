package search_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

const (
	groupID = model.GroupID("g1")

	tickInterval  = 50 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	replayEvery   = 20 * time.Millisecond
	repairEvery   = 200 * time.Millisecond
	listEvery     = time.Second
	readTimeout   = 400 * time.Millisecond
)

// world runs real failover machines against simulations of the table, the
// network and the upstreams, in virtual time. The same seed gives the same run.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue queue
	// seq numbers the scheduled calls, to order those of the same time.
	seq   uint64
	rules failover.Rules
	nodes []*node
	// ups holds the upstreams of the group.
	ups   []*server
	table table
	net   network
	// hosted is nil unless the platform promotes the upstreams.
	hosted *hosted

	writeEvery time.Duration
	// reportFollows lets probes report which server a replica follows.
	reportFollows bool
	// healed is true after heal.
	healed bool

	branches []branch
	// acked holds all acknowledged writes, lastAck the time of the last one.
	acked   []ack
	lastAck time.Duration
	// started holds the generations that were started during the run.
	started map[model.Generation]bool
	// violation describes the first invariant that was violated; it ends the
	// run.
	violation string
	log       []logEntry
}

type logEntry struct {
	at     time.Duration
	node   model.InstanceID
	report failover.Report
}

// ack is an acknowledged write and its place in the history of the group.
type ack struct {
	at         time.Duration
	generation model.Generation
	branch     int
	lsn        model.LSN
	// deposed is true if the upstream committed it after the platform had
	// promoted another one.
	deposed bool
}

// scheduled is a call that is due at the time at.
type scheduled struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue is a heap of calls ordered by time, then by seq.
type queue []scheduled

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, rules failover.Rules, instances int) *world {
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		rules:      rules,
		writeEvery: 100 * time.Millisecond,
		started:    map[model.Generation]bool{},
		branches:   []branch{{parent: -1}},
	}
	w.table.w = w
	w.net.w = w
	w.net.delayMax = 3 * time.Millisecond
	w.table.delayMax = 4 * time.Millisecond
	for i := range 3 + int(seed/3%2) {
		w.ups = append(w.ups, &server{
			id: model.UpstreamID(fmt.Sprintf("u%d", i+1)), dc: dataCentre(i),
			alive: true, recovering: i > 0, timeline: 1, lsn: 1000,
		})
	}
	for _, up := range w.ups[1:] {
		up.follows = w.ups[0]
	}
	for range instances {
		w.join()
	}
	w.every(replayEvery, w.replay)
	w.every(repairEvery, w.repairReplicas)
	return w
}

func dataCentre(i int) model.DataCentre { return model.DataCentre(fmt.Sprintf("dc%d", i%3+1)) }

func (w *world) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{at: w.now + delay, seq: w.seq, run: run})
}

func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

// run advances the time to end, or to the first violation.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = max(w.now, end)
}

func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// checkAck is called when a node acknowledges a write.
func (w *world) checkAck(by *node, a ack) {
	current := w.table.group()
	if current.Generation > a.generation {
		w.violate("%s acknowledged a write of generation %d in generation %d", by.id, a.generation, current.Generation)
	}
	if a.deposed {
		w.violate("%s acknowledged a write that was committed at a replaced primary", by.id)
	}
	w.acked = append(w.acked, a)
	w.lastAck = w.now
}

// checkNoPermitBelow checks that no node holds a valid permit of a generation
// below next. what names the event for the message.
func (w *world) checkNoPermitBelow(next model.Generation, what string) {
	for _, n := range w.nodes {
		generation, held := n.permit()
		if held && generation < next {
			w.violate("%s holds a permit of generation %d when %s", n.id, generation, what)
		}
	}
}

// checkStart checks a row against the one that it replaces: generations only
// rise, and each starts once, without old permits, on an upstream that has
// every acknowledged write below the start.
func (w *world) checkStart(before, next model.GroupHead) {
	if next.Generation < before.Generation {
		w.violate("generation %d follows %d", next.Generation, before.Generation)
	}
	if next.Generation == before.Generation {
		if next.Primary != before.Primary || before.Seal != nil && next.Seal == nil {
			w.violate("generation %d changed its primary or was unsealed", next.Generation)
		}
		return
	}
	if w.started[next.Generation] {
		w.violate("generation %d started twice", next.Generation)
	}
	w.started[next.Generation] = true
	w.checkNoPermitBelow(next.Generation, fmt.Sprintf("generation %d starts", next.Generation))
	primary := w.server(next.Primary)
	if primary.recovering || primary.timeline != next.Timeline {
		w.violate("generation %d starts on %s which does not serve timeline %d", next.Generation, primary.id, next.Timeline)
	}
	for _, a := range w.acked {
		if a.generation == before.Generation && a.lsn <= next.StartLSN && !w.contains(primary.branch, a.branch, a.lsn) {
			w.violate("write %v is below the start of generation %d but not in it", a.lsn, next.Generation)
		}
	}
}

// checkReplicas checks that the node would not send reads to an upstream whose
// history diverged from the primary's. Two seconds are allowed for probes to
// show a change.
func (w *world) checkReplicas(n *node) {
	current := w.table.group()
	view, found := n.view.Group(groupID)
	if !found || current.Generation != view.Generation || current.Seal != nil {
		return
	}
	primary := w.server(current.Primary)
	for _, replica := range view.Replicas {
		up := w.server(replica.ID)
		settled := w.now-up.changedAt > 2*time.Second && w.now-w.table.startedAt > 2*time.Second
		if settled && !w.contains(primary.branch, up.branch, up.lsn) {
			w.violate("%s reads from %s which diverged from %s", n.id, up.id, primary.id)
		}
	}
}

// checkOnePrimary checks that no other node holds a permit of another
// generation.
func (w *world) checkOnePrimary(n *node) {
	generation, held := n.permit()
	if !held {
		return
	}
	for _, other := range w.nodes {
		second, alsoHeld := other.permit()
		if alsoHeld && second != generation {
			w.violate("%s holds a permit of generation %d and %s of %d", n.id, generation, other.id, second)
		}
	}
}
