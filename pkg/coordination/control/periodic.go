package control

import (
	"context"
	"time"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// lastRuns holds the times at which the periodic tasks last ran.
type lastRuns struct {
	status    time.Duration
	instances time.Duration
	adoption  time.Duration
	peerFetch time.Duration
	grants    time.Duration
}

// due reports whether interval has passed since *last, and sets *last to now if
// so.
func due(now, interval time.Duration, last *time.Duration) bool {
	if now-*last < interval {
		return false
	}
	*last = now
	return true
}

// tick runs the periodic tasks that are due.
func (l *Loop) tick() {
	now := l.now()
	l.step(failover.Tick{})
	l.reportDrained()
	if due(now, adoption.TickInterval, &l.lastRuns.adoption) {
		l.stepAdoption(adoption.Tick{})
	}
	if due(now, statusIntervalFor(len(l.view.Members)), &l.lastRuns.status) {
		l.announce()
	}
	if due(now, listIntervalFor(len(l.view.Members)), &l.lastRuns.instances) {
		l.tasks.Go(l.listInstances)
	}
	if due(now, peerFetchInterval, &l.lastRuns.peerFetch) {
		l.fetchFromPeers()
	}
	if due(now, usageReportInterval, &l.lastRuns.grants) {
		l.grants.reportUsage()
	}
	l.trackReplicas()
}

// statusIntervalFor returns the time between two statuses of an instance, given
// the number of members.
func statusIntervalFor(members int) time.Duration {
	return max(minStatusInterval, time.Duration(members)*statusIntervalPerMember)
}

// listIntervalFor returns the time between two reads of the platform's list by
// an instance, given the number of members. The first instance that finds a
// member missing tells the others through the head row.
func listIntervalFor(members int) time.Duration {
	return max(minListInterval, time.Duration(members)*listIntervalPerMember)
}

// reportDrained tells the failover machine which draining groups have no writes
// in flight any more.
func (l *Loop) reportDrained() {
	for _, group := range l.view.Groups {
		if !group.Draining || l.config.Traffic.WritesInFlight(group.ID, group.Generation) > 0 {
			continue
		}
		l.step(failover.WritesDrained{Group: group.ID, Generation: group.Generation})
	}
}

func (l *Loop) listInstances() {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	list, err := l.config.Platform.Instances(ctx)
	if err != nil {
		return
	}
	l.post(instancesInput{list})
}

// fetchFromPeers gets the head row and the bundle from peers as long as this
// instance lacks them, so that it can start while the platform is down.
func (l *Loop) fetchFromPeers() {
	if l.view.Head == nil || l.view.Head.Version == 0 {
		l.tasks.Go(l.fetchHeadFromPeers)
	}
	target := l.adoption.Target()
	ref, _ := l.adoption.Active()
	if target.Revision <= ref.Revision {
		return
	}
	for _, peer := range l.config.Peers.Peers() {
		l.stepAdoption(adoption.RevisionSeen{Ref: target, From: peer})
	}
}

// fetchHeadFromPeers requests the head row from any peer.
func (l *Loop) fetchHeadFromPeers() {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Peers.FetchHead(ctx)
	if err != nil {
		return
	}
	l.post(failoverInput{failover.PeerReceived{Message: failover.HeadSent{Head: head}}})
}

// trackReplicas confirms primary positions that were read without a valid
// permit, and tells Sessions which marks all replicas have applied.
func (l *Loop) trackReplicas() {
	_, current := l.adoption.Active()
	if current == nil {
		return
	}
	for i := range current.Groups {
		group := &current.Groups[i]
		if state, found := l.view.Group(group.ID); found {
			l.lag.confirmPrimaryPosition(group, state)
		}
		if at, known := l.lag.appliedByAll(group, &l.view); known && l.isBundleConfirmed() {
			l.config.Sessions.AllReplicasApplied(group.ID, at)
		}
	}
}

// isBundleConfirmed reports whether the active bundle is the one in a head row
// that was confirmed within the permit lifetime. Otherwise other instances may
// use replicas that this one doesn't know, and marks have to be kept for them.
func (l *Loop) isBundleConfirmed() bool {
	ref, _ := l.adoption.Active()
	head := l.view.Head
	fresh := l.now() < l.view.HeadConfirmedAt+l.config.Failover.PermitLifetime
	return head != nil && ref.Revision >= head.Revision && fresh
}

func groupIDs(current *bundle.Bundle) []model.GroupID {
	ids := make([]model.GroupID, 0, len(current.Groups))
	for _, group := range current.Groups {
		ids = append(ids, group.ID)
	}
	return ids
}
