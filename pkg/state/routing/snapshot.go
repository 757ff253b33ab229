// Package routing chooses the upstream for a unit of work: a statement or a
// whole transaction. The control goroutine builds an immutable Snapshot. Choose
// is a pure function of the snapshot, the request and the time, so that the
// goroutines that serve clients call it without locks.
//
// A session's marks are the log positions of its own writes; the floor of a
// request is the position that a replica must have applied to serve it. The
// consistency rules are:
//   - A unit that may write runs on the primary, under a permit.
//   - A read on a route with a maximum age runs on any replica whose data is
//     provably within that age and which has applied the session's marks.
//   - A read on a route without a maximum age sees every write that any instance
//     acknowledged before the read arrived. A replica may serve it once it has
//     applied a position of the primary that was sampled after the read arrived.
package routing

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Snapshot is the state on which the choice of an upstream depends. It is
// immutable.
type Snapshot struct {
	// Groups is ordered by ID.
	Groups []Group
	// DataCentre is the data centre of this instance.
	DataCentre model.DataCentre
	Options    Options
}

// Group is the state of one database group.
type Group struct {
	ID         model.GroupID
	Generation model.Generation
	// PermitUntil is when this instance's permit to use the primary of
	// Generation expires; zero if there is none.
	PermitUntil time.Duration
	// Sealed is true while the primary is being replaced.
	Sealed bool
	// Upstreams is ordered by ID.
	Upstreams []Upstream
}

// Upstream is the state of one database server.
type Upstream struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// Primary is true for the primary of the group's generation.
	Primary bool
	// Usable is true while the server answers. A replica must also have caught
	// up once; see lag.Status.CaughtUp.
	Usable bool
	// Leaving upstreams are being removed and get no new units.
	Leaving bool
	// Applied is the log position that a replica has applied.
	Applied model.Mark
	// FreshAt is the latest time at which a replica provably contains all
	// earlier commits. It is valid if FreshKnown is set.
	FreshAt    time.Duration
	FreshKnown bool
	// ApplyDelay is the usual time from a commit until the replica has applied
	// it, as seen by this instance.
	ApplyDelay time.Duration
	// Latency is the usual latency of a statement.
	Latency time.Duration
	// Slots is the number of statements that this instance may run at once on
	// the server.
	Slots int
	// Outstanding is the number of statements of this instance that run on the
	// server or are queued for it.
	Outstanding int
	// AdmittedAges holds the maximum ages of the routes whose reads the replica
	// may serve; see AgeHysteresis.
	AdmittedAges AgeSet
}

// Group returns the group named id.
func (s *Snapshot) Group(id model.GroupID) (*Group, bool) {
	for i := range s.Groups {
		if s.Groups[i].ID == id {
			return &s.Groups[i], true
		}
	}
	return nil, false
}

// Options are the parameters of Choose.
type Options struct {
	// MaxWait bounds the wait for a replica that is about to reach the floor of
	// a read.
	MaxWait time.Duration
	// OffloadWait is the wait for a replica that a read accepts to take load off
	// the primary, even if the primary has no queue.
	OffloadWait time.Duration
	// RetryAfter is the least retry delay of a refusal; a random part of up to
	// the same length is added.
	RetryAfter time.Duration
	// Rules disables single rules.
	Rules Rules
}

// Rules disables single rules, to measure their effect. The zero value enables
// all rules.
type Rules struct {
	// PrimaryOnly sends every unit to the primary.
	PrimaryOnly bool
	// IgnoreMarks lets any replica serve a read, whatever it has applied.
	IgnoreMarks bool
	// NoWait disables the wait for replicas.
	NoWait bool
	// NoHysteresis admits a replica by its current age alone; see AgeHysteresis.
	NoHysteresis bool
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MaxWait:     50 * time.Millisecond,
		OffloadWait: 10 * time.Millisecond,
		RetryAfter:  100 * time.Millisecond,
	}
}
