package instance

import (
	"context"
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/pgback"
)

// auditRounds is the number of rounds one after another in which a check must
// fail before it counts as a difference. The counters are not read at one
// moment, so that work in between makes them differ for a round.
const auditRounds = 30

// The checks, as they stand in the metric's label.
const (
	checkConnections = "connections"
	checkGrants      = "grants"
	checkRequests    = "requests"
)

// counts are the counters of one round.
type counts struct {
	pools    []pgback.Stats
	inFlight int
	sessions int
}

// difference is a check that failed in auditRounds rounds.
type difference struct {
	event events.Event
	check string
	attrs []slog.Attr
}

// auditKey names a check of one upstream, or of the process.
type auditKey struct {
	check    string
	upstream model.UpstreamID
}

// auditor compares counters that must agree.
type auditor struct{ failed map[auditKey]int }

func newAuditor() *auditor { return &auditor{failed: make(map[auditKey]int)} }

// round compares the counters and returns the checks that failed for the
// auditRounds-th time one after another.
func (a *auditor) round(now counts) []difference {
	var found []difference
	note := func(failed bool, event events.Event, key auditKey, attrs ...slog.Attr) {
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
		note(opened != int64(pool.Open), events.AuditConnections, auditKey{checkConnections, pool.Upstream}, attrs...)
		// A limit of zero lets none be opened, and leaves those that are: the
		// lease on the grant has lapsed.
		note(pool.Limit > 0 && pool.Open > pool.Limit, events.AuditGrants, auditKey{checkGrants, pool.Upstream}, attrs...)
	}
	// A session has one unit of work in flight at most.
	note(now.inFlight < 0 || now.inFlight > now.sessions, events.AuditRequests, auditKey{check: checkRequests},
		slog.Int("in_flight", now.inFlight), slog.Int("sessions", now.sessions))
	return found
}

// audit runs one round and logs what it finds.
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
