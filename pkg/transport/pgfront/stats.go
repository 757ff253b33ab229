package pgfront

import (
	"sync/atomic"

	"gypsumdock/pkg/verdict"
)

// counters are the internal counters behind Stats.
type counters struct {
	accepted     atomic.Uint64
	closed       atomic.Uint64
	authFailed   atomic.Uint64
	requests     atomic.Uint64
	answered     atomic.Uint64
	abandoned    atomic.Uint64
	notRun       atomic.Uint64
	mayHaveRun   atomic.Uint64
	retried      atomic.Uint64
	acknowledged atomic.Uint64
	cancels      atomic.Uint64
}

// Stats are the counts of a server since its start. When no request is in
// progress, Requests equals Answered plus Abandoned.
type Stats struct {
	// Accepted counts the accepted connections; Closed those of them that were closed.
	Accepted uint64
	Closed   uint64
	// AuthFailed counts the connections refused for failed authentication.
	AuthFailed uint64
	// Requests counts simple queries and batches up to a Sync; Answered those
	// that got their ReadyForQuery; Abandoned those whose caller had disconnected.
	Requests  uint64
	Answered  uint64
	Abandoned uint64
	// NotRun and MayHaveRun count the errors that the proxy raised, by outcome.
	NotRun     uint64
	MayHaveRun uint64
	// Retried counts the retries of units of work.
	Retried uint64
	// Acknowledged counts the writes whose answer the engine allowed.
	Acknowledged uint64
	// Cancels counts the cancel requests for a statement that was running or waiting.
	Cancels uint64
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	c := &s.counters
	return Stats{
		Accepted:     c.accepted.Load(),
		Closed:       c.closed.Load(),
		AuthFailed:   c.authFailed.Load(),
		Requests:     c.requests.Load(),
		Answered:     c.answered.Load(),
		Abandoned:    c.abandoned.Load(),
		NotRun:       c.notRun.Load(),
		MayHaveRun:   c.mayHaveRun.Load(),
		Retried:      c.retried.Load(),
		Acknowledged: c.acknowledged.Load(),
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
