package control

import (
	"context"
	"time"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// ticks holds when the periodic duties were last done.
type ticks struct {
	status    time.Duration
	instances time.Duration
	adoption  time.Duration
	behind    time.Duration
	grants    time.Duration
}

// due reports whether interval has passed since last, and moves last on.
func due(now, interval time.Duration, last *time.Duration) bool {
	if now-*last < interval {
		return false
	}
	*last = now
	return true
}

// tick does the periodic duties.
func (l *Loop) tick() {
	now := l.now()
	l.step(failover.Tick{})
	l.drained()
	if due(now, adoption.TickInterval, &l.ticks.adoption) {
		l.adopt(adoption.Tick{})
	}
	if due(now, statusEvery(len(l.view.Members)), &l.ticks.status) {
		l.announce()
	}
	if due(now, instancesEvery(len(l.view.Members)), &l.ticks.instances) {
		l.tasks.Go(l.listInstances)
	}
	if due(now, catchUpInterval, &l.ticks.behind) {
		l.catchUp()
	}
	if due(now, grantInterval, &l.ticks.grants) {
		l.granting.tick()
	}
	l.followReplicas()
}

// statusEvery is the time between two statuses to a peer, by the members of
// the region.
func statusEvery(members int) time.Duration {
	return max(statusInterval, time.Duration(members)*statusSpacing)
}

// instancesEvery is the time between two reads of the platform's list, by the
// members of the region. The first that finds a member missing tells the others
// through the head row.
func instancesEvery(members int) time.Duration {
	return max(instancesInterval, time.Duration(members)*instancesSpacing)
}

// drained tells the failover machine of groups without writes in flight.
func (l *Loop) drained() {
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

// catchUp lets a new instance take the head row and the configuration from its
// peers while the platform is down.
func (l *Loop) catchUp() {
	if l.view.Head == nil || l.view.Head.Version == 0 {
		l.tasks.Go(l.askPeersForHead)
	}
	target := l.adoption.Target()
	ref, _ := l.adoption.Active()
	if target.Revision <= ref.Revision {
		return
	}
	for _, peer := range l.config.Peers.Peers() {
		l.adopt(adoption.RevisionSeen{Ref: target, From: peer})
	}
}

// askPeersForHead asks any peer for the head row.
func (l *Loop) askPeersForHead() {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Peers.FetchHead(ctx)
	if err != nil {
		return
	}
	l.post(failoverInput{failover.PeerReceived{Message: failover.HeadSent{Head: head}}})
}

// followReplicas proves positions that were given without a permit, and tells
// the sessions which marks need not be kept any more.
func (l *Loop) followReplicas() {
	_, current := l.adoption.Active()
	if current == nil {
		return
	}
	for i := range current.Groups {
		group := &current.Groups[i]
		if state, found := l.view.Group(group.ID); found {
			l.samples.prove(group, state)
		}
		if at, known := l.samples.passed(group, &l.view); known && l.isConfirmed() {
			l.config.Sessions.Passed(group.ID, at)
		}
	}
}

// isConfirmed reports whether the configuration in force is that of the head
// row, within the lease. Otherwise other instances may use replicas that this
// one does not know of, and marks have to be kept for them.
func (l *Loop) isConfirmed() bool {
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
