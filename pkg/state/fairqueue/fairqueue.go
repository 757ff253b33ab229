// Package fairqueue orders queued items by start-time fair queuing. Each flow
// has a weight and a start tag, which its running items advance by the time that
// they occupy slots, divided by the weight; the flow with the least tag is next.
// The sessions of a flow take turns, so that a flow gets no larger share by
// opening more of them.
//
// A queue may have several lanes, such as one for each resource that items wait
// for. A flow has one start tag for all of them.
//
// The package is deterministic and reads no clock. It is not safe for concurrent
// use.
package fairqueue

import (
	"container/heap"
	"time"
)

// maxIdleFlows is the number of idle flows that may be kept, in addition to two
// for each waiting flow and running item.
const maxIdleFlows = 64

// Queue holds items of type T in flows identified by K, whose sessions are
// identified by S.
type Queue[K, S comparable, T any] struct {
	// compare orders the items of one session.
	compare func(a, b T) int
	flows   map[K]*Flow[K, S, T]
	// lanes holds, by lane, the flows that have items there.
	lanes []flowHeap[K, S, T]
	// virtualTime is the greatest start tag of a flow at the start of an item.
	virtualTime time.Duration
	queued      int
	running     int
	// waitingFlows and waitingWeight are the number and the total weight of the
	// flows with queued items.
	waitingFlows  int
	waitingWeight int
	lastSequence  uint64
}

// New returns an empty queue with the given number of lanes. Items of one
// session are ordered by compare, and by arrival if it returns zero.
func New[K, S comparable, T any](lanes int, compare func(a, b T) int) *Queue[K, S, T] {
	q := &Queue[K, S, T]{compare: compare, flows: make(map[K]*Flow[K, S, T])}
	for lane := range lanes {
		q.lanes = append(q.lanes, flowHeap[K, S, T]{lane: lane})
	}
	return q
}

// Queued returns the number of queued items.
func (q *Queue[K, S, T]) Queued() int { return q.queued }

// QueuedIn returns the number of queued items of a lane.
func (q *Queue[K, S, T]) QueuedIn(lane int) int { return q.lanes[lane].queued }

// Flows returns the number of flows whose state is kept.
func (q *Queue[K, S, T]) Flows() int { return len(q.flows) }

// WaitingWeight returns the total weight of the flows with queued items.
func (q *Queue[K, S, T]) WaitingWeight() int { return q.waitingWeight }

