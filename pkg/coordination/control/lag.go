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

// readmissionDelay is how long a replica must stay well below a route's maximum
// age before it is admitted again.
const readmissionDelay = 2 * time.Second

// lagMonitor computes from the results of probes how old the data of each
// replica may be, and the routing snapshot. It is used by the control goroutine
// only.
type lagMonitor struct {
	config     Config
	tracker    *lag.Tracker
	hysteresis *routing.AgeHysteresis
	// upstreams holds the upstreams in use.
	upstreams map[model.UpstreamID]upstreamProbe
	// maxAges holds the maximum ages of each group's routes, ascending.
	maxAges map[model.GroupID][]time.Duration
	// unconfirmedPosition holds, by group, a position that the primary reported
	// while this instance held no valid permit.
	unconfirmedPosition map[model.GroupID]unconfirmedPosition
}

// upstreamProbe is the result of the newest probe of an upstream.
type upstreamProbe struct {
	reachable  bool
	applyDelay time.Duration
	// recoveringAt is the start of the newest probe that found a replica.
	recoveringAt time.Duration
}

// unconfirmedPosition is a position of a primary that is used once all other
// upstreams were found to be replicas after the answer.
type unconfirmedPosition struct {
	sample     lag.PrimarySample
	answeredAt time.Duration
}

func newLagMonitor(config Config) *lagMonitor {
	return &lagMonitor{
		config:              config,
		tracker:             lag.New(lag.DefaultMaxSamples),
		hysteresis:          routing.NewAgeHysteresis(readmissionDelay),
		upstreams:           make(map[model.UpstreamID]upstreamProbe),
		maxAges:             make(map[model.GroupID][]time.Duration),
		unconfirmedPosition: make(map[model.GroupID]unconfirmedPosition),
	}
}

// setBundle adds the upstreams of a new configuration, and forgets those that
// it no longer contains.
func (m *lagMonitor) setBundle(now time.Duration, current *bundle.Bundle) {
	after := now + m.config.Failover.PermitLifetime + m.config.Failover.Drift
	wanted := make(map[model.UpstreamID]bool)
	for i := range current.Groups {
		group := &current.Groups[i]
		m.maxAges[group.ID] = maxAgesOf(current, group.ID)
		for _, upstream := range group.Upstreams {
			wanted[upstream.ID] = true
			m.addUpstream(upstream.ID, after)
		}
	}
	for id := range m.upstreams {
		if !wanted[id] {
			m.tracker.Forget(id)
			m.hysteresis.Forget(id)
			delete(m.upstreams, id)
		}
	}
}

func (m *lagMonitor) addUpstream(id model.UpstreamID, after time.Duration) {
	if _, exists := m.upstreams[id]; exists {
		return
	}
	m.upstreams[id] = upstreamProbe{}
	m.tracker.AddReplica(id, after)
}

// maxAgesOf returns the maximum ages of the group's routes, ascending and
// distinct.
func maxAgesOf(current *bundle.Bundle, id model.GroupID) []time.Duration {
	var ages []time.Duration
	for _, route := range current.Routes {
		if route.Group == id && route.MaxAge > 0 {
			ages = append(ages, route.MaxAge)
		}
	}
	slices.Sort(ages)
	return slices.Compact(ages)
}

// forgetRemovedGroups drops the samples of groups that are missing in the head
// row.
func (m *lagMonitor) forgetRemovedGroups(head *model.Head) {
	for id := range m.maxAges {
		if _, found := head.Group(id); !found {
			m.tracker.ForgetGroup(id)
			delete(m.maxAges, id)
		}
	}
}

// addProbe processes the result of a probe. The failover machine has processed
// it before, so that view contains it.
func (m *lagMonitor) addProbe(p failover.Probed, view *failover.View, now time.Duration) {
	sample, exists := m.upstreams[p.Upstream]
	group, found := view.Group(p.Group)
	if !exists || !found {
		return
	}
	if sample.reachable && !p.Reachable {
		m.tracker.Reset(p.Upstream, now)
	}
	sample.reachable = p.Reachable
	if p.Reachable && p.Recovering {
		sample.recoveringAt = p.StartedAt
	}
	m.upstreams[p.Upstream] = sample
	if p.Reachable {
		m.addPosition(p, group, now)
	}
}

// addPosition processes the log position of a reachable upstream.
func (m *lagMonitor) addPosition(p failover.Probed, group failover.GroupView, now time.Duration) {
	at := model.Mark{Generation: group.Generation, LSN: p.LSN}
	if p.Upstream == group.Primary {
		m.addPrimaryPosition(p, group, at, now)
		return
	}
	if !isReplica(group, p.Upstream) {
		m.tracker.Reset(p.Upstream, now)
		return
	}
	m.tracker.AddReplicaSample(lag.ReplicaSample{
		Group: p.Group, Upstream: p.Upstream, AskedAt: p.StartedAt, Applied: group.AppliedMark(p.LSN),
	})
	m.updateApplyDelay(p, now)
}

