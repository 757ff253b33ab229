package region

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// probeTargets returns the upstreams that are to be probed now. Only what is
// doubted is asked by all; what a change of primary needs to know of the others
// is asked by those that would carry it out.
func (l *Loop) probeTargets(
	now time.Duration, id model.GroupID, watched *groupWatch, state failover.GroupView, sign PassiveHealth,
) []model.UpstreamID {
	since := now - watched.probedAt
	if state.Primary == "" {
		if watched.unledSince == 0 {
			watched.unledSince = now
		}
		watched.changingSince = now
		isReader := l.reader(now) == l.config.Self.ID
		seeks := isReader || seeksPrimary(l.rankAmongLive(id), now-watched.unledSince)
		if l.view.Registered && seeks && since >= startInterval {
			return l.upstreamsOf(id)
		}
		return nil
	}
	watched.unledSince = 0
	primaryDoubted := state.PrimaryLost || slices.Contains(sign.Suspects, state.Primary) || now < watched.peerDoubtUntil
	changing := state.Sealed || primaryDoubted || l.upstreams[state.Primary].Draining
	if !changing {
		watched.changingSince = now
	}
	ranks := probersAfter(now - watched.changingSince)
	if since < spacedInterval(len(l.view.Members)) {
		return nil
	}
	if changing && state.SealRank < ranks {
		return l.upstreamsOf(id)
	}
	var targets []model.UpstreamID
	if primaryDoubted {
		targets = append(targets, state.Primary)
	}
	if since >= replicaInterval {
		for _, suspect := range sign.Suspects {
			if suspect != state.Primary {
				targets = append(targets, suspect)
			}
		}
	}
	return targets
}

// probersAfter returns the number of instances that probe all upstreams of a
// group whose primary may be replaced, by the time for which that has lasted.
func probersAfter(changing time.Duration) int {
	quick := min(probingRanks+int(changing/rankPatience), maxQuickRanks)
	return quick + int(changing/slowRankPatience)
}

// spacedInterval returns the least time between two probes of an upstream by
// one of the instances. The probes of many would keep it busy.
func spacedInterval(instances int) time.Duration {
	return probeInterval * time.Duration(max(1, instances/instancesPerInterval))
}

// seeksPrimary reports whether an instance of a rank probes the upstreams of a
// group that has had no known primary for a time, besides the reader. If all
// did, their connections alone would keep the upstreams busy.
func seeksPrimary(rank int, unled time.Duration) bool {
	if unled < startPatience {
		return false
	}
	return rank <= int((unled-startPatience)/startRankPatience)
}

// rankAmongLive returns the place of this instance among the live members, in an
// order that differs from group to group.
func (l *Loop) rankAmongLive(id model.GroupID) int {
	own := xxhash.Sum64String(string(id) + "/" + string(l.config.Self.ID))
	rank := 0
	for _, member := range l.view.Members {
		isOther := member.Member.ID != l.config.Self.ID && member.State == members.Live
		if isOther && xxhash.Sum64String(string(id)+"/"+string(member.Member.ID)) < own {
			rank++
		}
	}
	return rank
}

func (l *Loop) upstreamsOf(id model.GroupID) []model.UpstreamID {
	var all []model.UpstreamID
	for _, upstream := range l.upstreams {
		if upstream.Group == id {
			all = append(all, upstream.ID)
		}
	}
	return all
}

// probeAll probes the upstreams of a group, none of them twice at once.
func (l *Loop) probeAll(id model.GroupID, targets []model.UpstreamID) {
	watched := l.groups[id]
	if watched == nil || watched.probing > 0 || len(targets) == 0 {
		return
	}
	watched.probedAt = l.now()
	for _, target := range targets {
		upstream, known := l.upstreams[target]
		if !known {
			continue
		}
		watched.probing++
		l.tasks.Go(func() {
			probed, err := l.probe(upstream)
			l.post(func() {
				watched.probing--
				l.probed(probed, err)
			})
		})
	}
}

// probed takes the result of a probe. One that finds no room says only that
// the upstream is there.
func (l *Loop) probed(result failover.Probed, err error) {
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

// refusedTooLong is the time of refused probes after which an upstream is not
// only full: it drops the connections of lost instances after 3 s.
const refusedTooLong = 3500 * time.Millisecond

// isRefusing reports whether the upstream that refused a probe is not only full:
// it resets what it has taken, or it has been refusing for too long.
func (l *Loop) isRefusing(probed failover.Probed) bool {
	since, before := l.refusedSince[probed.Upstream]
	if !before {
		since = l.now()
		l.refusedSince[probed.Upstream] = since
	}
	if l.now()-since >= refusedTooLong {
		return true
	}
	return slices.Contains(l.config.Traffic.PassiveHealth(probed.Group).Refusing, probed.Upstream)
}

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
