package region

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// writesExpectedAt returns the times at which the groups without a primary are
// expected to have one.
func (l *Loop) writesExpectedAt() map[model.GroupID]time.Duration {
	var writesExpectedAt map[model.GroupID]time.Duration
	now := l.now()
	for id, monitor := range l.groups {
		at := l.groupWritesExpectedAt(now, id, monitor)
		if at == 0 {
			continue
		}
		if writesExpectedAt == nil {
			writesExpectedAt = make(map[model.GroupID]time.Duration)
		}
		writesExpectedAt[id] = at
	}
	return writesExpectedAt
}

// groupWritesExpectedAt returns the time at which a group is expected to have a
// primary; zero if there is no estimate.
func (l *Loop) groupWritesExpectedAt(now time.Duration, id model.GroupID, monitor *groupMonitor) time.Duration {
	state, found := l.view.Group(id)
	starting := now < expectationTimeout && (!found || state.PermitUntil == 0)
	at := monitor.sealedSince + typicalFailoverTime
	switch {
	case starting:
		return now + expectedSoonDelay
	case monitor.sealedSince == 0 || now > at+expectationTimeout:
		return 0
	default:
		return max(at, now+expectedSoonDelay)
	}
}

// errNotPrimary means that an upstream did not become primary in time.
var errNotPrimary = errors.New("the upstream did not become primary of a new term in time")

// promote starts a promotion, unless one is in progress in the group.
func (l *Loop) promote(order failover.Promote) {
	upstream, found := l.upstreams[order.Upstream]
	if l.promoting[order.Group] || !found || l.view.Head == nil {
		return
	}
	head, _ := l.view.Head.Group(order.Group)
	fence := uint64(l.view.Head.Version)
	l.promoting[order.Group] = true
	events.Log(l.ctx, l.config.Logger, events.PromotionOrdered,
		slog.String("group", string(order.Group)), slog.String("upstream", string(order.Upstream)),
		slog.Uint64("fence", fence), slog.Uint64("generation", uint64(order.Next)))
	l.tasks.Go(func() {
		promoted := l.runPromotion(order, upstream, fence, head)
		l.post(func() {
			delete(l.promoting, order.Group)
			l.step(promoted)
		})
	})
}

// runPromotion requests the promotion from the platform and waits until the
// upstream is primary.
func (l *Loop) runPromotion(
	order failover.Promote, upstream catalog.Upstream, fence uint64, head model.GroupHead,
) failover.Promoted {
	result := failover.Promoted{Group: order.Group, Upstream: order.Upstream, Next: order.Next}
	ctx, cancel := context.WithTimeout(l.ctx, promotionTimeout)
	defer cancel()
	if err := l.config.Promotion.Promote(ctx, order.Group, order.Upstream, fence); err != nil {
		events.Log(l.ctx, l.config.Logger, events.PromotionFailed,
			slog.String("upstream", string(order.Upstream)), slog.Any("error", err))
		return result
	}
	sample, err := l.awaitPrimary(ctx, upstream, head)
	if err != nil {
		events.Log(l.ctx, l.config.Logger, events.PromotionFailed,
			slog.String("upstream", string(order.Upstream)), slog.Any("error", err))
		return result
	}
	result.OK = true
	result.Timeline = sample.Term
	result.StartLSN = sample.ReceivedLSN
	return result
}

// awaitPrimary probes the upstream, whose promotion the platform has accepted, until
// the promotion has had its effect.
func (l *Loop) awaitPrimary(ctx context.Context, upstream catalog.Upstream, head model.GroupHead) (Sample, error) {
	unchangedFrom := l.now() + promotionEffectTime
	for {
		startedAt := l.now()
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		sample, err := l.config.Upstreams.Probe(probeCtx, upstream)
		cancel()
		if err == nil && isPromoted(upstream.ID, sample, head, startedAt >= unchangedFrom) {
			return sample, nil
		}
		if ctx.Err() != nil {
			return Sample{}, errNotPrimary
		}
		sleep(ctx, promotionPollInterval)
	}
}

// isPromoted reports whether a sample of an upstream shows the effect of an accepted
// promotion: it is the primary of a term later than that of head. The platform changes
// nothing for its present primary, so the primary of head may also be in the term of
// head, once promotionEffectTime has passed; settled is true for a sample from after it.
func isPromoted(id model.UpstreamID, sample Sample, head model.GroupHead, settled bool) bool {
	if !sample.Primary {
		return false
	}
	unchanged := id == head.Primary && sample.Term == head.Timeline
	return sample.Term > head.Timeline || unchanged && settled
}
