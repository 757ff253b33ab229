package region

import (
	"log/slog"
	"reflect"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Timeouts, intervals and limits of the probes. An upstream is probed only
// while traffic doesn't show its state: at the start, while it is suspected,
// and during a change of primary.
const (
	probeTimeout = 250 * time.Millisecond
	// minProbeInterval is the least time between two probes of an upstream by
	// one instance.
	minProbeInterval = 150 * time.Millisecond
	// noPrimaryProbeInterval is the same for a group without a known primary.
	noPrimaryProbeInterval = 300 * time.Millisecond
	// noPrimaryProbeDelay is the time without a known primary after which a
	// server other than the first probes the group; each noPrimaryProberDelay
	// after that, one more does.
	noPrimaryProbeDelay  = 2 * time.Second
	noPrimaryProberDelay = 2 * time.Second
	// replicaProbeInterval is the least time between two probes of suspected
	// replicas.
	replicaProbeInterval = 500 * time.Millisecond
	// initialProbers is the number of instances that probe all upstreams of a
	// group as soon as its primary may be replaced.
	initialProbers = 2
	// One more instance starts to probe after each quickProberDelay, up to
	// maxQuickProbers instances in total; apart from these, one more does after
	// each slowProberDelay.
	quickProberDelay = 500 * time.Millisecond
	maxQuickProbers  = 6
	slowProberDelay  = 3 * time.Second
	// instancesPerInterval is the number of instances that may all probe an
	// upstream at minProbeInterval.
	instancesPerInterval = 14
	// suspicionTimeout is how long a suspicion lasts unless it is renewed.
	suspicionTimeout = time.Second
	// minAnswerReportInterval is the least time between two answers of a
	// primary that are reported to the failover machine.
	minAnswerReportInterval = 250 * time.Millisecond
	// typicalFailoverTime is the usual time from the seal of a group to the
	// first statement that its next primary runs.
	typicalFailoverTime = 1100 * time.Millisecond
	// expectationTimeout is the time for which a primary is still expected
	// soon: after the usual end of a change of primary, and after the start of
	// the process.
	expectationTimeout = 2 * time.Second
	// expectedSoonDelay is the estimate of the remaining time while a primary
	// is expected soon.
	expectedSoonDelay = 200 * time.Millisecond
)

// groupMonitor is the state that the loop keeps of a group between two ticks.
type groupMonitor struct {
	// suspectedUntil is the time at which the newest suspicion of an upstream
	// of the group expires. Events say "doubted" for suspected.
	suspectedUntil time.Duration
	suspected      bool
	// peerSuspectsUntil is the time at which the newest suspicion that a peer
	// reported of the primary expires.
	peerSuspectsUntil time.Duration
	// noPrimarySince is the time at which the group was found without a known
	// primary; zero if it has one.
	noPrimarySince time.Duration
	// lastStableAt is the last time at which no change of the primary was in
	// progress or called for.
	lastStableAt time.Duration
	// lastProbeAt is the start of the last probes.
	lastProbeAt    time.Duration
	probesInFlight int
	// lastReportedAnswerAt is the time at which the statement was sent whose
	// answer was last reported to the failover machine.
	lastReportedAnswerAt time.Duration
	// sealedSince is the time at which the group was found sealed (no writes
	// accepted before a change of primary); zero if it is not.
	sealedSince time.Duration
}

// ensureMonitor returns the monitor of a group, and creates it if needed.
func (l *Loop) ensureMonitor(id model.GroupID) *groupMonitor {
	known := l.groups[id]
	if known == nil {
		known = &groupMonitor{}
		l.groups[id] = known
	}
	return known
}

// matchesLastSpec reports whether event equals the one last given to the
// failover machine.
func (l *Loop) matchesLastSpec(event failover.BundleAdopted) bool {
	return reflect.DeepEqual(event, l.lastSpec)
}

// upstreamsWithPrimary returns the registered upstreams of a group, ordered by
// ID. The primary of the newest known head row is added if it isn't registered,
// so that its loss is detected.
func (l *Loop) upstreamsWithPrimary(id model.GroupID) []catalog.Upstream {
	found := l.registry.byGroup(id)
	if l.view.Head == nil {
		return found
	}
	head, exists := l.view.Head.Group(id)
	if !exists {
		return found
	}
	for _, upstream := range found {
		if upstream.ID == head.Primary {
			return found
		}
	}
	missing := catalog.Upstream{ID: head.Primary, Group: id, Draining: true}
	if before, remembered := l.upstreams[head.Primary]; remembered {
		missing.Address = before.Address
		missing.DataCentre = before.DataCentre
		missing.Started = before.Started
	}
	return append(found, missing)
}

// monitorGroups passes what traffic shows of each group to the failover
// machine, and probes where that isn't enough.
func (l *Loop) monitorGroups(now time.Duration) {
	for id, monitor := range l.groups {
		state, found := l.view.Group(id)
		health := l.config.Traffic.PassiveHealth(id)
		l.trackSeal(now, monitor, found && state.Sealed)
		if found {
			l.reportPrimaryAnswer(id, monitor, state, health)
		}
		if len(health.Suspects) > 0 {
			l.suspect(now, id, monitor, health.Suspects[0])
		}
		l.endSuspicion(now, id, monitor)
		l.startProbes(id, l.probeTargets(now, id, monitor, state, health))
	}
}

// trackSeal updates sealedSince.
func (l *Loop) trackSeal(now time.Duration, monitor *groupMonitor, sealed bool) {
	switch {
	case !sealed:
		monitor.sealedSince = 0
	case monitor.sealedSince == 0:
		monitor.sealedSince = now
	}
}

// reportPrimaryAnswer reports an answer of the primary to the failover machine,
// in the form of a successful probe.
func (l *Loop) reportPrimaryAnswer(id model.GroupID, monitor *groupMonitor, state failover.GroupView, health PassiveHealth) {
	if health.Primary != state.Primary || health.Generation != state.Generation {
		return
	}
	if health.SentAt < monitor.lastReportedAnswerAt+minAnswerReportInterval {
		return
	}
	monitor.lastReportedAnswerAt = health.SentAt
	l.step(failover.Probed{
		Group:     id,
		Upstream:  state.Primary,
		StartedAt: health.SentAt,
		Reachable: true,
		Timeline:  state.Timeline,
		LSN:       health.LSN,
	})
}

// suspect starts or renews the suspicion of a group's upstream.
func (l *Loop) suspect(now time.Duration, id model.GroupID, monitor *groupMonitor, about model.UpstreamID) {
	monitor.suspectedUntil = now + suspicionTimeout
	if monitor.suspected {
		return
	}
	monitor.suspected = true
	events.Log(l.ctx, l.config.Logger, events.UpstreamSuspected,
		slog.String("group", string(id)), slog.String("upstream", string(about)))
}

// endSuspicion ends an expired suspicion.
func (l *Loop) endSuspicion(now time.Duration, id model.GroupID, monitor *groupMonitor) {
	if !monitor.suspected || now < monitor.suspectedUntil {
		return
	}
	monitor.suspected = false
	events.Log(l.ctx, l.config.Logger, events.UpstreamSuspicionEnded, slog.String("group", string(id)))
}

// suspectFromPeer takes over a peer's suspicion of a primary.
func (l *Loop) suspectFromPeer(message failover.PeerMessage) {
	observed, is := message.(failover.Observed)
	if !is {
		return
	}
	for _, observation := range observed.Groups {
		state, found := l.view.Group(observation.Group)
		monitor := l.groups[observation.Group]
		if observation.Reachable || !found || monitor == nil || state.Generation != observation.Generation {
			continue
		}
		monitor.peerSuspectsUntil = l.now() + suspicionTimeout
		l.suspect(l.now(), observation.Group, monitor, state.Primary)
	}
}

// Times of a promotion.
const (
	// promotionTimeout bounds the promotion: the request, and the wait until
	// the upstream is primary.
	promotionTimeout = 2500 * time.Millisecond
	// promotionEffectTime is the time within which a promotion that the platform has
	// accepted takes effect.
	promotionEffectTime = 1300 * time.Millisecond
	// promotionPollInterval is the time between two probes during that wait.
	promotionPollInterval = 60 * time.Millisecond
)
