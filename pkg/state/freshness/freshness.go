// Package freshness follows the log positions of a group: which position a
// read must find applied so that it misses no write older than its route
// allows, and how far each replica is behind. It is deterministic.
//
// A position that the primary gave in answer to a statement sent at t covers
// every write that was acknowledged before t, if no other primary had started
// by t. So a replica that has applied it can serve a read which may miss the
// writes since t.
package freshness

import (
	"slices"
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// historyTime is how long samples are kept; it exceeds the greatest age
	// that a route allows.
	historyTime = 15 * time.Second
	// sampleSpacing is the least time between two samples that are kept.
	sampleSpacing = 10 * time.Millisecond
	// transit covers the way of a read to its upstream.
	transit = 60 * time.Millisecond
	// askAgain is the time without an answer of a replica after which it is
	// asked although it is thought to be behind.
	askAgain = 200 * time.Millisecond
	// lagDecay is the share of an older, greater lag that stays in the estimate.
	lagDecay = 0.8
)

// sample is a position of the primary in answer to what was sent at.
type sample struct {
	at       time.Duration
	position model.Position
}

// replica is what is known of the log of a replica.
type replica struct {
	applied model.Position
	// lag is an estimate of the time by which it is behind the primary.
	lag time.Duration
	// askedAt is when it last gave a position, or was to be asked again.
	askedAt time.Duration
}

// Tracker follows one group. It is not safe for concurrent use.
type Tracker struct {
	// samples is ordered by at, and by position.
	samples  []sample
	replicas map[model.UpstreamID]*replica
}

// New returns a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{replicas: make(map[model.UpstreamID]*replica)}
}

// AddPrimarySample takes a position that the primary gave in answer to what was
// sent at. The caller has seen to it that no other primary had started by then.
func (t *Tracker) AddPrimarySample(at time.Duration, position model.Position) {
	if position.IsZero() {
		return
	}
	if last := len(t.samples) - 1; last >= 0 {
		newest := t.samples[last]
		if at < newest.at+sampleSpacing || position.Before(newest.position) {
			return
		}
	}
	t.samples = append(t.samples, sample{at: at, position: position})
	if t.samples[0].at < at-2*historyTime {
		kept := t.firstAfter(at - historyTime)
		t.samples = slices.Clone(t.samples[kept:])
	}
}

// RequiredPosition returns the oldest known position that covers every write older
// than maxAge at now, and the time for which it was sampled. found is false if
// there is none.
func (t *Tracker) RequiredPosition(now, maxAge time.Duration) (position model.Position, at time.Duration, found bool) {
	first := t.firstAfter(now - maxAge + transit)
	if first == len(t.samples) {
		return model.Position{}, 0, false
	}
	return t.samples[first].position, t.samples[first].at, true
}

// firstAfter returns the index of the first sample at or after the time.
func (t *Tracker) firstAfter(at time.Duration) int {
	return sort.Search(len(t.samples), func(i int) bool { return t.samples[i].at >= at })
}

// AddReplicaSample takes a position that a replica had applied at.
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
	known.askedAt = at
	lag := time.Duration(0)
	if reached, found := t.reachedAt(applied); found {
		lag = max(0, at-reached)
	}
	known.lag = max(lag, time.Duration(float64(known.lag)*lagDecay))
}

// reachedAt returns the time by which the primary had passed the position.
func (t *Tracker) reachedAt(position model.Position) (time.Duration, bool) {
	next := sort.Search(len(t.samples), func(i int) bool { return position.Before(t.samples[i].position) })
	if next == len(t.samples) {
		return 0, false
	}
	return t.samples[next].at, true
}

// EstimatedWait returns the time after now at which the replica is expected to have
// applied the position, which the primary reached at. It is zero if the replica
// is known to have it, and for one question after askAgain without any: a
// replica that is thought to be behind would never be seen to have caught up.
func (t *Tracker) EstimatedWait(id model.UpstreamID, now time.Duration, position model.Position, at time.Duration) time.Duration {
	known := t.replicas[id]
	if known == nil {
		return 0
	}
	if !known.applied.Before(position) {
		return 0
	}
	ready := max(0, at+known.lag-now)
	if ready > 0 && now-known.askedAt >= askAgain {
		return 0
	}
	return ready
}

// QuerySent notes that a replica is asked now.
func (t *Tracker) QuerySent(id model.UpstreamID, now time.Duration) {
	if known := t.replicas[id]; known != nil {
		known.askedAt = max(known.askedAt, now)
	}
}

// Lag returns the estimated time by which a replica is behind.
func (t *Tracker) Lag(id model.UpstreamID) time.Duration {
	if known := t.replicas[id]; known != nil {
		return known.lag
	}
	return 0
}

// Forget drops what is known of a replica.
func (t *Tracker) Forget(id model.UpstreamID) { delete(t.replicas, id) }
