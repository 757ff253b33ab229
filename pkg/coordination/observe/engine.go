// Package observe wraps a traffic.Engine to record metrics and log events. It does
// not change the engine's decisions.
package observe

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// logInterval is the least time between two log lines of an event that can happen
// for many units of work at once.
const logInterval = time.Second

// Engine is a traffic.Engine that counts the units of work of another one and logs
// its refusals. Failures of statements at the upstream are logged by the statement
// path. A unit that is retried counts once for each attempt, so that requests
// equal answers plus units in flight.
type Engine struct {
	inner     traffic.Engine
	logger    *slog.Logger
	now       func() time.Time
	groups    *cache[model.GroupID, *groupSeries]
	upstreams *cache[model.UpstreamID, *metrics.Histogram]
	overload  *cache[model.GroupID, *overload]

	writeLost, markNotStored *events.Throttle
}

var _ traffic.Engine = (*Engine)(nil)

// New returns an Engine that passes all calls on to inner.
func New(inner traffic.Engine, logger *slog.Logger) *Engine {
	return &Engine{
		inner:         inner,
		logger:        logger,
		now:           time.Now,
		groups:        groupCache(),
		upstreams:     upstreamCache(),
		overload:      newCache(func(model.GroupID) *overload { return &overload{} }),
		writeLost:     events.NewThrottle(events.WriteLost, logInterval),
		markNotStored: events.NewThrottle(events.MarkNotStored, logInterval),
	}
}

// Bundle calls the inner engine's Bundle.
func (e *Engine) Bundle() *bundle.Bundle { return e.inner.Bundle() }

// MaySend calls the inner engine's MaySend.
func (e *Engine) MaySend(t *traffic.Ticket) *verdict.Error { return e.inner.MaySend(t) }

// Admit calls the inner engine's Admit, counts the request and measures the wait.
func (e *Engine) Admit(ctx context.Context, s traffic.Statement) (*traffic.Ticket, *verdict.Error) {
	group := e.groupOf(s.Database)
	series := e.groups.get(group)
	series.requests.Inc()
	if s.Attempt > 0 {
		series.retries.Inc()
	}
	started := e.now()
	ticket, refused := e.inner.Admit(ctx, s)
	series.waited.Update(e.now().Sub(started).Seconds())
	if refused != nil {
		series.answers[refused.Outcome].Inc()
		e.recordRefusal(ctx, group, series, refused)
		return nil, refused
	}
	e.overload.get(group).recordAdmission(ctx, e, group)
	return ticket, nil
}

// groupOf returns the group of a database for labels, or labelNoGroup.
func (e *Engine) groupOf(database string) model.GroupID {
	group, ok := e.inner.Bundle().GroupOfDatabase(database)
	if !ok {
		return labelNoGroup
	}
	return group.ID
}

// recordRefusal counts and logs a refusal of Admit. One over the rate limit of a
// caller is no overload of the group; the limiter counts it.
func (e *Engine) recordRefusal(ctx context.Context, group model.GroupID, series *groupSeries, refused *verdict.Error) {
	if refused.Reason == traffic.OverRateReason {
		return
	}
	switch refused.Code {
	case verdict.Overloaded:
		series.shed.Inc()
		e.overload.get(group).recordRefusal(ctx, e, group)
	case verdict.WriteLost:
		series.writesLost.Inc()
		e.writeLost.Log(ctx, e.logger, slog.String("group", string(group)))
	}
}

// MayAcknowledge calls the inner engine's MayAcknowledge, and logs writes that were
// lost and marks that could not be stored.
func (e *Engine) MayAcknowledge(ctx context.Context, t *traffic.Ticket, at model.LSN) *verdict.Error {
	refused := e.inner.MayAcknowledge(ctx, t, at)
	if refused == nil {
		return nil
	}
	switch refused.Code {
	case verdict.MarkNotStored:
		e.markNotStored.Log(ctx, e.logger, ticketAttrs(t)...)
	case verdict.WriteLost:
		e.groups.get(t.Group.ID).writesLost.Inc()
		e.writeLost.Log(ctx, e.logger, ticketAttrs(t)...)
	}
	return refused
}

// ReleaseSlot calls the inner engine's ReleaseSlot if it has one.
func (e *Engine) ReleaseSlot(t *traffic.Ticket) {
	if inner, has := e.inner.(traffic.SlotReleaser); has {
		inner.ReleaseSlot(t)
	}
}

// RefundRate calls the inner engine's RefundRate if it has one.
func (e *Engine) RefundRate(charge *traffic.RateCharge) {
	if inner, has := e.inner.(traffic.RateRefunder); has {
		inner.RefundRate(charge)
	}
}

// Done calls the inner engine's Done and counts the answer.
func (e *Engine) Done(t *traffic.Ticket, r traffic.Result) {
	e.inner.Done(t, r)
	series := e.groups.get(t.Group.ID)
	series.answers[r.Outcome].Inc()
	if r.Latency > 0 {
		e.upstreams.get(t.Upstream.ID).Update(r.Latency.Seconds())
	}
	if r.Outcome == verdict.Ran {
		series.recordRun(t, e.now())
	}
}

// recordRun records the duration of a unit that an upstream executed and, for a
// read, whether the primary or a replica served it.
func (s *groupSeries) recordRun(t *traffic.Ticket, now time.Time) {
	s.seconds.Update(now.Sub(t.Statement.Arrived).Seconds())
	if !t.Statement.ReadOnly && !t.Route.ReadOnly {
		return
	}
	if t.Primary {
		s.primaryReads.Inc()
		return
	}
	s.replicaReads.Inc()
}

// ticketAttrs returns the attributes that identify a ticket in logs.
func ticketAttrs(t *traffic.Ticket) []slog.Attr {
	return []slog.Attr{
		slog.String("group", string(t.Group.ID)),
		slog.String("upstream", string(t.Upstream.ID)),
		slog.String("route", t.Route.Name),
		slog.String("caller", string(t.Statement.Caller)),
	}
}
