// Package admission decides which unit of work gets the next slot of an
// upstream, and which is refused. A unit of work is a statement or a whole
// transaction. A slot is the capacity of an upstream to run one unit. The
// package is deterministic: times and random numbers are arguments.
//
// The rules are:
//   - Callers with queued units share the slots by weight, measured in the time
//     that their units occupy slots (start-time fair queueing, pkg/state/fairqueue).
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
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/fairqueue"
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

// callerQueue holds the queued units by caller and connection.
type callerQueue = fairqueue.Queue[callerKey, ConnectionID, Unit]

// caller is the state of a caller in a queue.
type caller = fairqueue.Flow[callerKey, ConnectionID, Unit]

// queuedUnit is a unit in a callerQueue.
type queuedUnit = fairqueue.Item[callerKey, ConnectionID, Unit]

// lane is the only lane of a callerQueue.
const lane = 0

// Queue assigns the slots of one upstream. It is owned by one goroutine.
type Queue struct {
	config Config
	// serviceTime is the moving average of the service times.
	serviceTime time.Duration
	callers     *callerQueue
	queued      map[UnitID]*queuedUnit
	running     map[UnitID]runningUnit
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
	started time.Duration
	// charge is the service time that the caller was charged when the unit
	// started.
	charge fairqueue.Charge[callerKey, ConnectionID, Unit]
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:      config,
		serviceTime: config.ServiceTime,
		callers:     fairqueue.New[callerKey, ConnectionID, Unit](1, func(Unit, Unit) int { return 0 }),
		queued:      make(map[UnitID]*queuedUnit),
		running:     make(map[UnitID]runningUnit),
	}
}

// SetLimit changes the number of units that may run at once. Slots gained by a
// higher limit are assigned by the next call that returns decisions.
func (q *Queue) SetLimit(limit int) { q.config.Limit = limit }

// Limit returns the number of units that may run at once.
func (q *Queue) Limit() int { return q.config.Limit }

// Queued returns the number of queued units.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of units that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Callers returns the number of callers whose state the queue keeps.
func (q *Queue) Callers() int { return q.callers.Flows() }

// ServiceTime returns the expected service time of a unit.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Submit adds a unit, or refuses it. It returns the decisions that follow, which
// may be on other units too; a unit without a decision is queued.
func (q *Queue) Submit(now time.Duration, u Unit, random uint64) []Decision {
	c := q.caller(u)
	var decisions []Decision
	if q.predictsLate(now, c, u) {
		refusal := q.refuse(c, verdict.Overloaded, "the wait would exceed the deadline", random)
		q.callers.Evict(c)
		return append(decisions, Decision{ID: u.ID, Refusal: refusal})
	}
	q.enqueue(c, u)
	if len(q.queued) > q.config.MaxQueued && len(q.running) >= q.config.Limit {
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
	delete(q.running, id)
	q.callers.End(r.charge, elapsed)
	return q.assignSlots(now, nil, random)
}

// dropRunning frees the slot of a unit whose service time is not known.
func (q *Queue) dropRunning(id UnitID) {
	r := q.running[id]
	delete(q.running, id)
	q.callers.Drop(r.charge)
}

// DropOwner removes the running and queued units of an instance that has left
// or failed, and returns the decisions that follow on other units.
func (q *Queue) DropOwner(now time.Duration, owner model.InstanceID, random uint64) []Decision {
	for id, r := range q.running {
		if r.unit.Owner == owner {
			q.dropRunning(id)
		}
	}
	for id, item := range q.queued {
		if item.Value.Owner == owner {
			q.Cancel(id)
		}
	}
	return q.assignSlots(now, nil, random)
}

// serviceTimeSmoothing is the divisor of the moving average: a new service time
// has the weight 1/serviceTimeSmoothing.
const serviceTimeSmoothing = 32

// Cancel removes a queued unit whose client no longer waits.
func (q *Queue) Cancel(id UnitID) {
	if item := q.queued[id]; item != nil {
		delete(q.queued, id)
		q.callers.Remove(item)
	}
}

// Expire refuses the queued units whose deadline has passed, frees the slots of
// running units after Config.Grace, and assigns all free slots.
func (q *Queue) Expire(now time.Duration, random uint64) []Decision {
	var decisions []Decision
	for id, r := range q.running {
		if now >= r.unit.Deadline+q.config.Grace {
			q.dropRunning(id)
		}
	}
	for _, item := range q.expired(now) {
		q.Cancel(item.Value.ID)
		refusal := q.refuse(item.Flow(), verdict.DeadlineExceeded, "the deadline passed in the queue", random)
		decisions = append(decisions, Decision{ID: item.Value.ID, Refusal: refusal})
	}
	return q.assignSlots(now, decisions, random)
}

// expired returns the queued units whose deadline has passed, the oldest first.
func (q *Queue) expired(now time.Duration) []*queuedUnit {
	var expired []*queuedUnit
	for _, item := range q.queued {
		if now >= item.Value.Deadline {
			expired = append(expired, item)
		}
	}
	slices.SortFunc(expired, func(a, b *queuedUnit) int { return cmp.Compare(a.Sequence(), b.Sequence()) })
	return expired
}

// NextDeadline returns the earliest deadline of a queued unit, and false if no
// unit is queued.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, item := range q.queued {
		if !found || item.Value.Deadline < earliest {
			earliest, found = item.Value.Deadline, true
		}
	}
	return earliest, found
}

// assignSlots assigns the free slots to queued units, and appends the decisions
// to those given.
func (q *Queue) assignSlots(now time.Duration, decisions []Decision, random uint64) []Decision {
	for len(q.running) < q.config.Limit && len(q.queued) > 0 {
		item := q.callers.Next(lane)
		q.callers.Take(item)
		delete(q.queued, item.Value.ID)
		if q.isTooLateToRun(now, item.Value) {
			refusal := q.refuse(item.Flow(), verdict.DeadlineExceeded, "the deadline came too near in the queue", random)
			decisions = append(decisions, Decision{ID: item.Value.ID, Refusal: refusal})
			q.callers.Evict(item.Flow())
			continue
		}
		q.startUnit(now, item.Flow(), item.Value)
		decisions = append(decisions, Decision{ID: item.Value.ID})
	}
	return decisions
}

// startUnit gives a slot to a unit and charges its caller the expected service
// time. Release corrects the charge by the actual service time.
func (q *Queue) startUnit(now time.Duration, c *caller, u Unit) {
	q.running[u.ID] = runningUnit{unit: u, started: now, charge: q.callers.Start(c, q.serviceTime)}
}
