package pgfront

import (
	"sync/atomic"

	"gypsumdock/pkg/verdict"
)

// counters are the counts of a server since its start.
type counters struct {
	accepted    atomic.Uint64
	ended       atomic.Uint64
	authFailed  atomic.Uint64
	requests    atomic.Uint64
	answered    atomic.Uint64
	abandoned   atomic.Uint64
	notRun      atomic.Uint64
	mayHaveRun  atomic.Uint64
	retried     atomic.Uint64
	acknowledge atomic.Uint64
	cancels     atomic.Uint64
}

// Stats are the counts of a server since its start. When no request is in
// flight, Requests equals Answered plus Abandoned.
type Stats struct {
	// Accepted counts connections; Closed those that are closed again.
	Accepted uint64
	Closed   uint64
	// AuthFailed counts connections refused for their login.
	AuthFailed uint64
	// Requests counts simple queries and batches up to a Sync; Answered those
	// that got their ReadyForQuery; Abandoned those whose caller was gone.
	Requests  uint64
	Answered  uint64
	Abandoned uint64
	// NotRun and MayHaveRun count the errors of the proxy by verdict.
	NotRun     uint64
	MayHaveRun uint64
	// Retried counts units of work that were tried again.
	Retried uint64
	// Acknowledged counts writes whose answer the engine allowed.
	Acknowledged uint64
	// Cancels counts cancel requests that met a running statement.
	Cancels uint64
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	c := &s.counters
	return Stats{
		Accepted:     c.accepted.Load(),
		Closed:       c.ended.Load(),
		AuthFailed:   c.authFailed.Load(),
		Requests:     c.requests.Load(),
		Answered:     c.answered.Load(),
		Abandoned:    c.abandoned.Load(),
		NotRun:       c.notRun.Load(),
		MayHaveRun:   c.mayHaveRun.Load(),
		Retried:      c.retried.Load(),
		Acknowledged: c.acknowledge.Load(),
		Cancels:      c.cancels.Load(),
	}
}

func (c *counters) countError(e *verdict.Error) {
	if e.Outcome == verdict.NotRun {
		c.notRun.Add(1)
		return
	}
	c.mayHaveRun.Add(1)
}
