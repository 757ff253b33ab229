// Package freshness tracks the log positions of a group's primary and replicas.
// It computes the position that a replica must have applied so that a read
// misses no write older than its route allows, and estimates how far each
// replica lags behind. It is deterministic.
//
// A position that the primary returns with the answer to a statement sent at
// time t covers every write acknowledged before t, if no other primary had
// started by then. A replica that has applied the position can therefore serve
// a read that may miss the writes since t.
package freshness

import (
	"slices"
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// sampleRetention is the minimum time for which samples are kept. It exceeds
	// the greatest age that a route allows.
	sampleRetention = 15 * time.Second
	// minSampleSpacing is the minimum time between two samples that are kept.
	minSampleSpacing = 10 * time.Millisecond
	// readTransit is an allowance for the time that a read takes to reach its
	// upstream.
	readTransit = 60 * time.Millisecond
	// requeryAfter is the time since the last sample or query of a replica after
	// which it is queried although it is expected to lag behind.
	requeryAfter = 200 * time.Millisecond
	// lagDecay is the factor by which each sample reduces an estimate that is
	// greater than the lag it measures.
	lagDecay = 0.8
)

// sample is the position that the primary returned with the answer to a
// statement sent at sentAt.
type sample struct {
	sentAt   time.Duration
	position model.Position
}

// replica is the state of a replica.
type replica struct {
	applied model.Position
	// lag is the estimated time by which it lags behind the primary.
	lag time.Duration
	// queriedAt is when it last returned a position or was last queried.
	queriedAt time.Duration
}

// Tracker holds the samples of one group. It is not safe for concurrent use.
type Tracker struct {
	// samples is in ascending order of both sentAt and position.
	samples  []sample
	replicas map[model.UpstreamID]*replica
}

// New returns a tracker without samples.
func New() *Tracker {
	return &Tracker{replicas: make(map[model.UpstreamID]*replica)}
}

// AddPrimarySample adds a position that the primary returned with the answer to
// a statement sent at sentAt. The caller must ensure that no other primary had
// started by then. Samples that come too soon after the newest one, or are older
// than it, are ignored.
func (t *Tracker) AddPrimarySample(sentAt time.Duration, position model.Position) {
	if position.IsZero() {
		return
	}
	if last := len(t.samples) - 1; last >= 0 {
		newest := t.samples[last]
		if sentAt < newest.sentAt+minSampleSpacing || position.Before(newest.position) {
			return
		}
	}
	t.samples = append(t.samples, sample{sentAt: sentAt, position: position})
	if t.samples[0].sentAt < sentAt-2*sampleRetention {
		kept := t.firstAfter(sentAt - sampleRetention)
		t.samples = slices.Clone(t.samples[kept:])
	}
}

// RequiredPosition returns the position of the oldest sample that covers every
// write older than maxAge at now, and when the statement of that sample was
// sent. found is false if there is none.
func (t *Tracker) RequiredPosition(now, maxAge time.Duration) (position model.Position, sentAt time.Duration, found bool) {
	first := t.firstAfter(now - maxAge + readTransit)
	if first == len(t.samples) {
		return model.Position{}, 0, false
	}
	return t.samples[first].position, t.samples[first].sentAt, true
}

// firstAfter returns the index of the first sample whose time is at or later,
// or len(samples).
func (t *Tracker) firstAfter(at time.Duration) int {
	return sort.Search(len(t.samples), func(i int) bool { return t.samples[i].sentAt >= at })
}

// AddReplicaSample adds the position that a replica had applied at the time at,
// and updates the estimate of its lag.
func (t *Tracker) AddReplicaSample(id model.UpstreamID, at time.Duration, applied model.Position) {
	if applied.IsZero() {
		return
	}
	known := t.replicas[id]
	if known == nil {
		known = &replica{}
		t.replicas[id] = known
	}
	known.applied = applied
	known.queriedAt = at
	lag := time.Duration(0)
	if passed, found := t.passedAt(applied); found {
		lag = max(0, at-passed)
	}
	known.lag = max(lag, time.Duration(float64(known.lag)*lagDecay))
}

// passedAt returns the time of the first sample that is after the position, or
// false if there is none.
func (t *Tracker) passedAt(position model.Position) (time.Duration, bool) {
	next := sort.Search(len(t.samples), func(i int) bool { return position.Before(t.samples[i].position) })
	if next == len(t.samples) {
		return 0, false
	}
	return t.samples[next].sentAt, true
}

// EstimatedWait returns the time from now until the replica is expected to have
// applied the position, which the primary reached at reachedAt. It is zero for
// an unknown replica or one known to have applied the position. It is also zero
// if the replica was not queried for requeryAfter; otherwise no read would be
// sent to a lagging replica, and it would never be seen to have caught up.
func (t *Tracker) EstimatedWait(id model.UpstreamID, now time.Duration, position model.Position, reachedAt time.Duration) time.Duration {
	known := t.replicas[id]
	if known == nil {
		return 0
	}
	if !known.applied.Before(position) {
		return 0
	}
	wait := max(0, reachedAt+known.lag-now)
	if wait > 0 && now-known.queriedAt >= requeryAfter {
		return 0
	}
	return wait
}

// QuerySent records that a statement is sent to a replica now.
func (t *Tracker) QuerySent(id model.UpstreamID, now time.Duration) {
	if known := t.replicas[id]; known != nil {
		known.queriedAt = max(known.queriedAt, now)
	}
}

// Lag returns the estimated time by which a replica lags behind the primary; it
// is zero for an unknown replica.
func (t *Tracker) Lag(id model.UpstreamID) time.Duration {
	if known := t.replicas[id]; known != nil {
		return known.lag
	}
	return 0
}

// Forget removes the state of a replica.
func (t *Tracker) Forget(id model.UpstreamID) { delete(t.replicas, id) }
