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

// Log lines per second for each kind of event. Lines above the limit are only
// counted.
const (
	servedLinesPerSecond  = 5
	retriedLinesPerSecond = 20
	failedLinesPerSecond  = 60
)

// recorder counts the outcome of each statement, and logs it within the limits
// of lines per second.
type recorder struct {
	logger       *slog.Logger
	servedLines  lineLimiter
	retriedLines lineLimiter
	failedLines  lineLimiter
}

func newRecorder(logger *slog.Logger) *recorder {
	return &recorder{
		logger:       logger,
		servedLines:  lineLimiter{perSecond: servedLinesPerSecond},
		retriedLines: lineLimiter{perSecond: retriedLinesPerSecond},
		failedLines:  lineLimiter{perSecond: failedLinesPerSecond},
	}
}

// lineLimiter limits the log lines in each second.
type lineLimiter struct {
	perSecond int64
	second    atomic.Int64
	used      atomic.Int64
}

// allow reports whether a line may be logged. At the first call in a new second
// it also returns the number of lines that were suppressed since the second
// before.
func (l *lineLimiter) allow() (allowed bool, suppressed int64) {
	now := time.Now().Unix()
	previous := l.second.Load()
	if now != previous && l.second.CompareAndSwap(previous, now) {
		suppressed = max(0, l.used.Swap(0)-l.perSecond)
	}
	return l.used.Add(1) <= l.perSecond, suppressed
}

// log logs an event within limiter. A line LinesLeftOut comes first if lines
// were suppressed.
func (r *recorder) log(event events.Event, limiter *lineLimiter, attrs ...slog.Attr) {
	allowed, suppressed := limiter.allow()
	if suppressed > 0 {
		events.Log(context.Background(), r.logger, events.LinesLeftOut,
			slog.String("lines", event.Name), slog.Int64("count", suppressed))
	}
	if allowed {
		events.Log(context.Background(), r.logger, event, attrs...)
	}
}

// describe returns the log attributes of a unit and of the statement in
// progress.
func (r *recorder) describe(u *unit, request statement.Request) []slog.Attr {
	now := u.dispatch().Now()
	attrs := []slog.Attr{
		slog.String("request", request.ID),
		slog.String("kind", request.Kind.String()),
		slog.String("route", u.route.Name),
		slog.String("group", string(u.route.Group)),
		slog.Uint64("configuration", uint64(u.dispatch().Catalog().Version)),
		slog.Int("tries", u.attempts),
		slog.Duration("age", now-u.spec.Arrived),
	}
	if u.spec.Caller != "" {
		attrs = append(attrs, slog.String("caller", string(u.spec.Caller)))
	}
	if u.placement != nil {
		attrs = append(attrs,
			slog.String("upstream", string(u.placement.Upstream)),
			slog.Bool("primary", u.placement.Primary),
			slog.Uint64("generation", uint64(u.placement.Generation)),
			slog.String("since", u.placement.RequiredPosition.String()),
			slog.Duration("held", now-u.placement.PlacedAt))
	}
	return attrs
}

// served records a statement whose answer is given to the caller.
func (r *recorder) served(u *unit, request statement.Request, answer *statement.Answer) {
	group := string(u.route.Group)
	telemetry.Answers.With(group, "ran").Inc()
	telemetry.RequestSeconds.With(group).Update((u.dispatch().Now() - u.spec.Arrived).Seconds())
	target := "replica"
	if u.placement.Primary {
		target = "primary"
	}
	if !u.spec.NeedsPrimary {
		telemetry.Reads.With(group, target).Inc()
	}
	if allowed, _ := r.servedLines.allow(); !allowed {
		return
	}
	events.Log(context.Background(), r.logger, events.RequestServed,
		append(r.describe(u, request), slog.String("position", answer.Position.String()))...)
}

// failure records a statement that was not carried out.
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
	r.log(events.RequestFailed, &r.failedLines, attrs...)
}

