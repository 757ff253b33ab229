package instance

import (
	"time"

	"gypsumdock/pkg/coordination/region"
)

// connected reports whether an instance can serve callers: a member holds a permit or
// has learned lately that it knows the newest head row, and an observer has got an
// answer of a member lately. It answers the load of a cut between instances: those
// on the side without the store refuse all that needs a primary once their permits
// have run out, and their callers are better off elsewhere.
func connected(snapshot *region.Snapshot, now time.Duration) bool {
	view := &snapshot.View
	if view.Observer {
		return now-snapshot.MembersAnsweredAt <= membersAnswerAge
	}
	for _, group := range view.Groups {
		if now < group.PermitUntil {
			return true
		}
	}
	return view.HeadConfirmedAt > 0 && now < view.HeadConfirmedAt+permitLifetime
}

// awayTracker decides when callers are moved to other instances because of a
// condition that has lasted. The time before an instance is ready does not count:
// one that has just started serves before its first check has held.
type awayTracker struct {
	// heldAt is when the condition for serving held last.
	heldAt time.Duration
}

// update takes in a check at now and reports whether the instance is away. serves is
// the condition, and ready is set once the instance has been ready.
func (t *awayTracker) update(now time.Duration, ready, serves bool) bool {
	if serves || !ready {
		t.heldAt = now
	}
	return now-t.heldAt > cutOffAfter
}
