package instance

import (
	"context"
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/pgback"
)

// auditRounds is the number of consecutive rounds in which a check must fail
// before a difference is reported. The counters are not read atomically, so
// concurrent work can make them differ in single rounds.
const auditRounds = 30

// Names of the checks, used as values of the metric's label.
const (
	checkConnections = "connections"
	checkGrants      = "grants"
	checkRequests    = "requests"
)

// counts are the counters that one round compares.
type counts struct {
	pools    []pgback.Stats
	inFlight int
	sessions int
}

// difference is a check that failed in auditRounds consecutive rounds.
type difference struct {
	event events.Event
	check string
	attrs []slog.Attr
}

// auditKey identifies a check of one upstream, or of the whole process if
// upstream is empty.
type auditKey struct {
	check    string
	upstream model.UpstreamID
}

// auditor compares counters that must agree. failed counts the consecutive
// failures of each check.
type auditor struct{ failed map[auditKey]int }

func newAuditor() *auditor { return &auditor{failed: make(map[auditKey]int)} }

// round compares the counters and returns the checks that have now failed in
// exactly auditRounds consecutive rounds, so that each is reported once.
func (a *auditor) round(now counts) []difference {
	var found []difference
	record := func(failed bool, event events.Event, key auditKey, attrs ...slog.Attr) {
		if !failed {
			delete(a.failed, key)
			return
		}
		a.failed[key]++
		if a.failed[key] == auditRounds {
			found = append(found, difference{event, key.check, attrs})
		}
	}
	for _, pool := range now.pools {
		attrs := []slog.Attr{
			slog.String("upstream", string(pool.Upstream)), slog.Uint64("opened", pool.Opened),
			slog.Uint64("closed", pool.Closed), slog.Int("open", pool.Open), slog.Int("limit", pool.Limit),
		}
		opened := int64(pool.Opened) - int64(pool.Closed)
		record(opened != int64(pool.Open), events.AuditConnections, auditKey{checkConnections, pool.Upstream}, attrs...)
		// A limit of zero means that the lease on the grant has expired: no
		// connection may be opened, but open ones are kept.
		record(pool.Limit > 0 && pool.Open > pool.Limit, events.AuditGrants, auditKey{checkGrants, pool.Upstream}, attrs...)
	}
	// A session has at most one unit of work in flight.
	record(now.inFlight < 0 || now.inFlight > now.sessions, events.AuditRequests, auditKey{check: checkRequests},
		slog.Int("in_flight", now.inFlight), slog.Int("sessions", now.sessions))
	return found
}

// audit runs one round, and counts and logs the differences found.
func (i *Instance) audit(ctx context.Context, a *auditor) {
	found := a.round(counts{
		pools:    i.pools.Stats(),
		inFlight: i.engine.InFlight(),
		sessions: i.front.SessionCount(),
	})
	for _, difference := range found {
		telemetry.AuditDifferences.With(difference.check).Inc()
		events.Log(ctx, i.logger, difference.event, difference.attrs...)
	}
}
