package quota

import (
	"math"
	"time"

	"gypsumdock/pkg/state/model"
)

// caller is the state of a caller with a limit.
type caller struct {
	name  model.CallerName
	rate  float64
	burst float64

	// tokens is the number of operations that all members together may run at once,
	// by the knowledge of this member as of filledAt. It is negative while use that
	// was reported late is paid back.
	tokens   float64
	filledAt time.Duration
	// known is tokens without the charge for silent members. It replaces tokens once
	// all of them have reported their use.
	known float64
	// forgiven is the debt that was dropped in the last limitSpread before
	// forgivenAt. It counts when the limit is raised here later than elsewhere.
	forgiven   float64
	forgivenAt time.Duration
	// credit is the number of operations that were charged for silent members.
	credit float64
	// alone is the number of operations that this member may run without a group,
	// as of aloneAt.
	alone   float64
	aloneAt time.Duration
	// aloneFor is the group.number for which alone was set.
	aloneFor uint64

	// used counts the operations of this member. asked counts those and the
	// refused ones since the last tick.
	used    uint64
	refused uint64
	// createdAt is when the caller got a limit.
	createdAt time.Duration
	asked     float64
	demand    float64
	// acked is the value that all members of the group know, and sent holds the
	// later ones that were reported.
	acked value
	sent  [maxSent]value
	count int
	// weight is the least demand that any member of the group may know.
	weight float64
	// peerDemand is the sum over the peers of the group; negative if it has to be
	// added up again.
	peerDemand float64
	// changedAt is the time of the report that first had the last value of sent.
	changedAt uint64
	lastUse   time.Duration
	reported  time.Duration
	// retryAt is the latest time at which a refused operation was told to retry.
	retryAt time.Duration
}

// value is what a report says of a caller.
type value struct {
	sent   uint64
	used   uint64
	demand float64
}

// maxSent bounds the values that are reported and not confirmed. With a report
// every 100 ms they cover leaseTime.
const maxSent = 8

func (m *Machine) newCaller(limit Limit) *caller {
	used := m.retired[limit.Caller]
	c := &caller{
		createdAt: m.now, used: used, acked: value{used: used}, name: limit.Caller, rate: limit.Rate, burst: max(limit.Burst, 0), filledAt: m.now, aloneAt: m.now, aloneFor: m.group.number,
		peerDemand: -1,
	}
	if m.config.Rules.FullStart {
		c.tokens = c.capacity(m)
		c.known = c.tokens
	}
	return c
}

// setLimit changes the limit. The tokens change by as much as the capacity, so
// that a limit which is lowered and raised again adds none.
func (c *caller) setLimit(m *Machine, limit Limit) {
	before := c.capacity(m)
	c.rate, c.burst = limit.Rate, max(limit.Burst, 0)
	c.tokens += c.capacity(m) - before
	c.known += c.capacity(m) - before
	if m.now-c.forgivenAt < limitSpread {
		c.tokens -= c.forgiven
		c.known -= c.forgiven
	}
	c.forgiven = 0
	c.alone = min(c.alone, c.aloneCapacity(m))
	c.bound(m)
}

// capacity returns the most tokens that the members in touch can have.
func (c *caller) capacity(m *Machine) float64 {
	return max(1, c.fullCapacity(m)*(m.size()-m.group.silent)/m.size())
}

// fullCapacity returns the most tokens of the region.
func (c *caller) fullCapacity(m *Machine) float64 {
	return max(1, c.burst) + burstPart*m.config.Tolerance.operations(c.rate, c.burst)
}

// aloneCapacity returns the most tokens of a member without a group.
func (c *caller) aloneCapacity(m *Machine) float64 { return max(1, c.burst/m.size()) }

// bound keeps the tokens within the capacity. A debt that the rate pays back
// only after a window has no further effect on the limit.
func (c *caller) bound(m *Machine) {
	lowest := -c.rate * m.config.Tolerance.Window.Seconds()
	if m.config.Rules.NoDebt {
		lowest = 0
	}
	if c.tokens < lowest {
		if m.now-c.forgivenAt >= limitSpread {
			c.forgiven = 0
		}
		c.forgiven += lowest - c.tokens
		c.forgivenAt = m.now
		c.tokens = lowest
	}
	c.tokens = min(c.tokens, c.capacity(m))
	c.known = min(max(c.known, lowest), c.fullCapacity(m))
}

