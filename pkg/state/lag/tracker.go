// Package lag computes an upper bound on the age of each replica's data.
//
// If the primary is asked for its log position at time a and answers with
// position P, its position at time a was at most P. A replica that has applied P
// therefore holds every commit made before a, and its data is no older than
// now - a. Nothing is estimated: without such a sample the age of a replica is
// unknown and must be treated as unlimited.
//
// A Tracker is owned by one goroutine. Times are measured from the start of
// the process.
package lag

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// DefaultMaxSamples is the number of primary samples kept for a group.
const DefaultMaxSamples = 256

// PrimarySample is the log position that a group's primary answered. The sample
// must be proven to come from the current primary: the instance held the group's
// permit when the answer came, or every other upstream of the group, queried
// after the answer, was still a replica.
type PrimarySample struct {
	Group model.GroupID
	// AskedAt is the time before the query was sent.
	AskedAt  time.Duration
	Position model.Mark
}

// ReplicaSample is the position that a replica has applied, with the generation
// whose timeline it follows.
type ReplicaSample struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	AskedAt  time.Duration
	Applied  model.Mark
}

// ReplicaStatus is the state of a replica according to the samples.
type ReplicaStatus struct {
	Applied model.Mark
	// FreshAt is the latest time before which the replica is known to hold all
	// commits. It is valid only if FreshKnown.
	FreshAt    time.Duration
	FreshKnown bool
	// CaughtUp is true once the replica has applied a position that the primary
	// reached after the replica was added. Until then it must not serve reads,
	// because marks that all earlier replicas have applied may have been
	// dropped.
	CaughtUp bool
}

// Age returns an upper bound on the age of the replica's data at the time now.
func (s ReplicaStatus) Age(now time.Duration) (age time.Duration, known bool) {
	if !s.FreshKnown {
		return 0, false
	}
	return now - s.FreshAt, true
}

// Tracker holds the samples of the primaries and the state of the replicas of
// all groups.
type Tracker struct {
	maxSamples int
	groups     map[model.GroupID]*history
	replicas   map[model.UpstreamID]*replica
}

type replica struct {
	status  ReplicaStatus
	askedAt time.Duration
	sampled bool
	// caughtUpAfter is the earliest FreshAt with which the replica is caught up.
	caughtUpAfter time.Duration
}

// New returns a tracker that keeps at most the given number of primary samples
// per group.
func New(samples int) *Tracker {
	return &Tracker{
		maxSamples: max(samples, minSamples),
		groups:     make(map[model.GroupID]*history),
		replicas:   make(map[model.UpstreamID]*replica),
	}
}

// AddReplica puts a replica in use. It counts as caught up once it has applied
// the position of a primary sample asked at or after the time after. For a
// replica that is new in the configuration, after is the time of adoption plus
// the permit lifetime and the allowance for clock drift. By then, no home of a
// session drops marks without waiting for this replica.
func (t *Tracker) AddReplica(upstream model.UpstreamID, after time.Duration) {
	t.replicas[upstream] = &replica{caughtUpAfter: after}
}

// Reset discards the state of a replica, which then has to catch up again. It
// must be called when the connections to the replica broke, because a restarted
// replica may report an older position than before.
func (t *Tracker) Reset(upstream model.UpstreamID, now time.Duration) {
	r, found := t.replicas[upstream]
	if !found {
		return
	}
	t.AddReplica(upstream, max(now, r.caughtUpAfter))
}

// Forget removes a replica that is no longer in use.
func (t *Tracker) Forget(upstream model.UpstreamID) { delete(t.replicas, upstream) }

// ForgetGroup removes the samples of a group's primary.
func (t *Tracker) ForgetGroup(group model.GroupID) { delete(t.groups, group) }

// AddPrimarySample adds a sample of a group's primary.
func (t *Tracker) AddPrimarySample(s PrimarySample) {
	h, found := t.groups[s.Group]
	if !found {
		h = &history{limit: t.maxSamples}
		t.groups[s.Group] = h
	}
	h.add(sample{askedAt: s.AskedAt, position: s.Position})
}

// AddReplicaSample adds a sample of a replica. A sample that was asked for
// before the last one is ignored, and so is a replica that is not in use.
func (t *Tracker) AddReplicaSample(s ReplicaSample) {
	r, found := t.replicas[s.Upstream]
	if !found || r.sampled && s.AskedAt < r.askedAt {
		return
	}
	if s.Applied.Before(r.status.Applied) {
		t.Reset(s.Upstream, s.AskedAt)
		r = t.replicas[s.Upstream]
	}
	r.sampled = true
	r.askedAt = s.AskedAt
	r.status.Applied = s.Applied
	t.updateFreshness(s.Group, r)
}

// updateFreshness updates FreshAt and CaughtUp from the primary's samples.
func (t *Tracker) updateFreshness(group model.GroupID, r *replica) {
	h, found := t.groups[group]
	if !found {
		return
	}
	freshAt, known := h.freshAt(r.status.Applied)
	if !known {
		return
	}
	if !r.status.FreshKnown || freshAt > r.status.FreshAt {
		r.status.FreshAt = freshAt
		r.status.FreshKnown = true
	}
	r.status.CaughtUp = r.status.CaughtUp || r.status.FreshAt >= r.caughtUpAfter
}

// Status returns the status of a replica, or the zero ReplicaStatus if the
// replica is not in use.
func (t *Tracker) Status(upstream model.UpstreamID) ReplicaStatus {
	r, found := t.replicas[upstream]
	if !found {
		return ReplicaStatus{}
	}
	return r.status
}

// Applied returns the last sampled position of a replica.
func (t *Tracker) Applied(upstream model.UpstreamID) model.Mark {
	return t.Status(upstream).Applied
}

// NewestSample returns the newest primary sample of a group.
func (t *Tracker) NewestSample(group model.GroupID) (at model.Mark, askedAt time.Duration, known bool) {
	h, found := t.groups[group]
	if !found || len(h.samples) == 0 {
		return model.Mark{}, 0, false
	}
	last := h.samples[len(h.samples)-1]
	return last.position, last.askedAt, true
}

// Samples returns the number of primary samples held for all groups.
func (t *Tracker) Samples() int {
	total := 0
	for _, h := range t.groups {
		total += len(h.samples)
	}
	return total
}
