// Package admission decides which unit of work gets the next slot of an
// upstream, and which is refused. A unit of work is a statement or a whole
// transaction. A slot is the capacity of an upstream to run one unit. The
// package is deterministic: times and random numbers are arguments.
//
// The rules are:
//   - Callers with queued units share the slots by weight, measured in the time
//     that their units occupy slots (start-time fair queueing).
//   - The connections of a caller take turns, so that a caller gets no larger
//     share by opening more of them.
//   - A full queue refuses the newest unit of the caller that has the most
//     queued units in proportion to its weight.
//   - A unit that cannot be served before its deadline is refused at once.
//
// A refused unit has not run (verdict.NotRun), and the refusal contains the
// delay after which to retry.
//
// A queue serves either one instance with its share of an upstream's slots, or
// all instances, if it runs on the one that orders the work of an upstream. In
// that case Unit.Owner is the instance that submitted the unit.
package admission

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// UnitID identifies a unit of work in a queue.
type UnitID uint64

// ConnectionID identifies a client connection of a caller.
type ConnectionID uint64

// Unit is a unit of work that requests a slot. Times are on the clock that is
// passed to the methods of Queue.
type Unit struct {
	ID         UnitID
	Caller     model.CallerName
	Connection ConnectionID
	// Owner is the instance that sends the unit to the upstream.
	Owner model.InstanceID
	// Weight is the caller's share relative to other callers; values below one
	// count as one.
	Weight int
	// Arrived is when the request was read from the client. Deadline is when it
	// must have been answered.
	Arrived  time.Duration
	Deadline time.Duration
}

// Decision admits a unit, which may run now, or refuses it.
type Decision struct {
	ID UnitID
	// Refusal is nil if the unit is admitted.
	Refusal *verdict.Error
}

// Admitted reports whether the unit got a slot.
func (d Decision) Admitted() bool { return d.Refusal == nil }

// Config configures a queue.
type Config struct {
	// Limit is the number of units that may run at once.
	Limit int
	// MaxQueued bounds the number of queued units.
	MaxQueued int
	// ServiceTime is the initial estimate of the service time: the time for
	// which a unit occupies a slot.
	ServiceTime time.Duration
	// MinRetryAfter is the least retry delay of a refusal.
	MinRetryAfter time.Duration
	// Margin is the time, in multiples of the service time, that a queued unit
	// must have left before its deadline when it gets a slot.
	Margin int
	// Grace is the time after a unit's deadline at which its slot is freed even
	// without a release, because the release must have been lost.
	Grace time.Duration
	Rules Rules
}

// DefaultConfig returns the default configuration of a queue with limit slots.
func DefaultConfig(limit int) Config {
	return Config{
		Limit:         limit,
		MaxQueued:     256,
		ServiceTime:   8 * time.Millisecond,
		MinRetryAfter: 20 * time.Millisecond,
		Margin:        3,
		Grace:         time.Second,
	}
}

// Rules disables single rules, to measure their effect. The zero value enables
// all rules.
type Rules struct {
	// NoFairness serves units in the order of their arrival. A full queue
	// refuses the arriving unit.
	NoFairness bool
	// NoNesting treats each connection as a caller of its own, instead of
	// sharing a caller's slots among its connections.
	NoNesting bool
	// NoPrediction lets units wait until their deadline.
	NoPrediction bool
}

// Queue assigns the slots of one upstream. It is owned by one goroutine.
type Queue struct {
	config Config
	// serviceTime is the moving average of the service times.
	serviceTime time.Duration
	// virtualTime is the start tag of the unit that last got a slot.
	virtualTime time.Duration
	callers     map[callerKey]*caller
	// waiting holds the callers with queued units, in the order in which they
	// got their first one.
	waiting []*caller
	// queued is the number of queued units of all callers.
	queued  int
	running map[UnitID]runningUnit
}

// callerKey identifies a caller. The connection is set only under
// Rules.NoNesting.
type callerKey struct {
	name       model.CallerName
	connection ConnectionID
}

// runningUnit is a unit that holds a slot.
type runningUnit struct {
	unit    Unit
	caller  *caller
	started time.Duration
	// charged is the service time that the caller's start tag was advanced by
	// when the unit started.
	charged time.Duration
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:      config,
		serviceTime: config.ServiceTime,
		callers:     make(map[callerKey]*caller),
		running:     make(map[UnitID]runningUnit),
	}
}

// SetLimit changes the number of units that may run at once. Slots gained by a
// higher limit are assigned by the next call that returns decisions.
func (q *Queue) SetLimit(limit int) { q.config.Limit = limit }

// Limit returns the number of units that may run at once.
func (q *Queue) Limit() int { return q.config.Limit }

// Queued returns the number of queued units.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of units that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Callers returns the number of callers whose state the queue keeps.
func (q *Queue) Callers() int { return len(q.callers) }

