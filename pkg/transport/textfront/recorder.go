package textfront

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/telemetry"
)

// The budgets of log lines a second. What is beyond is only counted.
const (
	servedBudget = 5
	retryBudget  = 20
	failedBudget = 60
)

// recorder writes a line for each decision on a request, within its budgets,
// and counts all of them.
type recorder struct {
	logger   *slog.Logger
	serves   budget
	retries  budget
	failures budget
}

func newRecorder(logger *slog.Logger) *recorder {
	return &recorder{
		logger:   logger,
		serves:   budget{lines: servedBudget},
		retries:  budget{lines: retryBudget},
		failures: budget{lines: failedBudget},
	}
}

// budget limits lines to a number in each second.
type budget struct {
	lines  int64
	second atomic.Int64
	used   atomic.Int64
}

// take reports whether a line may be written, and how many were left out in
// the second before.
func (b *budget) take() (allowed bool, leftOut int64) {
	now := time.Now().Unix()
	before := b.second.Load()
	if now != before && b.second.CompareAndSwap(before, now) {
		leftOut = max(0, b.used.Swap(0)-b.lines)
	}
	return b.used.Add(1) <= b.lines, leftOut
}

func (r *recorder) log(event events.Event, within *budget, attrs ...slog.Attr) {
	allowed, leftOut := within.take()
	if leftOut > 0 {
		events.Log(context.Background(), r.logger, events.LinesLeftOut,
			slog.String("lines", event.Name), slog.Int64("count", leftOut))
	}
	if allowed {
		events.Log(context.Background(), r.logger, event, attrs...)
	}
}

// describe returns the inputs of the decisions on a unit.
func (r *recorder) describe(u *unit, request statement.Request) []slog.Attr {
	now := u.dispatch().Now()
	attrs := []slog.Attr{
		slog.String("request", request.ID),
		slog.String("kind", request.Kind.String()),
		slog.String("route", u.route.Name),
		slog.String("group", string(u.route.Group)),
		slog.Uint64("configuration", uint64(u.dispatch().Catalog().Version)),
		slog.Int("tries", u.tries),
		slog.Duration("age", now-u.ask.Arrived),
	}
	if u.placement != nil {
		attrs = append(attrs,
			slog.String("upstream", string(u.placement.Upstream)),
			slog.Bool("primary", u.placement.Primary),
			slog.Uint64("generation", uint64(u.placement.Generation)),
			slog.String("since", u.placement.RequiredPosition.String()),
			slog.Duration("held", now-u.placement.PlacedAt))
	}
	if u.conn != nil && u.conn.Lender() != "" {
		attrs = append(attrs, slog.String("via", string(u.conn.Lender())))
	}
	return attrs
}

func (r *recorder) served(u *unit, request statement.Request, answer *statement.Answer) {
	group := string(u.route.Group)
	telemetry.Answers.With(group, "ran").Inc()
	telemetry.RequestSeconds.With(group).Update((u.dispatch().Now() - u.ask.Arrived).Seconds())
	target := "replica"
	if u.placement.Primary {
		target = "primary"
	}
	if !u.ask.NeedsPrimary {
		telemetry.Reads.With(group, target).Inc()
	}
	if allowed, _ := r.serves.take(); !allowed {
		return
	}
	events.Log(context.Background(), r.logger, events.RequestServed,
		append(r.describe(u, request), slog.String("position", answer.Position.String()))...)
}

// failure counts and logs a statement that was not carried out.
func (r *recorder) failure(u *unit, request statement.Request, code statement.FailureCode, outcome, cause string) {
	telemetry.Answers.With(string(u.route.Group), outcome).Inc()
	leader := u.dispatch().Leadership(u.route.Group)
	attrs := append(r.describe(u, request),
		slog.String("code", code.String()),
		slog.String("outcome", outcome),
		slog.String("cause", cause),
		slog.String("leader", string(leader.Primary)),
		slog.Uint64("leader_generation", uint64(leader.Generation)),
		slog.Bool("sealed", leader.Sealed),
		slog.Duration("permit_left", leader.PermitUntil-u.dispatch().Now()))
	r.log(events.RequestFailed, &r.failures, attrs...)
}

func (r *recorder) refused(u *unit, request statement.Request) {
	cause := ""
	if u.refusal != nil {
		cause = u.refusal.Reason.String()
	}
	telemetry.AdmissionShed.With(string(u.route.Group)).Inc()
	r.failure(u, request, statement.FailOverloaded, "not_run", cause)
}

func (r *recorder) aborted(u *unit, request statement.Request, code statement.FailureCode, cause string) {
	r.failure(u, request, code, "not_run", cause)
}

func (r *recorder) unknown(u *unit, request statement.Request, cause string) {
	r.failure(u, request, statement.FailUnknown, "may_have_run", cause)
}

func (r *recorder) answered(u *unit, request statement.Request, code statement.FailureCode, answer *statement.Answer) {
	r.failure(u, request, code, "ran", answer.Reason.String()+" "+answer.Detail)
}

func (r *recorder) retried(u *unit, request statement.Request, cause string) {
	telemetry.Retries.With(string(u.route.Group)).Inc()
	r.log(events.RequestRetried, &r.retries, append(r.describe(u, request), slog.String("cause", cause))...)
}

// failed logs a statement that led to no group.
func (r *recorder) failed(request statement.Request, code statement.FailureCode, cause string) {
	r.log(events.RequestFailed, &r.failures,
		slog.String("request", request.ID), slog.String("kind", request.Kind.String()),
		slog.String("code", code.String()), slog.String("outcome", "not_run"), slog.String("cause", cause))
}

func (r *recorder) refusedStart(start statement.Start, code statement.FailureCode) {
	r.log(events.RequestFailed, &r.failures,
		slog.String("database", start.Database), slog.String("kind", "start"),
		slog.String("code", code.String()), slog.String("outcome", "not_run"))
}