// refused records a unit that got no upstream.
func (r *recorder) refused(u *unit, request statement.Request) {
	if u.denied.IsDenial() {
		r.failure(u, request, statement.FailDenied, "not_run", u.denied.String())
		return
	}
	cause := ""
	if u.isOverRate() {
		r.failure(u, request, statement.FailOverloaded, "not_run", overRateReason)
		return
	}
	if u.refusal != nil {
		cause = u.refusal.Reason.String()
	}
	telemetry.AdmissionRefused.With(string(u.route.Group)).Inc()
	r.failure(u, request, statement.FailOverloaded, "not_run", cause)
}

// aborted records a transaction that was rolled back.
func (r *recorder) aborted(u *unit, request statement.Request, code statement.FailureCode, cause string) {
	r.failure(u, request, code, "not_run", cause)
}

// unknown records a statement whose outcome is unknown.
func (r *recorder) unknown(u *unit, request statement.Request, cause string) {
	r.failure(u, request, statement.FailUnknown, "may_have_run", cause)
}

// upstreamFailed records a statement that an upstream answered with an error.
func (r *recorder) upstreamFailed(u *unit, request statement.Request, code statement.FailureCode, answer *statement.Answer) {
	r.failure(u, request, code, "ran", answer.Reason.String()+" "+answer.Detail)
}

// retried records a statement that is sent again.
func (r *recorder) retried(u *unit, request statement.Request, cause string) {
	telemetry.Retries.With(string(u.route.Group)).Inc()
	r.log(events.RequestRetried, &r.retriedLines, append(r.describe(u, request), slog.String("cause", cause))...)
}

// describeForwarded returns the log attributes of a forwarded unit and of the
// statement in progress.
func (r *recorder) describeForwarded(f *forwarding, request statement.Request) []slog.Attr {
	dispatch := f.session.server.config.Dispatch
	return []slog.Attr{
		slog.String("request", request.ID),
		slog.String("kind", request.Kind.String()),
		slog.String("route", f.route.Name),
		slog.String("group", string(f.route.Group)),
		slog.Uint64("configuration", uint64(dispatch.Catalog().Version)),
		slog.Int("tries", f.attempts),
		slog.Duration("age", dispatch.Now()-f.arrived),
		slog.String("via", string(f.server)),
	}
}

// forwarded records a statement that a server has answered. The server's log
// has the upstream, the verdict and its cause.
func (r *recorder) forwarded(f *forwarding, request statement.Request) {
	telemetry.Forwarded.With(string(f.route.Group), "answered").Inc()
	if allowed, _ := r.servedLines.allow(); !allowed {
		return
	}
	events.Log(context.Background(), r.logger, events.RequestForwarded, r.describeForwarded(f, request)...)
}

// forwardFailed records a statement that no server has answered.
func (r *recorder) forwardFailed(f *forwarding, request statement.Request, code statement.FailureCode, outcome, cause string) {
	telemetry.Forwarded.With(string(f.route.Group), outcome).Inc()
	r.log(events.RequestFailed, &r.failedLines, append(r.describeForwarded(f, request),
		slog.String("code", code.String()), slog.String("outcome", outcome), slog.String("cause", cause))...)
}

// forwardRetried records an attempt at a server that failed.
func (r *recorder) forwardRetried(f *forwarding, request statement.Request, cause string) {
	telemetry.Retries.With(string(f.route.Group)).Inc()
	r.log(events.RequestRetried, &r.retriedLines, append(r.describeForwarded(f, request), slog.String("cause", cause))...)
}

// rejected records a statement that was refused before a unit of work existed
// for it.
func (r *recorder) rejected(request statement.Request, code statement.FailureCode, cause string) {
	r.log(events.RequestFailed, &r.failedLines,
		slog.String("request", request.ID), slog.String("kind", request.Kind.String()),
		slog.String("code", code.String()), slog.String("outcome", "not_run"), slog.String("cause", cause))
}

// startRefused records a session that was refused, with the name that it gave for
// the database.
func (r *recorder) startRefused(database string, code statement.FailureCode) {
	r.log(events.RequestFailed, &r.failedLines,
		slog.String("database", database), slog.String("kind", "start"),
		slog.String("code", code.String()), slog.String("outcome", "not_run"))
}
