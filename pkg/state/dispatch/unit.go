package dispatch

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

// Unit is a unit of work that asks for a connection.
type Unit struct {
	// Route names the kind of work, for its usual latency.
	Route string
	// NeedsPrimary is set for writes and for reads of the latest data.
	NeedsPrimary bool
	// Priority orders units; 0 comes first.
	Priority int
	// Arrived is when the request was read, and Deadline when it must have
	// been answered.
	Arrived  time.Duration
	Deadline time.Duration
	// Target is when the answer is wanted. A unit does not wait for room beyond
	// it: what is late for its caller would make others late.
	Target time.Duration
	// MaxAge is the age of writes that a read may miss.
	MaxAge time.Duration
	// Mark is the newest position of the session's own writes that a read must
	// see, and MarkAt when it was reached. It is zero if there is none.
	Mark   model.Position
	MarkAt time.Duration
	// FailedUpstreams names the upstreams at which earlier tries of the unit failed.
	FailedUpstreams []model.UpstreamID
	// LaggingReplicas names the replicas that lacked the position in earlier tries.
	LaggingReplicas []model.UpstreamID

	// order counts the units, to keep those of equal rank in order.
	order uint64
}

// Placement lets a unit run on an upstream. It holds one of the upstream's
// connections until Release.
type Placement struct {
	Upstream model.UpstreamID
	// Primary is set when the upstream leads Generation.
	Primary    bool
	Generation model.Generation
	// RequiredPosition is the position that a read must find applied; zero for none. A
	// read on the primary without it relies on the generation's permit.
	RequiredPosition model.Position
	// PlacedAt is when the unit was placed.
	PlacedAt time.Duration
	// active is false while the unit is a transaction that waits for its caller.
	active bool
}

// Refusal says that a unit cannot be served in time. It has not run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is when to come back; zero if that is not known.
	RetryAfter time.Duration
}

// RefusalReason is why a unit is refused.
type RefusalReason uint8

// The reasons of refusals.
const (
	// RefusedNoPrimary means that no upstream leads the group for now.
	RefusedNoPrimary RefusalReason = iota
	// RefusedNoUpstream means that no upstream can take the unit.
	RefusedNoUpstream
	// RefusedQueueTooLong means that the wait for a connection would exceed the
	// deadline.
	RefusedQueueTooLong
)

// String returns the reason as it stands in logs and metrics.
func (r RefusalReason) String() string {
	names := [...]string{"no primary", "no upstream", "queue too long"}
	return names[r]
}

// required returns the position that a read needs, and when the primary had
// reached it. found is false if no replica can be shown to be fresh enough.
func (u *Unit) required(tracker *freshness.Tracker, now time.Duration) (model.Position, time.Duration, bool) {
	position, at, found := tracker.Required(now, u.MaxAge)
	if !found {
		return model.Position{}, 0, false
	}
	if position.Before(u.Mark) {
		return u.Mark, u.MarkAt, true
	}
	return position, at, true
}

func (u *Unit) hasFailedAt(id model.UpstreamID) bool { return slices.Contains(u.FailedUpstreams, id) }

func (u *Unit) wasBehind(id model.UpstreamID) bool { return slices.Contains(u.LaggingReplicas, id) }
