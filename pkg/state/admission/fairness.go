package admission

import (
	"slices"
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
	c, found := q.callers[key]
	if !found {
		c = &caller{key: key}
		q.callers[key] = c
	}
	c.weight = max(u.Weight, 1)
	return c
}

func (q *Queue) enqueue(c *caller, u Unit) {
	if q.config.Rules.NoFairness {
		u.Connection = 0
	}
	if c.queued == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
		q.waiting = append(q.waiting, c)
	}
	c.enqueue(u)
	q.queued++
}

// removeIfNotWaiting removes the caller from the list of waiting callers if it
// has no queued units.
func (q *Queue) removeIfNotWaiting(c *caller) {
	if c.queued > 0 {
		return
	}
	if index := slices.Index(q.waiting, c); index >= 0 {
		q.waiting = slices.Delete(q.waiting, index, index+1)
	}
	q.evictIdle(c)
}

// evictIdle removes the state of the caller if it is idle and its past use no
// longer puts it behind others. If many callers are kept it also removes all
// others without units, so that the memory is bounded by the number of callers
// that were active recently.
func (q *Queue) evictIdle(c *caller) {
	if q.isIdle(c) {
		delete(q.callers, c.key)
	}
	if len(q.callers) <= 2*(len(q.waiting)+len(q.running))+maxIdleCallers {
		return
	}
	for key, other := range q.callers {
		if other.queued == 0 && other.running == 0 {
			delete(q.callers, key)
		}
	}
}

// maxIdleCallers is the number of idle callers that may be kept, in addition to
// two for each waiting caller and running unit.
const maxIdleCallers = 64

func (q *Queue) isIdle(c *caller) bool {
	return c.queued == 0 && c.running == 0 && c.startTag <= q.virtualTime
}

// nextCaller returns the waiting caller with the least start tag.
func (q *Queue) nextCaller() *caller {
	earliest := q.waiting[0]
	for _, c := range q.waiting[1:] {
		if c.startTag < earliest.startTag {
			earliest = c
		}
	}
	return earliest
}

// shedUnit refuses the newest unit of the caller that has the most queued units
// in proportion to its weight.
func (q *Queue) shedUnit(newest Unit, random uint64) Decision {
	heaviest := q.waiting[0]
	for _, c := range q.waiting[1:] {
		if c.queued*heaviest.weight >= heaviest.queued*c.weight {
			heaviest = c
		}
	}
	victim := newest
	if q.config.Rules.NoFairness {
		heaviest.remove(victim.ID)
	} else {
		victim = heaviest.removeNewest()
	}
	q.queued--
	q.removeIfNotWaiting(heaviest)
	return Decision{ID: victim.ID, Refusal: q.refuse(heaviest, verdict.Overloaded, "the queue is full", random)}
}

// expectedWait returns the expected wait of a caller's next unit: the time in
// which the caller's share of the slots serves its queued units.
func (q *Queue) expectedWait(c *caller) time.Duration {
	totalWeight := c.weight
	for _, other := range q.waiting {
		if other != c {
			totalWeight += other.weight
		}
	}
	queuedTime := time.Duration(c.queued) * q.serviceTime
	return queuedTime * time.Duration(totalWeight) / time.Duration(c.weight*max(q.config.Limit, 1))
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
	competes := now > u.Arrived && q.queued > 0 && !q.config.Rules.NoPrediction
	return competes && now+q.margin() > u.Deadline
}

// refuse returns a refusal. Its retry delay grows with the caller's own queue,
// and a random part of up to the same length spreads the retries.
func (q *Queue) refuse(c *caller, code verdict.Code, reason string, random uint64) *verdict.Error {
	retryAfter := max(q.expectedWait(c), q.config.MinRetryAfter, 1)
	retryAfter += time.Duration(random % uint64(retryAfter))
	return verdict.New(code, verdict.NotRun, reason).WithRetryAfter(retryAfter)
}
