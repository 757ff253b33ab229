package control

import (
	"context"
	"fmt"
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
)

// execute executes actions of the failover machine. I/O runs in goroutines of
// its own.
func (l *Loop) execute(actions []failover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case failover.ReadHead:
			l.readHead()
		case failover.WriteHead:
			l.tasks.Go(func() { l.writeHead(a) })
		case failover.SendPeer:
			l.config.Peers.Send(a.To, a.Message)
		case failover.ProbeNow:
			l.probers.triggerGroup(a.Group)
		case failover.Promote:
			l.promote(a)
		case failover.Report:
			l.logReport(a)
		}
	}
}

// readHead reads the head row. Up to maxConcurrentHeadReads reads overlap while
// the platform is slow.
func (l *Loop) readHead() {
	if l.headReadsInFlight.Add(1) > maxConcurrentHeadReads {
		l.headReadsInFlight.Add(-1)
		return
	}
	l.tasks.Go(func() {
		defer l.headReadsInFlight.Add(-1)
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		started := l.now()
		head, err := l.config.Heads.Read(ctx)
		l.post(failoverInput{failover.HeadRead{StartedAt: started, Head: head, Failed: err != nil}})
	})
}

func (l *Loop) writeHead(write failover.WriteHead) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	opID := fmt.Sprintf("%s/%d", l.config.Self.ID, write.Op)
	outcome, head := l.config.Heads.Write(ctx, opID, write.IfVersion, write.Head)
	l.post(failoverInput{failover.HeadWritten{Op: write.Op, Outcome: outcome, Head: head}})
}

// promote starts a promotion. It fails if the active bundle no longer contains
// the upstream.
func (l *Loop) promote(order failover.Promote) {
	_, current := l.adoption.Active()
	l.tasks.Go(func() {
		l.post(failoverInput{l.runPromotion(current, order)})
	})
}

func (l *Loop) runPromotion(current *bundle.Bundle, order failover.Promote) failover.Promoted {
	failed := failover.Promoted{Group: order.Group, Upstream: order.Upstream, Next: order.Next}
	group, found := current.Group(order.Group)
	if !found {
		return failed
	}
	upstream, found := group.Upstream(order.Upstream)
	if !found {
		return failed
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.config.PromoteTimeout)
	defer cancel()
	sample, err := l.config.Upstreams.Promote(ctx, group, upstream)
	if err != nil {
		events.Log(l.ctx, l.config.Logger, events.PromotionFailed,
			slog.String("upstream", string(upstream.ID)), slog.Any("error", err))
		return failed
	}
	done := failed
	done.OK = true
	done.Timeline = sample.Timeline
	done.StartLSN = sample.LSN
	return done
}

// executeAdoption executes an action of the adoption machine.
func (l *Loop) executeAdoption(action adoption.Action) {
	switch a := action.(type) {
	case adoption.Fetch:
		l.tasks.Go(func() { l.fetchBundle(a) })
	case adoption.Adopt:
		l.activeBundle.Store(&encodedBundle{digest: a.Ref.Digest, data: a.Data})
		l.lag.setBundle(l.now(), a.Bundle)
		l.config.Sessions.SetGroups(groupIDs(a.Bundle))
		l.probers.setBundle(a.Bundle)
		l.grants.setBundle(a.Bundle)
		l.step(groupSpecs(a.Bundle))
	case adoption.Announce:
		l.announceIfNew(a.Ref)
	case adoption.Report:
		l.logAdoptionReport(a)
	}
}

func (l *Loop) fetchBundle(order adoption.Fetch) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	var data []byte
	var err error
	if order.From == "" {
		data, err = l.config.Platform.Get(ctx, order.Ref.Digest)
	} else {
		data, err = l.config.Peers.FetchBundle(ctx, order.From, order.Ref.Digest)
	}
	l.post(adoptionInput{adoption.Fetched{Ref: order.Ref, From: order.From, Data: data, Failed: err != nil}})
}

// announceIfNew sends a status at once if peers weren't told of the
// configuration yet. The regular status repeats it.
func (l *Loop) announceIfNew(ref adoption.BundleRef) {
	if ref != l.announcedRef {
		l.announce()
	}
}

// announce sends the status of this instance to its peers.
func (l *Loop) announce() {
	ref, _ := l.adoption.Active()
	l.announcedRef = ref
	status := Status{
		Ref:           ref,
		Leaving:       l.leaving,
		Sessions:      l.config.Traffic.Sessions(),
		AdminAddress:  l.config.AdminAddress,
		UpstreamLoads: l.grants.upstreamLoads(),
	}
	if l.view.Head != nil {
		status.HeadVersion = l.view.Head.Version
	}
	l.config.Peers.Announce(status)
}
