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

// carryOut starts the I/O of the failover machine's actions.
func (l *Loop) carryOut(actions []failover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case failover.ReadHead:
			l.readHead()
		case failover.WriteHead:
			l.tasks.Go(func() { l.writeHead(a) })
		case failover.SendPeer:
			l.config.Peers.Send(a.To, a.Message)
		case failover.ProbeNow:
			l.probes.hurry(a.Group)
		case failover.Promote:
			l.promote(a)
		case failover.Report:
			l.report(a)
		}
	}
}

// readHead reads the head row. Reads overlap while the platform is slow, up to
// a bound.
func (l *Loop) readHead() {
	if l.reads.Add(1) > maxHeadReads {
		l.reads.Add(-1)
		return
	}
	l.tasks.Go(func() {
		defer l.reads.Add(-1)
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

// promote orders a promotion. The upstream may be gone from the configuration
// by now; then the order fails.
func (l *Loop) promote(order failover.Promote) {
	_, current := l.adoption.Active()
	l.tasks.Go(func() {
		l.post(failoverInput{l.promoted(current, order)})
	})
}

func (l *Loop) promoted(current *bundle.Bundle, order failover.Promote) failover.Promoted {
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

// carryOutAdoption starts the I/O of one action of the adoption machine.
func (l *Loop) carryOutAdoption(action adoption.Action) {
	switch a := action.(type) {
	case adoption.Fetch:
		l.tasks.Go(func() { l.fetch(a) })
	case adoption.Adopt:
		l.bundles.Store(&heldBundle{digest: a.Ref.Digest, data: a.Data})
		l.samples.adopted(l.now(), a.Bundle)
		l.config.Sessions.SetGroups(groupIDs(a.Bundle))
		l.probes.set(a.Bundle)
		l.granting.adopted(a.Bundle)
		l.step(specOf(a.Bundle))
	case adoption.Announce:
		l.announceNew(a.Ref)
	case adoption.Report:
		l.reportAdoption(a)
	}
}

func (l *Loop) fetch(order adoption.Fetch) {
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

// announceNew tells peers of a configuration that they were not told of. The
// status tells them again.
func (l *Loop) announceNew(ref adoption.BundleRef) {
	if ref != l.announced {
		l.announce()
	}
}

// announce tells peers the status of this instance.
func (l *Loop) announce() {
	ref, _ := l.adoption.Active()
	l.announced = ref
	status := Status{
		Ref:           ref,
		Leaving:       l.leaving,
		Sessions:      l.config.Traffic.Sessions(),
		AdminAddress:  l.config.AdminAddress,
		UpstreamLoads: l.granting.rooms(),
	}
	if l.view.Head != nil {
		status.HeadVersion = l.view.Head.Version
	}
	l.config.Peers.Announce(status)
}