// Flow returns the flow of a key, which it creates if necessary, and sets its
// weight. Weights below one count as one. A flow that gets no item must be
// passed to Evict.
func (q *Queue[K, S, T]) Flow(key K, weight int) *Flow[K, S, T] {
	f := q.flows[key]
	if f == nil {
		f = newFlow[K, S, T](key, len(q.lanes))
		q.flows[key] = f
	}
	weight = max(weight, 1)
	if f.queued > 0 {
		q.waitingWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// Lookup returns the flow of a key, or nil if no state is kept for it.
func (q *Queue[K, S, T]) Lookup(key K) *Flow[K, S, T] { return q.flows[key] }

// Push adds an item to a lane of a flow.
func (q *Queue[K, S, T]) Push(f *Flow[K, S, T], session S, lane int, value T) *Item[K, S, T] {
	if f.queued == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.enteredAt = q.lastSequence
	}
	q.lastSequence++
	item := &Item[K, S, T]{Value: value, flow: f, session: session, lane: lane, sequence: q.lastSequence}
	q.insert(item, false)
	return item
}

// Remove removes an item from the queue. Its session loses no turn. It does
// nothing if the item is not queued.
func (q *Queue[K, S, T]) Remove(item *Item[K, S, T]) {
	if item.queued() {
		q.detach(item)
		q.Evict(item.flow)
	}
}

// Take removes an item that Next returned; the next session of its flow gets the
// next turn.
func (q *Queue[K, S, T]) Take(item *Item[K, S, T]) {
	item.flow.lanes[item.lane].turns.MoveToBack(item.turn)
	q.detach(item)
}

// Restore puts an item that was taken back in front of its lane. Items must be
// restored in the reverse order of their removal.
func (q *Queue[K, S, T]) Restore(item *Item[K, S, T]) {
	q.insert(item, true)
}

// Move moves a queued item to another lane.
func (q *Queue[K, S, T]) Move(item *Item[K, S, T], lane int) {
	if !item.queued() || item.lane == lane {
		return
	}
	enteredAt := item.flow.enteredAt
	q.detach(item)
	item.lane = lane
	item.flow.enteredAt = enteredAt
	q.insert(item, false)
}

// Next returns the item of a lane that is next, or nil if the lane is empty: the
// first one of the session whose turn it is, of the flow with the least start
// tag.
func (q *Queue[K, S, T]) Next(lane int) *Item[K, S, T] {
	flows := q.lanes[lane].flows
	if len(flows) == 0 {
		return nil
	}
	return flows[0].lanes[lane].first()
}

// NextOf is Next for the flows whose keys are accepted.
func (q *Queue[K, S, T]) NextOf(lane int, accepts func(key K) bool) *Item[K, S, T] {
	flows := &q.lanes[lane]
	best := -1
	for i, f := range flows.flows {
		if (best < 0 || flows.Less(i, best)) && accepts(f.key) {
			best = i
		}
		if best == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	return flows.flows[best].lanes[lane].first()
}

// Charge is the expected cost that a flow was charged for a running item.
type Charge[K, S comparable, T any] struct {
	flow     *Flow[K, S, T]
	expected time.Duration
}

// StartUnqueued is Start for an item that has not been queued.
func (q *Queue[K, S, T]) StartUnqueued(f *Flow[K, S, T], expected time.Duration) Charge[K, S, T] {
	if f.queued == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	return q.Start(f, expected)
}

// Start charges a flow the expected cost of an item that was taken from the
// queue and starts to run.
func (q *Queue[K, S, T]) Start(f *Flow[K, S, T], expected time.Duration) Charge[K, S, T] {
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.running++
	q.running++
	q.advance(f, expected)
	return Charge[K, S, T]{flow: f, expected: expected}
}

// End corrects the charge of an item that has ended by the actual cost.
func (q *Queue[K, S, T]) End(c Charge[K, S, T], actual time.Duration) {
	c.flow.running--
	q.running--
	q.advance(c.flow, actual-c.expected)
	q.Evict(c.flow)
}

// Drop ends an item whose actual cost is not known.
func (q *Queue[K, S, T]) Drop(c Charge[K, S, T]) { q.End(c, c.expected) }

// Evict removes the state of the flow if it is idle and its past use no longer
// puts it behind others. If many flows are kept it also removes all others
// without items, so that the memory is bounded by the number of flows that were
// active recently.
func (q *Queue[K, S, T]) Evict(f *Flow[K, S, T]) {
	if f.isIdle() && f.startTag <= q.virtualTime {
		delete(q.flows, f.key)
	}
	if len(q.flows) <= 2*(q.waitingFlows+q.running)+maxIdleFlows {
		return
	}
	for key, other := range q.flows {
		if other.isIdle() {
			delete(q.flows, key)
		}
	}
}

// Heaviest returns the flow with the most queued items in proportion to its
// weight; of several the one that got its first item last. It returns nil if the
// queue is empty.
func (q *Queue[K, S, T]) Heaviest() *Flow[K, S, T] {
	var heaviest *Flow[K, S, T]
	for _, lane := range q.lanes {
		for _, f := range lane.flows {
			if heaviest == nil || f.isHeavier(heaviest) {
				heaviest = f
			}
		}
	}
	return heaviest
}

// advance advances the start tag of a flow by a cost.
func (q *Queue[K, S, T]) advance(f *Flow[K, S, T], cost time.Duration) {
	f.startTag += cost / time.Duration(f.weight)
	for lane := range f.lanes {
		if f.lanes[lane].queued > 0 {
			heap.Fix(&q.lanes[lane], f.lanes[lane].index)
		}
	}
}

func (q *Queue[K, S, T]) insert(item *Item[K, S, T], front bool) {
	f, lane := item.flow, &item.flow.lanes[item.lane]
	if q.flows[f.key] == nil {
		q.flows[f.key] = f
	}
	if f.queued == 0 {
		q.waitingFlows++
		q.waitingWeight += f.weight
	}
	f.queued++
	q.queued++
	q.lanes[item.lane].queued++
	lane.push(item, q.compare, front)
	if lane.queued == 1 {
		heap.Push(&q.lanes[item.lane], f)
	}
}

func (q *Queue[K, S, T]) detach(item *Item[K, S, T]) {
	f, lane := item.flow, &item.flow.lanes[item.lane]
	lane.remove(item)
	f.queued--
	q.queued--
	q.lanes[item.lane].queued--
	if lane.queued == 0 {
		heap.Remove(&q.lanes[item.lane], lane.index)
	}
	if f.queued == 0 {
		q.waitingFlows--
		q.waitingWeight -= f.weight
	}
}
