package instance

import (
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/control"
)

// Times after the first configuration for which an instance waits.
const (
	// permitGrace is for its first permits, before it serves reads without.
	permitGrace = 5 * time.Second
	// establishGrace is for becoming established, before it serves although it
	// could not yet replace a primary alone.
	establishGrace = 10 * time.Second
)

// readyLatch is set once the instance could first serve callers.
type readyLatch struct {
	reached atomic.Bool
	// configuredAt is when a configuration was first seen in force; zero
	// before.
	configuredAt atomic.Int64
}

// waited returns the time since the first call.
func (l *readyLatch) waited(now time.Duration) time.Duration {
	l.configuredAt.CompareAndSwap(0, int64(now))
	return now - time.Duration(l.configuredAt.Load())
}

// isReady reports whether the instance serves callers: a configuration is in
// force, the state of its groups is known, it has held the write permits once
// and is established as a member, or has waited long enough for either. So
// once the instances of a region are ready, any of them can finish a change of
// primary while another does not answer. Permits that lapse later do not make
// it unready, since reads go on.
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
	if !hasSettled(snapshot, now, i.ready.waited(now)) {
		return false
	}
	i.ready.reached.Store(true)
	return true
}

// hasSettled reports whether the instance has its part in the region, or has
// waited long enough for it.
func hasSettled(snapshot *control.Snapshot, now, waited time.Duration) bool {
	if !holdsPermits(snapshot, now) {
		return waited >= permitGrace
	}
	return snapshot.View.Established || waited >= establishGrace
}

// holdsPermits reports whether the instance holds the permit of every group.
func holdsPermits(snapshot *control.Snapshot, now time.Duration) bool {
	for _, group := range snapshot.View.Groups {
		if group.Sealed || now >= group.PermitUntil {
			return false
		}
	}
	return true
}
