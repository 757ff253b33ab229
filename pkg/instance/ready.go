package instance

import (
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/control"
)

// How long an instance waits, from its first configuration on, before it
// serves callers without permits or without being established.
const (
	// permitGrace is the wait for its first permits, after which it serves reads
	// only.
	permitGrace = 5 * time.Second
	// establishGrace is the wait to become established, after which it serves
	// although it could not yet replace a primary alone.
	establishGrace = 10 * time.Second
)

// readyLatch records that the instance has become ready once.
type readyLatch struct {
	reached atomic.Bool
	// configuredAt is the clock's time in nanoseconds at which a configuration
	// was first seen active; zero before.
	configuredAt atomic.Int64
}

// waited returns the time since its first call.
func (l *readyLatch) waited(now time.Duration) time.Duration {
	l.configuredAt.CompareAndSwap(0, int64(now))
	return now - time.Duration(l.configuredAt.Load())
}

// isReady reports whether the instance serves callers: a configuration is
// active, the state of its groups is known, and it has held all write permits
// and become established as a member, or has waited long enough for either.
// Thus, once the instances of a region are ready, any of them can complete a
// change of primary while another does not answer. Permits that expire later do
// not make it unready, since reads continue.
func (i *Instance) isReady() bool {
	if i.stopping.isSet() {
		return false
	}
	if i.ready.reached.Load() {
		return true
	}
	snapshot := i.loop.Snapshot()
	if snapshot.Ref.Revision == 0 || len(snapshot.View.Groups) < len(snapshot.Bundle.Groups) {
		return false
	}
	now := i.clock.Now()
	if !hasJoined(snapshot, now, i.ready.waited(now)) {
		return false
	}
	i.ready.reached.Store(true)
	return true
}

// hasJoined reports whether the instance holds its permits and is established
// as a member, or has waited long enough for either.
func hasJoined(snapshot *control.Snapshot, now, waited time.Duration) bool {
	if !holdsPermits(snapshot, now) {
		return waited >= permitGrace
	}
	return snapshot.View.Established || waited >= establishGrace
}

// holdsPermits reports whether the instance holds the write permit of every
// group.
func holdsPermits(snapshot *control.Snapshot, now time.Duration) bool {
	for _, group := range snapshot.View.Groups {
		if group.Sealed || now >= group.PermitUntil {
			return false
		}
	}
	return true
}
