package admission

import (
	"time"

	"gypsumdock/pkg/verdict"
)

// caller returns the state of the unit's caller, which it creates if necessary.
func (q *Queue) caller(u Unit) *caller {
	key := callerKey{name: u.Caller}
	if q.config.Rules.NoNesting {
		key.connection = u.Connection
	}
	if q.config.Rules.NoFairness {
		key = callerKey{}
	}
	return q.callers.Flow(key, u.Weight)
}

func (q *Queue) enqueue(c *caller, u Unit) {
	connection := u.Connection
	if q.config.Rules.NoFairness {
		connection = 0
	}
	q.queued[u.ID] = q.callers.Push(c, connection, lane, u)
}

// shedUnit refuses the newest unit of the caller that has the most queued units
// in proportion to its weight.
func (q *Queue) shedUnit(newest Unit, random uint64) Decision {
	heaviest := q.callers.Heaviest()
	victim := newest.ID
	if !q.config.Rules.NoFairness {
		victim = heaviest.Newest().Value.ID
	}
	q.Cancel(victim)
	return Decision{ID: victim, Refusal: q.refuse(heaviest, verdict.Overloaded, "the queue is full", random)}
}

// expectedWait returns the expected wait of a caller's next unit: the time in
// which the caller's share of the slots serves its queued units.
func (q *Queue) expectedWait(c *caller) time.Duration {
	totalWeight := q.callers.WaitingWeight()
	if c.Queued() == 0 {
		totalWeight += c.Weight()
	}
	queuedTime := time.Duration(c.Queued()) * q.serviceTime
	return queuedTime * time.Duration(totalWeight) / time.Duration(c.Weight()*max(q.config.Limit, 1))
}

// predictsLate reports whether a new unit is expected to miss its deadline. The
// prediction is not used while a slot is free: units must run to correct an
// outdated service time.
func (q *Queue) predictsLate(now time.Duration, c *caller, u Unit) bool {
	if q.config.Rules.NoPrediction || len(q.running) < q.config.Limit {
		return false
	}
	return now+q.expectedWait(c)+q.margin() > u.Deadline
}

// margin returns the time that a queued unit must have left before its deadline
// when it gets a slot.
func (q *Queue) margin() time.Duration {
	return time.Duration(max(q.config.Margin, 1)) * q.serviceTime
}

// isTooLateToRun reports whether a unit is refused instead of started, because
// its deadline has passed. A unit that was queued is also refused if its deadline
// is nearer than the margin and another unit can use the slot.
func (q *Queue) isTooLateToRun(now time.Duration, u Unit) bool {
	if now >= u.Deadline {
		return true
	}
	competes := now > u.Arrived && len(q.queued) > 0 && !q.config.Rules.NoPrediction
	return competes && now+q.margin() > u.Deadline
}

// refuse returns a refusal. Its retry delay grows with the caller's own queue,
// and a random part of up to the same length spreads the retries.
func (q *Queue) refuse(c *caller, code verdict.Code, reason string, random uint64) *verdict.Error {
	retryAfter := max(q.expectedWait(c), q.config.MinRetryAfter, 1)
	retryAfter += time.Duration(random % uint64(retryAfter))
	return verdict.New(code, verdict.NotRun, reason).WithRetryAfter(retryAfter)
}
