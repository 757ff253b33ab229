// Package routing chooses the upstream for a unit of work. The control
// goroutine builds an immutable Snapshot; Choose is a pure function of the
// snapshot, the request and the time, so that goroutines of traffic call it
// without locks.
//
// What a unit may see:
//   - A unit that may write goes to the primary, under a permit.
//   - A read with a stated age goes to any replica whose data is provably
//     within the age and which has applied the session's marks.
//   - A read without an age sees every write acknowledged, by any instance,
//     before the read arrived. A replica may serve it once it has applied a
//     position of the primary that was sampled after the read arrived.
package routing

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Snapshot is the state that choices are made from. It is immutable.
type Snapshot struct {
	// Groups is ordered by ID.
	Groups []Group
	// DataCentre is that of this instance.
	DataCentre model.DataCentre
	Options    Options
}

// Group is the state of one database group.
type Group struct {
	ID         model.GroupID
	Generation model.Generation
	// PermitUntil is when the permit for Generation lapses; zero means that
	// there is none.
	PermitUntil time.Duration
	Sealed      bool
	// Upstreams is ordered by ID.
	Upstreams []Upstream
}

// Upstream is the state of one database server.
type Upstream struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// Primary is true for the primary of the group's generation.
	Primary bool
	// Usable is true while the server answers and, for a replica, has joined;
	// see package lag.
	Usable  bool
	Leaving bool
	// Applied is the position that a replica has applied.
	Applied model.Mark
	// FreshAt is the latest time of which a replica holds all commits.
	FreshAt    time.Duration
	FreshKnown bool
	// ApplyDelay is the usual time from a commit until Applied shows it.
	ApplyDelay time.Duration
	// Latency is the usual time that a statement takes.
	Latency time.Duration
	// Slots is the number of statements that this instance may run at once.
	Slots int
	// Outstanding is the number of statements running or queued here.
	Outstanding int
	// AdmittedAges holds the ages of routes for which the replica is currently
	// admitted; see AgeHysteresis.
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

// Options are the limits of a choice.
type Options struct {
	// MaxWait bounds the wait for a replica that is almost there.
	MaxWait time.Duration
	// OffloadWait is the wait that a read accepts in order to spare the
	// primary a statement, even when the primary has no queue.
	OffloadWait time.Duration
	// RetryAfter is the shortest advice on when to come back; up to as much
	// again is added at random.
	RetryAfter time.Duration
	// Rules switches single rules off, for measurements.
	Rules Rules
}

// Rules switches single rules off. The zero value has all rules on.
type Rules struct {
	// PrimaryOnly sends every unit to the primary.
	PrimaryOnly bool
	// IgnoreMarks serves reads without regard to the session's marks.
	IgnoreMarks bool
	// NoWait never waits for a replica.
	NoWait bool
	// NoHysteresis admits a replica by its present age alone.
	NoHysteresis bool
}

// DefaultOptions returns the options in use.
func DefaultOptions() Options {
	return Options{
		MaxWait:     50 * time.Millisecond,
		OffloadWait: 10 * time.Millisecond,
		RetryAfter:  100 * time.Millisecond,
	}
}
