package instance

import (
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/control"
)

// permitGrace is how long after its start an instance waits for its first
// permits before it serves reads without them.
const permitGrace = 5 * time.Second

// readyLatch is set once the instance could first serve callers.
type readyLatch struct{ reached atomic.Bool }

// isReady reports whether the instance serves callers: a configuration is in
// force, the state of its groups is known, and it has held the write permits
// once, or has waited long enough for them. Permits that lapse later do not
// make it unready, since reads go on.
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
	if !holdsPermits(snapshot, i.clock.Now()) && i.clock.Now() < permitGrace {
		return false
	}
	i.ready.reached.Store(true)
	return true
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
