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

// Times of probes. An upstream is asked for its state only while traffic does
// not show it: at the start, while it is doubted, and during a change of
// primary.
const (
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the least time between two probes of an upstream.
	probeInterval = 150 * time.Millisecond
	// startInterval is that of a group without a known primary.
	startInterval = 300 * time.Millisecond
	// startPatience is the time after which an instance other than the reader
	// probes a group without a known primary, and startRankPatience that after
	// which one more of them does.
	startPatience     = 2 * time.Second
	startRankPatience = 2 * time.Second
	// replicaInterval is that of replicas that do not answer.
	replicaInterval = 500 * time.Millisecond
	// probingRanks is the number of instances that probe all upstreams of a
	// group whose primary may be replaced.
	probingRanks = 2
	// rankPatience is the time after which one more of them does, up to
	// maxQuickRanks, and slowRankPatience that after which one more does then.
	rankPatience     = 500 * time.Millisecond
	maxQuickRanks    = 6
	slowRankPatience = 3 * time.Second
	// instancesPerInterval is the number of instances that may all probe an
	// upstream at probeInterval.
	instancesPerInterval = 14
	// doubtFor is how long a doubt lasts that nothing renews.
	doubtFor = time.Second
	// signInterval is the least time between two answers of a primary that the
	// failover machine is told of.
	signInterval = 250 * time.Millisecond
	// switchTime is the usual time from a seal to the first work of the next
	// primary.
	switchTime = 1100 * time.Millisecond
	// expectFor is the time after the usual end of a change of primary, and
	// after the start of the process, for which it is still expected soon.
	expectFor = 2 * time.Second
	// expectSoon is when it is then expected.
	expectSoon = 200 * time.Millisecond
)

// groupWatch is what the loop remembers of a group between two ticks.
type groupWatch struct {
	// doubtUntil is when the last doubt ends.
	doubtUntil time.Duration
	doubted    bool
	// peerDoubtUntil is when the last doubt of a peer about the primary ends.
	peerDoubtUntil time.Duration
	// unledSince is when the group was found to have no known primary; zero if
	// it has one.
	unledSince time.Duration
	// changingSince is when the primary was last found in no need of a change.
	changingSince time.Duration
	// probedAt is when the upstreams were last probed, and probing is the
	// number of probes in flight.
	probedAt time.Duration
	probing  int
	// signedAt is the newest sign that the failover machine was told of.
	signedAt time.Duration
	// sealedAt is when the group was found to be sealed; zero if it is not.
	sealedAt time.Duration
}

func (l *Loop) watch(id model.GroupID) *groupWatch {
	known := l.groups[id]
	if known == nil {
		known = &groupWatch{}
		l.groups[id] = known
	}
	return known
}

// specified reports whether the machine was last told the same.
func (l *Loop) specified(event failover.BundleAdopted) bool {
	return reflect.DeepEqual(event, l.lastSpec)
}

// known returns the upstreams of a group, in the order of their IDs. The
// primary of the newest known row is among them even if it has no entry, so
// that its loss is found.
func (l *Loop) known(id model.GroupID) []catalog.Upstream {
	found := l.registry.of(id)
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

// watchGroups feeds the machine with what traffic shows, and probes the groups
// of which it does not show enough.
func (l *Loop) watchGroups(now time.Duration) {
	for id, watched := range l.groups {
		state, led := l.view.Group(id)
		sign := l.config.Traffic.PassiveHealth(id)
		l.noteSeal(now, watched, led && state.Sealed)
		if led {
			l.feedSign(id, watched, state, sign)
		}
		if len(sign.Suspects) > 0 {
			l.doubt(now, id, watched, sign.Suspects[0])
		}
		l.settleDoubt(now, id, watched)
		l.probeAll(id, l.probeTargets(now, id, watched, state, sign))
	}
}

func (l *Loop) noteSeal(now time.Duration, watched *groupWatch, sealed bool) {
	switch {
	case !sealed:
		watched.sealedAt = 0
	case watched.sealedAt == 0:
		watched.sealedAt = now
	}
}

// feedSign tells the machine that the primary has answered.
func (l *Loop) feedSign(id model.GroupID, watched *groupWatch, state failover.GroupView, sign PassiveHealth) {
	if sign.Primary != state.Primary || sign.Generation != state.Generation {
		return
	}
	if sign.SentAt < watched.signedAt+signInterval {
		return
	}
	watched.signedAt = sign.SentAt
	l.step(failover.Probed{
		Group:     id,
		Upstream:  state.Primary,
		StartedAt: sign.SentAt,
		Reachable: true,
		Timeline:  state.Timeline,
		LSN:       sign.LSN,
	})
}

// doubt starts or renews the probes of a group.
func (l *Loop) doubt(now time.Duration, id model.GroupID, watched *groupWatch, about model.UpstreamID) {
	watched.doubtUntil = now + doubtFor
	if watched.doubted {
		return
	}
	watched.doubted = true
	events.Log(l.ctx, l.config.Logger, events.UpstreamDoubted,
		slog.String("group", string(id)), slog.String("upstream", string(about)))
}

func (l *Loop) settleDoubt(now time.Duration, id model.GroupID, watched *groupWatch) {
	if !watched.doubted || now < watched.doubtUntil {
		return
	}
	watched.doubted = false
	events.Log(l.ctx, l.config.Logger, events.UpstreamWell, slog.String("group", string(id)))
}

// doubtFrom takes the doubt of a peer about a primary.
func (l *Loop) doubtFrom(message failover.PeerMessage) {
	observed, is := message.(failover.Observed)
	if !is {
		return
	}
	for _, observation := range observed.Groups {
		state, led := l.view.Group(observation.Group)
		watched := l.groups[observation.Group]
		if observation.Reachable || !led || watched == nil || state.Generation != observation.Generation {
			continue
		}
		watched.peerDoubtUntil = l.now() + doubtFor
		l.doubt(l.now(), observation.Group, watched, state.Primary)
	}
}

// Times of a promotion.
const (
	// promotionTime bounds the wait for a promoted upstream to lead.
	promotionTime = 2500 * time.Millisecond
	// promotionPoll is the time between two questions to it.
	promotionPoll = 60 * time.Millisecond
)