// fill brings the bucket up to date. What silent members may spend is taken
// from the rate.
func (m *Machine) fill(c *caller, now time.Duration) {
	passed := (now - c.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	c.filledAt = now
	silent := c.rate * passed * m.group.silent / m.size()
	if m.config.Rules.NoSilenceCharge {
		silent = 0
	}
	c.credit += silent
	c.tokens = min(c.tokens+c.rate*passed-silent, c.capacity(m))
	c.known = min(c.known+c.rate*passed, c.fullCapacity(m))
}

// carry gives a member that loses its group what was left of its share there. A
// debt is paid back in equal parts.
func (m *Machine) carry(c *caller, left time.Duration) {
	if c.aloneFor == m.group.number+1 {
		return
	}
	m.fill(c, left)
	c.alone = min(c.spendable(m), c.aloneCapacity(m))
	if c.tokens < 0 {
		c.alone = c.tokens / m.size()
	}
	if m.config.Rules.NoCarry {
		c.alone = c.aloneCapacity(m)
	}
	c.aloneAt = max(left, c.aloneAt)
	c.aloneFor = m.group.number + 1
}

// fillAlone brings the bucket of a member without a group up to date.
func (m *Machine) fillAlone(c *caller) {
	if m.group.until != 0 {
		// The group has run out, and leaveGroup was not called yet.
		m.carry(c, m.group.until)
	}
	passed := (m.now - c.aloneAt).Seconds()
	if passed > 0 {
		c.alone = min(c.alone+passed*c.rate/m.size(), c.aloneCapacity(m))
		c.aloneAt = m.now
	}
}

// share returns the part of the region's tokens that this member may spend. The
// shares of a group add up to at most one, as each member takes for itself the
// least demand that another one may know, and for the others the newest that it
// knows.
func (m *Machine) share(c *caller) float64 {
	members := float64(len(m.group.linked) + 1)
	weight := c.weight
	if m.config.Rules.NoWeightBound {
		weight = c.demand
	}
	if c.peerDemand < 0 {
		c.peerDemand = 0
		for _, p := range m.group.linked {
			if use := p.use[c.name]; use != nil {
				c.peerDemand += use.demand
			}
		}
	}
	total := weight + c.peerDemand
	if total <= 0 {
		return 1 / members
	}
	return equalPart/members + (1-equalPart)*weight/total
}

// unacked returns the operations that not all members of the group know of.
func (c *caller) unacked() float64 { return float64(c.used - min(c.used, c.acked.used)) }

// spendable returns how many operations this member may run in its group.
func (c *caller) spendable(m *Machine) float64 {
	unacked := c.unacked()
	if m.config.Rules.NoUnackedBound {
		return c.tokens
	}
	return max(0, min(c.tokens, m.share(c)*(c.tokens+unacked)+c.extra(m)-unacked))
}

// extra returns the number of operations by which each member may exceed its
// share. The tolerance covers all members doing so at once.
func (c *caller) extra(m *Machine) float64 {
	return singlePart * m.config.Tolerance.operations(c.rate, c.burst) / max(1, m.size()-1)
}

// Admit decides on one operation of a caller. If it may not run, retryAfter is
// the time from now after which the caller may retry.
func (m *Machine) Admit(now time.Duration, name model.CallerName) (admitted bool, retryAfter time.Duration) {
	c := m.callers[name]
	if c == nil {
		return true, 0
	}
	m.advance(now)
	c.asked++
	c.lastUse = m.now
	m.activeUntil = m.now + activeFor
	c.confirm(m.group.acked)
	if m.inGroup() {
		m.fill(c, m.now)
		if c.spendable(m) < 1 {
			return false, m.retryAfter(c, c.tokens, m.share(c))
		}
	} else {
		m.fillAlone(c)
		m.fill(c, m.now)
		if c.alone < 1 || !m.maySpendWith(m.linkedPeers()) {
			return false, m.retryAfter(c, c.alone, 0)
		}
		c.alone--
	}
	c.used++
	c.tokens--
	c.known--
	c.bound(m)
	return true, 0
}

// retryAfter returns the time from now after which one more operation may be
// retried, at least a millisecond. Retries of a caller are spaced by its rate, so
// that refused operations are not all retried at once.
func (m *Machine) retryAfter(c *caller, tokens, share float64) time.Duration {
	c.refused++
	rate := c.rate * max(share, 1/m.size())
	wait := seconds(max(0, 1-tokens) / rate)
	at := max(m.now+wait, min(c.retryAt, m.now+maxRetryAfter)+seconds(1/rate))
	at = min(at, m.now+maxRetryAfter)
	c.retryAt = at
	return max(at-m.now, time.Millisecond)
}

func seconds(value float64) time.Duration {
	return time.Duration(min(value, math.MaxInt32) * float64(time.Second))
}

// Refund takes back an admitted operation that certainly did not run. One that
// was reported stays counted, so that what is reported never falls.
func (m *Machine) Refund(now time.Duration, name model.CallerName) {
	c := m.callers[name]
	if c == nil || c.used <= c.lastValue().used {
		return
	}
	m.advance(now)
	m.fill(c, m.now)
	c.used--
	c.tokens++
	c.known++
	c.bound(m)
	if !m.inGroup() && c.aloneFor == m.group.number {
		c.alone = min(c.alone+1, c.aloneCapacity(m))
	}
}