// ServiceTime returns the expected service time of a unit.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Submit adds a unit, or refuses it. It returns the decisions that follow, which
// may be on other units too; a unit without a decision is queued.
func (q *Queue) Submit(now time.Duration, u Unit, random uint64) []Decision {
	c := q.caller(u)
	var decisions []Decision
	if q.predictsLate(now, c, u) {
		refusal := q.refuse(c, verdict.Overloaded, "the wait would exceed the deadline", random)
		q.evictIdle(c)
		return append(decisions, Decision{ID: u.ID, Refusal: refusal})
	}
	q.enqueue(c, u)
	if q.queued > q.config.MaxQueued && len(q.running) >= q.config.Limit {
		decisions = append(decisions, q.shedUnit(u, random))
	}
	return q.assignSlots(now, decisions, random)
}

// Release frees the slot of a unit that was answered, and returns the decisions
// that follow.
func (q *Queue) Release(now time.Duration, id UnitID, random uint64) []Decision {
	r, found := q.running[id]
	if !found {
		return nil
	}
	elapsed := now - r.started
	q.serviceTime += (elapsed - q.serviceTime) / serviceTimeSmoothing
	r.caller.startTag += (elapsed - r.charged) / time.Duration(r.caller.weight)
	q.releaseSlot(id)
	return q.assignSlots(now, nil, random)
}

func (q *Queue) releaseSlot(id UnitID) {
	r := q.running[id]
	delete(q.running, id)
	r.caller.running--
	q.evictIdle(r.caller)
}

// DropOwner removes the running and queued units of an instance that has left
// or failed, and returns the decisions that follow on other units.
func (q *Queue) DropOwner(now time.Duration, owner model.InstanceID, random uint64) []Decision {
	for id, r := range q.running {
		if r.unit.Owner == owner {
			q.releaseSlot(id)
		}
	}
	for _, c := range slices.Clone(q.waiting) {
		for _, u := range c.units() {
			if u.Owner == owner {
				q.Cancel(u.ID)
			}
		}
	}
	return q.assignSlots(now, nil, random)
}

// serviceTimeSmoothing is the divisor of the moving average: a new service time
// has the weight 1/serviceTimeSmoothing.
const serviceTimeSmoothing = 32

// Cancel removes a queued unit whose client no longer waits.
func (q *Queue) Cancel(id UnitID) {
	for _, c := range slices.Clone(q.waiting) {
		if c.remove(id) {
			q.queued--
			q.removeIfNotWaiting(c)
			return
		}
	}
}

// Expire refuses the queued units whose deadline has passed, frees the slots of
// running units after Config.Grace, and assigns all free slots.
func (q *Queue) Expire(now time.Duration, random uint64) []Decision {
	var decisions []Decision
	for id, r := range q.running {
		if now >= r.unit.Deadline+q.config.Grace {
			q.releaseSlot(id)
		}
	}
	for _, c := range slices.Clone(q.waiting) {
		for _, u := range c.removeExpired(now) {
			q.queued--
			refusal := q.refuse(c, verdict.DeadlineExceeded, "the deadline passed in the queue", random)
			decisions = append(decisions, Decision{ID: u.ID, Refusal: refusal})
		}
		q.removeIfNotWaiting(c)
	}
	return q.assignSlots(now, decisions, random)
}

// NextDeadline returns the earliest deadline of a queued unit, and false if no
// unit is queued.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, c := range q.waiting {
		for _, u := range c.units() {
			if !found || u.Deadline < earliest {
				earliest, found = u.Deadline, true
			}
		}
	}
	return earliest, found
}

// assignSlots assigns the free slots to queued units, and appends the decisions
// to those given.
func (q *Queue) assignSlots(now time.Duration, decisions []Decision, random uint64) []Decision {
	for len(q.running) < q.config.Limit && q.queued > 0 {
		c := q.nextCaller()
		u := c.dequeue()
		q.queued--
		if q.isTooLateToRun(now, u) {
			refusal := q.refuse(c, verdict.DeadlineExceeded, "the deadline came too near in the queue", random)
			decisions = append(decisions, Decision{ID: u.ID, Refusal: refusal})
			q.removeIfNotWaiting(c)
			continue
		}
		q.startUnit(now, c, u)
		q.removeIfNotWaiting(c)
		decisions = append(decisions, Decision{ID: u.ID})
	}
	return decisions
}

// startUnit gives a slot to a unit and charges its caller the expected service
// time. Release corrects the charge by the actual service time.
func (q *Queue) startUnit(now time.Duration, c *caller, u Unit) {
	q.virtualTime = max(q.virtualTime, c.startTag)
	charge := q.serviceTime / time.Duration(c.weight)
	c.startTag += charge
	c.running++
	q.running[u.ID] = runningUnit{unit: u, caller: c, started: now, charged: q.serviceTime}
}
