package control

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/lag"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

// edgeHoldTime is how long a replica must stay well within a route's age
// before it is admitted again.
const edgeHoldTime = 2 * time.Second

// samples turns the results of probes into bounds on the replicas' ages, and
// into the routing snapshot. It belongs to the control goroutine.
type samples struct {
	config  Config
	tracker *lag.Tracker
	edges   *routing.AgeHysteresis
	// known names the upstreams in use.
	known map[model.UpstreamID]upstreamSample
	// ages holds the ages of each group's routes, ascending.
	ages map[model.GroupID][]time.Duration
	// unproven holds a position of each group's primary that was given
	// without a permit.
	unproven map[model.GroupID]unproven
}

// upstreamSample is the newest probe of an upstream.
type upstreamSample struct {
	reachable bool
	delay     time.Duration
	// recoveringAt is the start of the newest probe that found a replica.
	recoveringAt time.Duration
}

// unproven is a primary's position that counts once all other upstreams were
// found to be replicas after the answer.
type unproven struct {
	sample     lag.PrimarySample
	answeredAt time.Duration
}

func newSamples(config Config) *samples {
	return &samples{
		config:   config,
		tracker:  lag.New(lag.DefaultMaxSamples),
		edges:    routing.NewAgeHysteresis(edgeHoldTime),
		known:    make(map[model.UpstreamID]upstreamSample),
		ages:     make(map[model.GroupID][]time.Duration),
		unproven: make(map[model.GroupID]unproven),
	}
}

// adopted follows a new configuration.
func (s *samples) adopted(now time.Duration, current *bundle.Bundle) {
	after := now + s.config.Failover.PermitLifetime + s.config.Failover.Drift
	wanted := make(map[model.UpstreamID]bool)
	for i := range current.Groups {
		group := &current.Groups[i]
		s.ages[group.ID] = agesOf(current, group.ID)
		for _, upstream := range group.Upstreams {
			wanted[upstream.ID] = true
			s.join(upstream.ID, after)
		}
	}
	for id := range s.known {
		if !wanted[id] {
			s.tracker.Forget(id)
			s.edges.Forget(id)
			delete(s.known, id)
		}
	}
}

func (s *samples) join(id model.UpstreamID, after time.Duration) {
	if _, exists := s.known[id]; exists {
		return
	}
	s.known[id] = upstreamSample{}
	s.tracker.AddReplica(id, after)
}

// agesOf returns the ages of the group's routes, ascending and distinct.
func agesOf(current *bundle.Bundle, id model.GroupID) []time.Duration {
	var ages []time.Duration
	for _, route := range current.Routes {
		if route.Group == id && route.MaxAge > 0 {
			ages = append(ages, route.MaxAge)
		}
	}
	slices.Sort(ages)
	return slices.Compact(ages)
}

// headSeen forgets the primary samples of groups that are gone.
func (s *samples) headSeen(head *model.Head) {
	for id := range s.ages {
		if _, found := head.Group(id); !found {
			s.tracker.ForgetGroup(id)
			delete(s.ages, id)
		}
	}
}

// probed takes the result of a probe, after the view was updated with it.
func (s *samples) probed(p failover.Probed, view *failover.View, now time.Duration) {
	sample, exists := s.known[p.Upstream]
	group, found := view.Group(p.Group)
	if !exists || !found {
		return
	}
	if sample.reachable && !p.Reachable {
		s.tracker.Reset(p.Upstream, now)
	}
	sample.reachable = p.Reachable
	if p.Reachable && p.Recovering {
		sample.recoveringAt = p.StartedAt
	}
	s.known[p.Upstream] = sample
	if p.Reachable {
		s.take(p, group, now)
	}
}

func (s *samples) take(p failover.Probed, group failover.GroupView, now time.Duration) {
	at := model.Mark{Generation: group.Generation, LSN: p.LSN}
	if p.Upstream == group.Primary {
		s.takePrimary(p, group, at, now)
		return
	}
	if !isReplica(group, p.Upstream) {
		s.tracker.Reset(p.Upstream, now)
		return
	}
	s.tracker.AddReplicaSample(lag.ReplicaSample{
		Group: p.Group, Upstream: p.Upstream, AskedAt: p.StartedAt, Applied: group.AppliedMark(p.LSN),
	})
	s.noteDelay(p, now)
}

