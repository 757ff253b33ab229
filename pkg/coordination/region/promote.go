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

// expected returns when the groups without a primary are expected to have one.
func (l *Loop) expected() map[model.GroupID]time.Duration {
	var expected map[model.GroupID]time.Duration
	now := l.now()
	for id, watched := range l.groups {
		at := l.expectedAt(now, id, watched)
		if at == 0 {
			continue
		}
		if expected == nil {
			expected = make(map[model.GroupID]time.Duration)
		}
		expected[id] = at
	}
	return expected
}

// expectedAt returns when a group is expected to have a primary; zero if that
// is not known.
func (l *Loop) expectedAt(now time.Duration, id model.GroupID, watched *groupWatch) time.Duration {
	state, led := l.view.Group(id)
	starting := now < expectFor && (!led || state.PermitUntil == 0)
	at := watched.sealedAt + switchTime
	switch {
	case starting:
		return now + expectSoon
	case watched.sealedAt == 0 || now > at+expectFor:
		return 0
	default:
		return max(at, now+expectSoon)
	}
}

// errNotLeading means that an upstream has not come to lead in time.
var errNotLeading = errors.New("the upstream does not lead the next term")

// promote orders a promotion, unless one of the group is under way.
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
		promoted := l.promoted(order, upstream, fence, head.Timeline)
		l.post(func() {
			delete(l.promoting, order.Group)
			l.step(promoted)
		})
	})
}

func (l *Loop) promoted(
	order failover.Promote, upstream catalog.Upstream, fence uint64, before uint32,
) failover.Promoted {
	result := failover.Promoted{Group: order.Group, Upstream: order.Upstream, Next: order.Next}
	ctx, cancel := context.WithTimeout(l.ctx, promotionTime)
	defer cancel()
	if err := l.config.Promotion.Promote(ctx, order.Group, order.Upstream, fence); err != nil {
		events.Log(l.ctx, l.config.Logger, events.PromotionFailed,
			slog.String("upstream", string(order.Upstream)), slog.Any("error", err))
		return result
	}
	sample, err := l.awaitLeading(ctx, upstream, before)
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

// awaitLeading asks the upstream until it leads a term after before.
func (l *Loop) awaitLeading(ctx context.Context, upstream catalog.Upstream, before uint32) (Sample, error) {
	for {
		asking, cancel := context.WithTimeout(ctx, probeTimeout)
		sample, err := l.config.Upstreams.Probe(asking, upstream)
		cancel()
		if err == nil && sample.Primary && sample.Term > before {
			return sample, nil
		}
		if ctx.Err() != nil {
			return Sample{}, errNotLeading
		}
		wait(ctx, promotionPoll)
	}
}
