// Package admission decides which unit of work gets the next slot of an
// upstream, and which is refused. It is deterministic: times and random
// numbers are given.
//
// Slots are shared by weight among the callers that have work, measured in the
// time that their units occupy slots. Within a caller the connections take
// turns, so that opening more of them gives a caller no larger share. A full
// queue refuses the newest unit of the caller that has most units waiting for
// its weight. A unit that cannot be served within its deadline is refused at
// once. Every refusal is not run, with a time to come back.
//
// A queue serves one instance with its share of an upstream's slots, or, on the
// instance that orders the work of an upstream, all instances; Owner then says
// whose a unit is.
package admission

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// UnitID identifies a unit of work in a queue.
type UnitID uint64

// ConnectionID identifies a connection of a caller.
type ConnectionID uint64

// Unit is a unit of work that wants a slot.
type Unit struct {
	ID         UnitID
	Caller     model.CallerName
	Connection ConnectionID
	// Owner is the instance that sends the unit to the upstream.
	Owner model.InstanceID
	// Weight is the caller's share relative to others; less than one counts
	// as one.
	Weight   int
	Arrived  time.Duration
	Deadline time.Duration
}

// Decision is the decision on a unit: to run now, or the refusal.
type Decision struct {
	ID      UnitID
	Refusal *verdict.Error
}

// Admitted reports whether the unit got a slot.
func (o Decision) Admitted() bool { return o.Refusal == nil }

// Config configures a queue.
type Config struct {
	// Limit is the number of units that may run at once.
	Limit int
	// MaxQueued bounds the units that wait.
	MaxQueued int
	// ServiceTime is the expected time in a slot, before any was seen.
	ServiceTime time.Duration
	// MinRetryAfter is the shortest advice on when to come back.
	MinRetryAfter time.Duration
	// Margin is the time, in multiples of the expected time in a slot, that
	// must be left before the deadline when a unit that waited gets a slot.
	Margin int
	// Grace is the time after its deadline at which a unit's slot is taken
	// back, because its release was lost.
	Grace time.Duration
	Rules Rules
}

// DefaultConfig returns the configuration in use for a limit of slots.
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

// Rules switches single rules off, for measurements. The zero value has all on.
type Rules struct {
	// NoFairness serves units in the order of their arrival, and refuses the
	// one that finds the queue full.
	NoFairness bool
	// NoNesting counts each connection as a caller of its own.
	NoNesting bool
	// NoPrediction lets units wait until their deadline.
	NoPrediction bool
}

// Queue hands out the slots of one upstream. It is owned by one goroutine.
type Queue struct {
	config  Config
	service time.Duration
	// virtual is the start tag of the unit that last got a slot.
	virtual time.Duration
	callers map[callerKey]*caller
	// waiting holds the callers with units in the queue, in the order in
	// which they became so.
	waiting []*caller
	queued  int
	running map[UnitID]run
}

type callerKey struct {
	name       model.CallerName
	connection ConnectionID
}

type run struct {
	unit    Unit
	caller  *caller
	started time.Duration
	charged time.Duration
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:  config,
		service: config.ServiceTime,
		callers: make(map[callerKey]*caller),
		running: make(map[UnitID]run),
	}
}

// SetLimit changes the number of units that may run at once. Slots that are
// gained are handed out by the next call.
func (q *Queue) SetLimit(limit int) { q.config.Limit = limit }

// Limit returns the number of units that may run at once.
func (q *Queue) Limit() int { return q.config.Limit }

// Queued and Running return the number of units that wait and run.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of units that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Callers returns the number of callers that the queue remembers.
func (q *Queue) Callers() int { return len(q.callers) }

// ServiceTime returns the expected time in a slot.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// Submit takes a new unit. The outcomes may be of other units too.
func (q *Queue) Submit(now time.Duration, u Unit, random uint64) []Decision {
	c := q.caller(u)
	var outcomes []Decision
	if q.predictsLate(now, c, u) {
		refusal := q.refuse(c, verdict.Overloaded, "the wait would exceed the deadline", random)
		q.forget(c)
		return append(outcomes, Decision{ID: u.ID, Refusal: refusal})
	}
	q.enqueue(c, u)
	if q.queued > q.config.MaxQueued && len(q.running) >= q.config.Limit {
		outcomes = append(outcomes, q.shed(u, random))
	}
	return q.dispatch(now, outcomes, random)
}

// Release gives back the slot of a unit that was answered.
func (q *Queue) Release(now time.Duration, id UnitID, random uint64) []Decision {
	r, found := q.running[id]
	if !found {
		return nil
	}
	used := now - r.started
	q.service += (used - q.service) / serviceSmoothing
	r.caller.tag += (used - r.charged) / time.Duration(r.caller.weight)
	q.free(id)
	return q.dispatch(now, nil, random)
}

func (q *Queue) free(id UnitID) {
	r := q.running[id]
	delete(q.running, id)
	r.caller.running--
	q.forget(r.caller)
}

// DropOwner removes the units of an instance that is gone.
func (q *Queue) DropOwner(now time.Duration, owner model.InstanceID, random uint64) []Decision {
	for id, r := range q.running {
		if r.unit.Owner == owner {
			q.free(id)
		}
	}
	for _, c := range slices.Clone(q.waiting) {
		for _, u := range c.units() {
			if u.Owner == owner {
				q.Cancel(u.ID)
			}
		}
	}
	return q.dispatch(now, nil, random)
}

// serviceSmoothing is the weight of past units in the expected time in a slot.
const serviceSmoothing = 32

// Cancel removes a waiting unit whose caller has gone.
func (q *Queue) Cancel(id UnitID) {
	for _, c := range slices.Clone(q.waiting) {
		if c.remove(id) {
			q.queued--
			q.settle(c)
			return
		}
	}
}

// Expire refuses the waiting units whose deadline has passed, and hands out
// slots that were gained by a raised limit or taken back after Grace.
func (q *Queue) Expire(now time.Duration, random uint64) []Decision {
	var outcomes []Decision
	for id, r := range q.running {
		if now >= r.unit.Deadline+q.config.Grace {
			q.free(id)
		}
	}
	for _, c := range slices.Clone(q.waiting) {
		for _, u := range c.takeExpired(now) {
			q.queued--
			refusal := q.refuse(c, verdict.DeadlineExceeded, "the deadline passed in the queue", random)
			outcomes = append(outcomes, Decision{ID: u.ID, Refusal: refusal})
		}
		q.settle(c)
	}
	return q.dispatch(now, outcomes, random)
}

// NextDeadline returns the earliest deadline of a waiting unit.
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

// dispatch hands out free slots.
func (q *Queue) dispatch(now time.Duration, outcomes []Decision, random uint64) []Decision {
	for len(q.running) < q.config.Limit && q.queued > 0 {
		c := q.next()
		u := c.take()
		q.queued--
		if q.isLate(now, u) {
			refusal := q.refuse(c, verdict.DeadlineExceeded, "the deadline came too near in the queue", random)
			outcomes = append(outcomes, Decision{ID: u.ID, Refusal: refusal})
			q.settle(c)
			continue
		}
		q.start(now, c, u)
		q.settle(c)
		outcomes = append(outcomes, Decision{ID: u.ID})
	}
	return outcomes
}

func (q *Queue) start(now time.Duration, c *caller, u Unit) {
	q.virtual = max(q.virtual, c.tag)
	charge := q.service / time.Duration(c.weight)
	c.tag += charge
	c.running++
	q.running[u.ID] = run{unit: u, caller: c, started: now, charged: q.service}
}
