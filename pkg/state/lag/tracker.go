// Package lag bounds the age of the data on each replica.
//
// The primary's log position, asked for at time a and answered with position
// P, was at most P at time a. A replica that has applied P therefore holds
// every commit made before a, and its data is no older than now - a. Nothing
// is estimated: a replica of which no such a is known has an unknown age, and
// an unknown age must be treated as unlimited.
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

// PrimarySample is an answer of a group's primary. It must be proven: the
// instance held the group's permit when the answer came, or every other
// upstream of the group, asked after the answer, was still a replica.
type PrimarySample struct {
	Group model.GroupID
	// AskedAt is the time before the question was sent.
	AskedAt  time.Duration
	Position model.Mark
}

// ReplicaSample is an answer of a replica: the position that it has applied,
// with the generation whose timeline it follows.
type ReplicaSample struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	AskedAt  time.Duration
	Applied  model.Mark
}

// ReplicaStatus is what is known of a replica.
type ReplicaStatus struct {
	Applied model.Mark
	// FreshAt is the latest time of which the replica holds all commits. It
	// is meaningful only if FreshKnown.
	FreshAt    time.Duration
	FreshKnown bool
	// CaughtUp is true once the replica has passed a position that the primary
	// reached after the replica was put in use. Only a joined replica may
	// serve reads, because marks that all earlier replicas have passed may
	// have been dropped.
	CaughtUp bool
}

// Age returns the bound on the age of the replica's data at time now.
func (s ReplicaStatus) Age(now time.Duration) (age time.Duration, known bool) {
	if !s.FreshKnown {
		return 0, false
	}
	return now - s.FreshAt, true
}

// Tracker holds the samples of all groups.
type Tracker struct {
	history  int
	groups   map[model.GroupID]*history
	replicas map[model.UpstreamID]*replica
}

type replica struct {
	status    ReplicaStatus
	askedAt   time.Duration
	sampled   bool
	joinAfter time.Duration
}

// New returns a tracker that keeps at most samples primary samples per group.
func New(samples int) *Tracker {
	return &Tracker{
		history:  max(samples, minHistory),
		groups:   make(map[model.GroupID]*history),
		replicas: make(map[model.UpstreamID]*replica),
	}
}

// AddReplica puts a replica in use. It counts as joined once it has passed a
// primary sample asked at or after the time after. For a replica that is new
// in the configuration, after is the time of adoption plus the permit
// lifetime and the allowance for clock drift, so that no home of a session
// still drops marks without regard to it.
func (t *Tracker) AddReplica(upstream model.UpstreamID, after time.Duration) {
	t.replicas[upstream] = &replica{joinAfter: after}
}

// Reset forgets what is known of a replica and has it join again. It must be
// called when the connections to the replica broke, because a restarted
// replica may show an older position than before.
func (t *Tracker) Reset(upstream model.UpstreamID, now time.Duration) {
	r, found := t.replicas[upstream]
	if !found {
		return
	}
	t.AddReplica(upstream, max(now, r.joinAfter))
}

// Forget removes a replica that is out of use.
func (t *Tracker) Forget(upstream model.UpstreamID) { delete(t.replicas, upstream) }

// ForgetGroup removes the samples of a group's primary.
func (t *Tracker) ForgetGroup(group model.GroupID) { delete(t.groups, group) }

// AddPrimarySample takes a primary's answer.
func (t *Tracker) AddPrimarySample(s PrimarySample) {
	h, found := t.groups[s.Group]
	if !found {
		h = &history{limit: t.history}
		t.groups[s.Group] = h
	}
	h.add(point{askedAt: s.AskedAt, at: s.Position})
}

// AddReplicaSample takes a replica's answer. Answers to older questions than
// the last one are ignored, and so is a replica that is not in use.
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
	t.refresh(s.Group, r)
}

func (t *Tracker) refresh(group model.GroupID, r *replica) {
	h, found := t.groups[group]
	if !found {
		return
	}
	freshAt, known := h.passed(r.status.Applied)
	if !known {
		return
	}
	if !r.status.FreshKnown || freshAt > r.status.FreshAt {
		r.status.FreshAt = freshAt
		r.status.FreshKnown = true
	}
	r.status.CaughtUp = r.status.CaughtUp || r.status.FreshAt >= r.joinAfter
}

// Status returns what is known of a replica; the zero Status if nothing is.
func (t *Tracker) Status(upstream model.UpstreamID) ReplicaStatus {
	r, found := t.replicas[upstream]
	if !found {
		return ReplicaStatus{}
	}
	return r.status
}

// Applied returns the position that a replica is known to have applied.
func (t *Tracker) Applied(upstream model.UpstreamID) model.Mark {
	return t.Status(upstream).Applied
}

// NewestSample returns the latest primary sample of a group.
func (t *Tracker) NewestSample(group model.GroupID) (at model.Mark, askedAt time.Duration, known bool) {
	h, found := t.groups[group]
	if !found || len(h.points) == 0 {
		return model.Mark{}, 0, false
	}
	last := h.points[len(h.points)-1]
	return last.at, last.askedAt, true
}

// Samples returns the number of primary samples held for all groups.
func (t *Tracker) Samples() int {
	total := 0
	for _, h := range t.groups {
		total += len(h.points)
	}
	return total
}
