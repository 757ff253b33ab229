// Package reuse decides which idle connection to an upstream is closed when a
// connection for another caller must be opened: the one with the least expected
// reuse. It is deterministic; times are arguments.
package reuse

import (
	"math"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// rateTime is the time constant of the decaying average of a caller's rate. It
	// spans several units of a caller that sends one every ten seconds.
	rateTime = 60 * time.Second
	// holdTime is the assumed time for which a unit of work holds a connection.
	// The product with the rate is the share of the time in which a caller needs
	// one more connection than before.
	holdTime = 50 * time.Millisecond
	// maxSharePerConnection bounds that product, so that each further idle
	// connection of a caller is expected to be used less.
	maxSharePerConnection = 0.5
	// rebaseAfter is the time after which the weights are scaled down again, as
	// they grow exponentially.
	rebaseAfter = 100 * rateTime
	// forgetBelow is the weight below which a caller is forgotten. A single use
	// falls below it after seven time constants.
	forgetBelow = 0.001
	// pruneMinimum is the number of callers below which none is forgotten.
	pruneMinimum = 128
)

// Use is the use of one upstream by one caller.
type Use struct {
	// weight is the sum over all uses of exp(t/rateTime), with t the time of the
	// use since Tracker.base. A common base allows callers to be compared without
	// the decay of each.
	weight float64
	// taken is, during a call of Least, the share of the time in which the idle
	// connections of the caller that were seen so far are all in use; 1 at other
	// times.
	taken float64
	// connections counts the caller's connections.
	connections int
}

// Retain counts a connection of the caller, which is not forgotten while it has
// one.
func (u *Use) Retain() { u.connections++ }

// Release reverts Retain.
func (u *Use) Release() { u.connections-- }

// Tracker holds the rates at which callers use one upstream. Its methods must not
// be called concurrently.
type Tracker struct {
	callers map[model.CallerName]*Use
	base    time.Duration
	// pruneAt is the number of callers above which rare ones are forgotten.
	pruneAt int
}

// NewTracker returns a tracker without callers.
func NewTracker() *Tracker {
	return &Tracker{callers: make(map[model.CallerName]*Use), pruneAt: pruneMinimum}
}

// Caller returns the use of a caller.
func (t *Tracker) Caller(now time.Duration, name model.CallerName) *Use {
	use := t.callers[name]
	if use == nil {
		t.prune(now)
		use = &Use{taken: 1}
		t.callers[name] = use
	}
	return use
}

// Record records that the caller takes a connection.
func (t *Tracker) Record(now time.Duration, name model.CallerName) {
	use := t.Caller(now, name)
	if now-t.base > rebaseAfter {
		t.rebase(now)
	}
	use.weight += math.Exp(inTimeConstants(now - t.base))
}

// Rate returns the units of work a second of the caller.
func (t *Tracker) Rate(now time.Duration, use *Use) float64 {
	return use.weight * t.scale(now)
}

// Callers returns the number of callers that are known.
func (t *Tracker) Callers() int { return len(t.callers) }

// Least returns the index of the connection with the least expected reuse; -1 if
// there is none. idle holds the caller of each connection, ordered by the time of
// last use, the latest last. A caller's connections are taken in this order, the
// latest first, so that one is taken only while the newer ones are in use. Of
// connections with equal expectation the one that was unused for longest is
// returned.
func (t *Tracker) Least(now time.Duration, idle []*Use) int {
	scale := t.scale(now)
	least, leastRate := -1, 0.0
	for i := len(idle) - 1; i >= 0; i-- {
		use := idle[i]
		rate := use.weight * scale
		expected := rate * use.taken
		use.taken *= min(rate*holdTime.Seconds(), maxSharePerConnection)
		if least < 0 || expected <= leastRate {
			least, leastRate = i, expected
		}
	}
	for _, use := range idle {
		use.taken = 1
	}
	return least
}

// scale returns the factor from a weight to a rate by the second.
func (t *Tracker) scale(now time.Duration) float64 {
	return math.Exp(-inTimeConstants(now-t.base)) / rateTime.Seconds()
}

func inTimeConstants(span time.Duration) float64 { return float64(span) / float64(rateTime) }

// rebase expresses the weights relative to now.
func (t *Tracker) rebase(now time.Duration) {
	factor := math.Exp(-inTimeConstants(now - t.base))
	for _, use := range t.callers {
		use.weight *= factor
	}
	t.base = now
}

// prune forgets the callers that have become rare and have no connection, if
// there are many callers. It costs a pass over all of them, so the next one
// comes only after their number has doubled.
func (t *Tracker) prune(now time.Duration) {
	if len(t.callers) < t.pruneAt {
		return
	}
	t.rebase(now)
	for name, use := range t.callers {
		if use.connections == 0 && use.weight < forgetBelow {
			delete(t.callers, name)
		}
	}
	t.pruneAt = max(pruneMinimum, 2*len(t.callers))
}