// addPrimaryPosition processes a primary's position. It is used at once if this
// instance held the permit when the answer arrived; otherwise it has to be
// confirmed.
func (m *lagMonitor) addPrimaryPosition(p failover.Probed, group failover.GroupView, at model.Mark, now time.Duration) {
	if p.Recovering || p.Timeline != group.Timeline {
		return
	}
	sample := lag.PrimarySample{Group: p.Group, AskedAt: p.StartedAt, Position: at}
	if now < group.PermitUntil {
		delete(m.unconfirmedPosition, p.Group)
		m.tracker.AddPrimarySample(sample)
		m.config.Sessions.PrimarySampled(p.StartedAt, p.Group, at)
		return
	}
	if _, waiting := m.unconfirmedPosition[p.Group]; !waiting {
		m.unconfirmedPosition[p.Group] = unconfirmedPosition{sample: sample, answeredAt: now}
	}
}

// confirmPrimaryPosition uses the group's unconfirmed position once all other
// upstreams were found to be replicas after the answer: then no later
// generation had started. It isn't passed to Sessions: marks are made under a
// permit, so homes must not take a floor from it.
func (m *lagMonitor) confirmPrimaryPosition(group *bundle.Group, state failover.GroupView) {
	waiting, exists := m.unconfirmedPosition[group.ID]
	if !exists {
		return
	}
	if waiting.sample.Position.Generation != state.Generation {
		delete(m.unconfirmedPosition, group.ID)
		return
	}
	for _, upstream := range group.Upstreams {
		if upstream.ID != state.Primary && m.upstreams[upstream.ID].recoveringAt < waiting.answeredAt {
			return
		}
	}
	delete(m.unconfirmedPosition, group.ID)
	m.tracker.AddPrimarySample(waiting.sample)
}

// updateApplyDelay stores how far a replica is behind the primary: zero if it
// had applied the primary's newest sample.
func (m *lagMonitor) updateApplyDelay(p failover.Probed, now time.Duration) {
	status := m.tracker.Status(p.Upstream)
	age, known := status.Age(now)
	if !known {
		return
	}
	sample := m.upstreams[p.Upstream]
	sample.applyDelay = age
	newest, _, sampled := m.tracker.NewestSample(p.Group)
	if sampled && !status.Applied.Before(newest) {
		sample.applyDelay = 0
	}
	m.upstreams[p.Upstream] = sample
}

func isReplica(group failover.GroupView, id model.UpstreamID) bool {
	return slices.ContainsFunc(group.Replicas, func(r failover.ReplicaView) bool { return r.ID == id })
}

// appliedByAll returns the position that every replica of the group has
// applied.
func (m *lagMonitor) appliedByAll(group *bundle.Group, view *failover.View) (model.Mark, bool) {
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
		applied := m.tracker.Applied(upstream.ID)
		if first || applied.Before(lowest) {
			lowest = applied
		}
		first = false
	}
	return lowest, !lowest.IsZero()
}

// routingSnapshot returns the state by which reads are routed.
func (m *lagMonitor) routingSnapshot(now time.Duration, current *bundle.Bundle, view *failover.View) *routing.Snapshot {
	snapshot := &routing.Snapshot{
		DataCentre: m.config.Self.DataCentre,
		Options:    routing.DefaultOptions(),
	}
	for i := range current.Groups {
		group := &current.Groups[i]
		if state, found := view.Group(group.ID); found {
			snapshot.Groups = append(snapshot.Groups, m.routingGroup(now, group, state))
		}
	}
	slices.SortFunc(snapshot.Groups, func(a, b routing.Group) int { return cmp.Compare(a.ID, b.ID) })
	return snapshot
}

func (m *lagMonitor) routingGroup(now time.Duration, group *bundle.Group, state failover.GroupView) routing.Group {
	made := routing.Group{
		ID:          state.ID,
		Generation:  state.Generation,
		PermitUntil: state.PermitUntil,
		Sealed:      state.Sealed,
	}
	for _, upstream := range group.Upstreams {
		made.Upstreams = append(made.Upstreams, m.routingUpstream(now, upstream, state))
	}
	slices.SortFunc(made.Upstreams, func(a, b routing.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return made
}

func (m *lagMonitor) routingUpstream(now time.Duration, upstream bundle.Upstream, state failover.GroupView) routing.Upstream {
	status := m.tracker.Status(upstream.ID)
	made := routing.Upstream{
		ID:         upstream.ID,
		DataCentre: upstream.DataCentre,
		Leaving:    upstream.Leaving,
	}
	made.Latency, made.Slots = m.config.Traffic.LatencyAndSlots(upstream.ID)
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
	made.ApplyDelay = m.upstreams[upstream.ID].applyDelay
	made.AdmittedAges = m.hysteresis.Update(now, upstream.ID, age, known, m.maxAges[state.ID])
	return made
}
