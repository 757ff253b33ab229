package dispatch

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

// Unit is a unit of work that requests a connection. All times are on the clock
// that is passed to the methods of Group.
type Unit struct {
	// Route is the name of the unit's route. Latencies are averaged by route.
	Route string
	// Caller is the client account of the unit; empty if there is none.
	Caller model.CallerName
	// Session identifies the session of the unit among those of its caller.
	Session uint64
	// Weight is the share of the caller relative to others; values below one
	// count as one.
	Weight int
	// NeedsPrimary is set for writes and for reads of the latest data.
	NeedsPrimary bool
	// Priority orders the queue; 0 comes first.
	Priority int
	// Arrived is when the request was read from the client. Deadline is when it
	// must have been answered.
	Arrived  time.Duration
	Deadline time.Duration
	// Target is when the caller wants the answer; zero if it is not set. A unit
	// that can no longer meet it runs only when no unit that can still be on time
	// needs the slot.
	Target time.Duration
	// MaxAge is the staleness that a read accepts: it may miss writes that are
	// more recent than that.
	MaxAge time.Duration
	// Mark is the log position of the session's latest write that a read must
	// see, and MarkAt is when the primary reached it. Mark is zero if there is
	// none.
	Mark   model.Position
	MarkAt time.Duration
	// FailedUpstreams holds the upstreams at which earlier attempts failed.
	FailedUpstreams []model.UpstreamID
	// LaggingReplicas holds the replicas that had not yet applied the required
	// position in earlier attempts.
	LaggingReplicas []model.UpstreamID
	// IdleAt holds the upstreams to which a connection of the caller is idle, so
	// that none has to be opened there.
	IdleAt []model.UpstreamID

	// sequence keeps units of equal priority and deadline in the order in which
	// they were queued.
	sequence uint64
}

// Placement permits a unit to run on an upstream. It holds one of the
// upstream's connections until it is passed to Group.Release.
type Placement struct {
	Upstream model.UpstreamID
	// Primary is set if the upstream is the primary of Generation.
	Primary    bool
	Generation model.Generation
	// RequiredPosition is the log position that the replica must have applied
	// before the read runs. It is zero at the primary, where the permit for
	// the generation guarantees that the data is current.
	RequiredPosition model.Position
	// PlacedAt is when the unit was placed.
	PlacedAt time.Duration
	// caller is the caller of the unit.
	caller model.CallerName
	// active is set while the unit has a statement at the upstream, or is about
	// to send its first. It is false while a transaction waits for its caller.
	active bool
	// meter measures the slot time that the unit's caller is charged.
	meter meter
	// read is set for a read that another upstream could have run as well.
	read bool
}

// Refusal reports that a unit cannot be served in time. No part of it has run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the delay after which the caller should try again; zero if
	// it is not known.
	RetryAfter time.Duration
}

// RefusalReason is the reason for which a unit is refused.
type RefusalReason uint8

// The reasons of refusals.
const (
	// RefusedNoPrimary means that the group has no primary that accepts work,
	// and none is expected in time.
	RefusedNoPrimary RefusalReason = iota
	// RefusedNoUpstream means that no upstream can take the unit.
	RefusedNoUpstream
	// RefusedNoPermit means that this instance has no valid permit for the
	// primary, which others may have.
	RefusedNoPermit
	// RefusedQueueTooLong means that the unit could not be answered in time
	// after the wait for a connection.
	RefusedQueueTooLong
)

// String returns the reason as written in logs and metrics.
func (r RefusalReason) String() string {
	names := [...]string{"no primary", "no upstream", "no permit", "queue too long"}
	return names[r]
}

// requiredPosition returns the log position that a replica must have applied to
// serve the read, and when the primary had reached it. The last result is false
// if the samples of the primary's position cannot prove any replica fresh
// enough.
func (u *Unit) requiredPosition(tracker *freshness.Tracker, now time.Duration) (model.Position, time.Duration, bool) {
	position, reachedAt, found := tracker.RequiredPosition(now, u.MaxAge)
	if !found {
		return model.Position{}, 0, false
	}
	if position.Before(u.Mark) {
		return u.Mark, u.MarkAt, true
	}
	return position, reachedAt, true
}

// wantedUntil returns the time at which the unit's answer becomes late.
func (u *Unit) wantedUntil() time.Duration {
	if u.Target != 0 {
		return min(u.Target, u.Deadline)
	}
	return u.Deadline
}

// canBeLate reports whether the answer is of use after the target.
func (u *Unit) canBeLate() bool { return u.Target != 0 && u.Deadline > u.Target }

func (u *Unit) hasFailedAt(id model.UpstreamID) bool { return slices.Contains(u.FailedUpstreams, id) }

func (u *Unit) wasLagging(id model.UpstreamID) bool { return slices.Contains(u.LaggingReplicas, id) }