// takePrimary takes a primary's position. It is proven if the permit held when
// the answer came, and otherwise has to wait for a proof.
func (s *samples) takePrimary(p failover.Probed, group failover.GroupView, at model.Mark, now time.Duration) {
	if p.Recovering || p.Timeline != group.Timeline {
		return
	}
	sample := lag.PrimarySample{Group: p.Group, AskedAt: p.StartedAt, Position: at}
	if now < group.PermitUntil {
		delete(s.unproven, p.Group)
		s.tracker.AddPrimarySample(sample)
		s.config.Sessions.PrimarySampled(p.StartedAt, p.Group, at)
		return
	}
	if _, waiting := s.unproven[p.Group]; !waiting {
		s.unproven[p.Group] = unproven{sample: sample, answeredAt: now}
	}
}

// prove takes the group's unproven position once all other upstreams were
// found to be replicas after it was given: then no later generation had
// started. Marks need a permit, so that homes take no floor from it.
func (s *samples) prove(group *bundle.Group, state failover.GroupView) {
	waiting, exists := s.unproven[group.ID]
	if !exists {
		return
	}
	if waiting.sample.Position.Generation != state.Generation {
		delete(s.unproven, group.ID)
		return
	}
	for _, upstream := range group.Upstreams {
		if upstream.ID != state.Primary && s.known[upstream.ID].recoveringAt < waiting.answeredAt {
			return
		}
	}
	delete(s.unproven, group.ID)
	s.tracker.AddPrimarySample(waiting.sample)
}

// noteDelay keeps the time by which a replica is behind: zero if it had applied
// the primary's newest sample.
func (s *samples) noteDelay(p failover.Probed, now time.Duration) {
	status := s.tracker.Status(p.Upstream)
	age, known := status.Age(now)
	if !known {
		return
	}
	sample := s.known[p.Upstream]
	sample.delay = age
	newest, _, sampled := s.tracker.NewestSample(p.Group)
	if sampled && !status.Applied.Before(newest) {
		sample.delay = 0
	}
	s.known[p.Upstream] = sample
}

func isReplica(group failover.GroupView, id model.UpstreamID) bool {
	return slices.ContainsFunc(group.Replicas, func(r failover.ReplicaView) bool { return r.ID == id })
}

// passed returns the position that every replica of the group has applied.
func (s *samples) passed(group *bundle.Group, view *failover.View) (model.Mark, bool) {
	state, found := view.Group(group.ID)
	if !found {
		return model.Mark{}, false
	}
	var lowest model.Mark
	first := true
	for _, upstream := range group.Upstreams {
		if upstream.ID == state.Primary {
			continue
		}
		applied := s.tracker.Applied(upstream.ID)
		if first || applied.Before(lowest) {
			lowest = applied
		}
		first = false
	}
	return lowest, !lowest.IsZero()
}

// routing makes the routing snapshot.
func (s *samples) routing(now time.Duration, current *bundle.Bundle, view *failover.View) *routing.Snapshot {
	snapshot := &routing.Snapshot{
		DataCentre: s.config.Self.DataCentre,
		Options:    routing.DefaultOptions(),
	}
	for i := range current.Groups {
		group := &current.Groups[i]
		if state, found := view.Group(group.ID); found {
			snapshot.Groups = append(snapshot.Groups, s.group(now, group, state))
		}
	}
	slices.SortFunc(snapshot.Groups, func(a, b routing.Group) int { return cmp.Compare(a.ID, b.ID) })
	return snapshot
}

func (s *samples) group(now time.Duration, group *bundle.Group, state failover.GroupView) routing.Group {
	made := routing.Group{
		ID:          state.ID,
		Generation:  state.Generation,
		PermitUntil: state.PermitUntil,
		Sealed:      state.Sealed,
	}
	for _, upstream := range group.Upstreams {
		made.Upstreams = append(made.Upstreams, s.upstream(now, upstream, state))
	}
	slices.SortFunc(made.Upstreams, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return made
}

func (s *samples) upstream(now time.Duration, upstream bundle.Upstream, state failover.GroupView) routing.Upstream {
	status := s.tracker.Status(upstream.ID)
	made := routing.Upstream{
		ID:         upstream.ID,
		DataCentre: upstream.DataCentre,
		Leaving:    upstream.Leaving,
	}
	made.Latency, made.Slots = s.config.Traffic.LatencyAndSlots(upstream.ID)
	if upstream.ID == state.Primary {
		made.Primary = true
		made.Usable = true
		return made
	}
	age, known := status.Age(now)
	made.Usable = status.CaughtUp && isReplica(state, upstream.ID)
	made.Applied = status.Applied
	made.FreshAt = status.FreshAt
	made.FreshKnown = status.FreshKnown
	made.ApplyDelay = s.known[upstream.ID].delay
	made.AdmittedAges = s.edges.Update(now, upstream.ID, age, known, s.ages[state.ID])
	return made
}
