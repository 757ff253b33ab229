package admission

import (
	"slices"
	"time"

	"gypsumdock/pkg/verdict"
)

// caller returns the state of the unit's caller.
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
		c.tag = max(c.tag, q.virtual)
		q.waiting = append(q.waiting, c)
	}
	c.add(u)
	q.queued++
}

// settle takes a caller without waiting units out of the order.
func (q *Queue) settle(c *caller) {
	if c.queued > 0 {
		return
	}
	if at := slices.Index(q.waiting, c); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	q.forget(c)
}

// forget drops an idle caller whose past use gives it no disadvantage any
// more, and others like it, so that the memory is bounded by the callers that
// were active lately.
func (q *Queue) forget(c *caller) {
	if q.isIdle(c) {
		delete(q.callers, c.key)
	}
	if len(q.callers) <= 2*(len(q.waiting)+len(q.running))+idleCallers {
		return
	}
	for key, other := range q.callers {
		if other.queued == 0 && other.running == 0 {
			delete(q.callers, key)
		}
	}
}

// idleCallers is the number of idle callers that are kept in any case.
const idleCallers = 64

func (q *Queue) isIdle(c *caller) bool {
	return c.queued == 0 && c.running == 0 && c.tag <= q.virtual
}

// next returns the waiting caller with the least virtual time.
func (q *Queue) next() *caller {
	best := q.waiting[0]
	for _, c := range q.waiting[1:] {
		if c.tag < best.tag {
			best = c
		}
	}
	return best
}

// shed refuses the newest unit of the caller with most waiting units for its
// weight.
func (q *Queue) shed(arrived Unit, random uint64) Decision {
	heaviest := q.waiting[0]
	for _, c := range q.waiting[1:] {
		if c.queued*heaviest.weight >= heaviest.queued*c.weight {
			heaviest = c
		}
	}
	victim := arrived
	if q.config.Rules.NoFairness {
		heaviest.remove(victim.ID)
	} else {
		victim = heaviest.takeNewest()
	}
	q.queued--
	q.settle(heaviest)
	return Decision{ID: victim.ID, Refusal: q.refuse(heaviest, verdict.Overloaded, "the queue is full", random)}
}

// wait returns the expected wait of a caller's next unit: the time in which
// its share of the slots serves the units that it has waiting.
func (q *Queue) wait(c *caller) time.Duration {
	weights := c.weight
	for _, other := range q.waiting {
		if other != c {
			weights += other.weight
		}
	}
	ahead := time.Duration(c.queued) * q.service
	return ahead * time.Duration(weights) / time.Duration(c.weight*max(q.config.Limit, 1))
}

// predictsLate reports whether the unit would miss its deadline. While a slot
// is free it is never late, so that an expectation that is out of date is
// corrected by units that run.
func (q *Queue) predictsLate(now time.Duration, c *caller, u Unit) bool {
	if q.config.Rules.NoPrediction || len(q.running) < q.config.Limit {
		return false
	}
	return now+q.wait(c)+q.margin() > u.Deadline
}

func (q *Queue) margin() time.Duration {
	return time.Duration(max(q.config.Margin, 1)) * q.service
}

// isLate reports whether a unit that waited gives up its slot: its deadline
// has passed or, where another unit waits, is nearer than the margin.
func (q *Queue) isLate(now time.Duration, u Unit) bool {
	if now >= u.Deadline {
		return true
	}
	gives := now > u.Arrived && q.queued > 0 && !q.config.Rules.NoPrediction
	return gives && now+q.margin() > u.Deadline
}

// refuse returns a refusal whose advice grows with the caller's own backlog
// and is spread over as much again.
func (q *Queue) refuse(c *caller, code verdict.Code, reason string, random uint64) *verdict.Error {
	advice := max(q.wait(c), q.config.MinRetryAfter, 1)
	advice += time.Duration(random % uint64(advice))
	return verdict.New(code, verdict.NotRun, reason).WithRetryAfter(advice)
}
