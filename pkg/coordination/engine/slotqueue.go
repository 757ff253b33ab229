package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/admission"
	"gypsumdock/pkg/verdict"
)

// latencyWeight is the divisor of the moving average of latencies: each new
// latency counts one part in latencyWeight.
const latencyWeight = 8

// slotQueue limits the units of work that this instance runs on one upstream at
// once. It puts a lock around an admission queue and lets goroutines block in it.
type slotQueue struct {
	engine *Engine

	// mu guards the fields below.
	mu    sync.Mutex
	queue *admission.Queue
	// waiting holds the channel on which each queued unit gets its decision.
	waiting map[admission.UnitID]chan admission.Decision
	lastID  admission.UnitID
	latency time.Duration
}

func newSlotQueue(e *Engine, slots int) *slotQueue {
	return &slotQueue{
		engine:  e,
		queue:   admission.New(admission.DefaultConfig(slots)),
		waiting: make(map[admission.UnitID]chan admission.Decision),
	}
}

// resizeQueues divides each upstream's slots among the members, rounded up.
func (e *Engine) resizeQueues(snapshot *control.Snapshot) {
	members := max(len(snapshot.View.Members), 1)
	for i := range snapshot.Bundle.Groups {
		for _, upstream := range snapshot.Bundle.Groups[i].Upstreams {
			share := (upstream.Slots + members - 1) / members
			e.slotQueue(upstream.ID).resize(max(share, 1))
		}
	}
}

func (q *slotQueue) resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Limit() == slots {
		return
	}
	q.queue.SetLimit(slots)
	q.deliver(q.queue.Expire(q.now(), q.engine.config.Random()))
}

func (q *slotQueue) now() time.Duration { return q.engine.config.Clock.Now() }

// acquire waits for a slot until ctx ends, and returns the unit's ID in the queue.
func (q *slotQueue) acquire(ctx context.Context, u *unit) (admission.UnitID, *verdict.Error) {
	id, decided := q.submit(u)
	select {
	case decision := <-decided:
		return id, decision.Refusal
	case <-ctx.Done():
		return id, q.cancel(id, decided)
	}
}

// submit puts a unit into the queue; the channel gets its decision.
func (q *slotQueue) submit(u *unit) (admission.UnitID, <-chan admission.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	decided := make(chan admission.Decision, 1)
	q.waiting[id] = decided
	now := q.now()
	queued := admission.Unit{
		ID:         id,
		Caller:     u.statement.Caller,
		Connection: admission.ConnectionID(u.statement.Connection),
		Weight:     u.weight(),
		Arrived:    now,
		Deadline:   now + time.Until(u.deadline),
	}
	q.deliver(q.queue.Submit(now, queued, q.engine.config.Random()))
	return id, decided
}

// cancel removes a unit whose deadline has passed or whose caller has
// disconnected. A slot that the unit got in the meantime goes to the next one.
func (q *slotQueue) cancel(id admission.UnitID, decided <-chan admission.Decision) *verdict.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Admitted() {
			q.deliver(q.queue.Release(q.now(), id, q.engine.config.Random()))
		}
	default:
		delete(q.waiting, id)
		q.queue.Cancel(id)
	}
	return verdict.New(verdict.DeadlineExceeded, verdict.NotRun,
		"no slot of the upstream became free within the deadline").WithRetryAfter(q.engine.retryDelay())
}

// recordLatency adds the latency of an executed unit to the average.
func (q *slotQueue) recordLatency(r traffic.Result) {
	if r.Outcome != verdict.Ran {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.latency += (r.Latency - q.latency) / latencyWeight
}

// release frees the unit's slot.
func (q *slotQueue) release(id admission.UnitID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.Release(q.now(), id, q.engine.config.Random()))
}

// deliver wakes the goroutines of units that got a slot or were refused. q.mu
// must be held.
func (q *slotQueue) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		decided, found := q.waiting[decision.ID]
		if !found {
			continue
		}
		delete(q.waiting, decision.ID)
		decided <- decision
	}
}

// outstanding returns the number of units that run or wait for a slot.
func (q *slotQueue) outstanding() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Running() + q.queue.Queued()
}

func (q *slotQueue) latencyAndSlots() (latency time.Duration, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.latency, q.queue.Limit()
}

// weight returns the caller's weight in the fair division of slots, 1 for a
// caller that is not configured.
func (u *unit) weight() int {
	caller, found := u.engine.Bundle().Caller(u.statement.Caller)
	if !found {
		return 1
	}
	return caller.Weight
}
