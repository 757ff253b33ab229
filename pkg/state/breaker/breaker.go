// Package breaker decides when a server that refuses the units of a group is tried
// again. It answers the load of a cut: many callers wait at an instance whose
// servers have lost their permits, and would otherwise ask each of them again and
// again without news.
//
// The state of a Key is closed while units are sent, and open after a refusal. An open
// state lets a single unit through as a trial, at growing intervals; an answer closes
// it for all units.
//
// The package is deterministic: the time is an argument.
package breaker

import (
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// minTrialInterval is the time between a refusal and the first trial. It doubles
	// with each refused trial, up to maxTrialInterval.
	minTrialInterval = 50 * time.Millisecond
	maxTrialInterval = 200 * time.Millisecond
	// idleTimeout is the time without a trial after which a state is forgotten.
	idleTimeout = 10 * time.Second
)

// Class tells units of a group apart that a server may refuse separately: one without
// a permit still serves reads that its replicas can answer.
type Class uint8

// The values of Class.
const (
	// NeedsPrimary is the class of units that only the primary can run.
	NeedsPrimary Class = iota
	// ReadsOwnWrites is the class of reads that must show their session's writes.
	ReadsOwnWrites
	// ReadsStale is the class of reads that may be of a stated age.
	ReadsStale
)

// Key names a server of a group, and a class of units.
type Key struct {
	Server model.InstanceID
	Group  model.GroupID
	Class  Class
}

// Breaker holds the open states. It is not safe for concurrent use.
type Breaker struct {
	open map[Key]*state
}

// state is the open state of a Key.
type state struct {
	// trialAt is when the next trial may be sent.
	trialAt time.Duration
	// interval is the time between the last refusal and trialAt.
	interval time.Duration
	// trying is set while a trial is in progress.
	trying bool
}

// New returns a breaker whose states are all closed.
func New() *Breaker { return &Breaker{open: make(map[Key]*state)} }

// Allow reports whether a unit may be sent. If the state is open that is a trial,
// and no other unit is let through until its answer or the end of the interval.
func (b *Breaker) Allow(now time.Duration, key Key) bool {
	known := b.open[key]
	if known == nil {
		return true
	}
	if now < known.trialAt {
		return false
	}
	known.trying = true
	known.trialAt = now + known.interval
	return true
}

// Refused records that a server has refused a unit, or has not answered. It reports
// whether the state was closed.
func (b *Breaker) Refused(now time.Duration, key Key) (opened bool) {
	known := b.open[key]
	if known == nil {
		b.forgetIdle(now)
		b.open[key] = &state{trialAt: now + minTrialInterval, interval: minTrialInterval}
		return true
	}
	if known.trying {
		known.trying = false
		known.interval = min(2*known.interval, maxTrialInterval)
		known.trialAt = now + known.interval
	}
	return false
}

// Answered records that a server has taken a unit. It reports whether the state was
// open.
func (b *Breaker) Answered(key Key) (closed bool) {
	if b.open[key] == nil {
		return false
	}
	delete(b.open, key)
	return true
}

// Reset closes all states of the group, as other servers or permits are expected.
func (b *Breaker) Reset(group model.GroupID) {
	for key := range b.open {
		if key.Group == group {
			delete(b.open, key)
		}
	}
}

// NextTrial returns the earliest time at which one of the servers lets a unit of the
// group and class of key through. It returns false if there are no servers.
func (b *Breaker) NextTrial(now time.Duration, key Key, servers []model.InstanceID) (at time.Duration, found bool) {
	for _, server := range servers {
		key.Server = server
		trialAt := now
		if known := b.open[key]; known != nil {
			trialAt = known.trialAt
		}
		if !found || trialAt < at {
			at, found = trialAt, true
		}
	}
	return at, found
}

// forgetIdle drops the states of servers that no unit is sent to any more.
func (b *Breaker) forgetIdle(now time.Duration) {
	for key, known := range b.open {
		if now-known.trialAt > idleTimeout {
			delete(b.open, key)
		}
	}
}
