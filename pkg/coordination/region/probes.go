package region

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// probeTargets returns the upstreams that this instance has to probe now. All
// instances probe a suspected upstream. Only those that would carry out a
// change of primary probe the other upstreams of the group, whose state the
// change depends on.
func (l *Loop) probeTargets(
	now time.Duration, id model.GroupID, monitor *groupMonitor, state failover.GroupView, health PassiveHealth,
) []model.UpstreamID {
	since := now - monitor.lastProbeAt
	if state.Primary == "" {
		if monitor.noPrimarySince == 0 {
			monitor.noPrimarySince = now
		}
		monitor.lastStableAt = now
		rank := l.serverRank(id)
		seeks := rank == 0 || seeksPrimary(rank, now-monitor.noPrimarySince)
		if l.view.Registered && seeks && since >= noPrimaryProbeInterval {
			return l.upstreamIDs(id)
		}
		return nil
	}
	monitor.noPrimarySince = 0
	primarySuspected := state.PrimaryLost || slices.Contains(health.Suspects, state.Primary) || now < monitor.peerSuspectsUntil
	changing := state.Sealed || primarySuspected || l.upstreams[state.Primary].Draining
	if !changing {
		monitor.lastStableAt = now
	}
	probers := proberCount(now - monitor.lastStableAt)
	if since < probeIntervalFor(len(l.serving[id].Servers)) {
		return nil
	}
	if changing && state.SealRank < probers {
		return l.upstreamIDs(id)
	}
	var targets []model.UpstreamID
	if primarySuspected {
		targets = append(targets, state.Primary)
	}
	if since >= replicaProbeInterval {
		for _, suspect := range health.Suspects {
			if suspect != state.Primary {
				targets = append(targets, suspect)
			}
		}
	}
	return targets
}

// proberCount returns the number of instances that probe all upstreams of a
// group whose primary may be replaced, given for how long that has been so.
func proberCount(changing time.Duration) int {
	quick := min(initialProbers+int(changing/quickProberDelay), maxQuickProbers)
	return quick + int(changing/slowProberDelay)
}

// probeIntervalFor returns the least time between two probes of an upstream by
// one of the instances. It grows with their number, since the probes would
// otherwise keep the upstream busy.
func probeIntervalFor(instances int) time.Duration {
	return minProbeInterval * time.Duration(max(1, instances/instancesPerInterval))
}

// seeksPrimary reports whether a server other than the first probes the upstreams
// of a group, given its rank and for how long the group has had no known
// primary. If all servers did, their connections alone would keep the
// upstreams busy.
func seeksPrimary(rank int, noPrimaryFor time.Duration) bool {
	if noPrimaryFor < noPrimaryProbeDelay {
		return false
	}
	return rank <= int((noPrimaryFor-noPrimaryProbeDelay)/noPrimaryProberDelay)
}

// upstreamIDs returns the IDs of a group's upstreams.
func (l *Loop) upstreamIDs(id model.GroupID) []model.UpstreamID {
	var all []model.UpstreamID
	for _, upstream := range l.upstreams {
		if upstream.Group == id {
			all = append(all, upstream.ID)
		}
	}
	return all
}

// startProbes starts probes of upstreams of a group, unless earlier ones are in
// progress.
func (l *Loop) startProbes(id model.GroupID, targets []model.UpstreamID) {
	monitor := l.groups[id]
	if monitor == nil || monitor.probesInFlight > 0 || len(targets) == 0 {
		return
	}
	monitor.lastProbeAt = l.now()
	for _, target := range targets {
		upstream, known := l.upstreams[target]
		if !known {
			continue
		}
		monitor.probesInFlight++
		l.tasks.Go(func() {
			probed, err := l.probe(upstream)
			l.post(func() {
				monitor.probesInFlight--
				l.handleProbe(probed, err)
			})
		})
	}
}

// handleProbe processes the result of a probe. An upstream without capacity for
// the probe is reachable; nothing else is known of it.
func (l *Loop) handleProbe(result failover.Probed, err error) {
	busy := errors.Is(err, ErrBusy) || errors.Is(err, ErrTooManyConnections) && !l.isRefusing(result)
	if !errors.Is(err, ErrTooManyConnections) {
		delete(l.refusedSince, result.Upstream)
	}
	if result.Reachable || busy {
		l.config.Traffic.ProbeAnswered(result.Group, result.Upstream)
	}
	if !busy {
		l.step(result)
	}
}

// maxRefusalTime is the time of refused probes after which the limit on
// connections doesn't explain them any more: an upstream drops the connections
// of lost instances after 3 s.
const maxRefusalTime = 3500 * time.Millisecond

// isRefusing reports whether the upstream that refused a probe does so for
// another reason than its limit: it also resets connections that it had
// accepted, or it has refused all probes for maxRefusalTime.
func (l *Loop) isRefusing(probed failover.Probed) bool {
	since, exists := l.refusedSince[probed.Upstream]
	if !exists {
		since = l.now()
		l.refusedSince[probed.Upstream] = since
	}
	if l.now()-since >= maxRefusalTime {
		return true
	}
	return slices.Contains(l.config.Traffic.PassiveHealth(probed.Group).Refusing, probed.Upstream)
}

// probe probes an upstream once.
func (l *Loop) probe(upstream catalog.Upstream) (failover.Probed, error) {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	probed := failover.Probed{Group: upstream.Group, Upstream: upstream.ID, StartedAt: l.now()}
	sample, err := l.config.Upstreams.Probe(ctx, upstream)
	if err != nil {
		return probed, err
	}
	probed.Reachable = true
	probed.Timeline = sample.Term
	probed.Recovering = !sample.Primary
	probed.LSN = sample.ReceivedLSN
	return probed, nil
}
