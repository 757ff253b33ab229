package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/verdict"
)

// runBatch runs b, answers it and releases it.
func (s *session) runBatch(b *batch) {
	defer b.release()
	if s.mustClose {
		s.server.counters.abandoned.Add(1)
		return
	}
	if s.runLocally(b) {
		return
	}
	defer s.startRequestSpan(b)()
	if failed := s.runWithRetries(b); failed != nil {
		s.failRequest(b, failed.Error)
		return
	}
	if s.unit.request.errored {
		s.undefineFrom(b, s.unit.request.confirmed)
	}
	if b.complete {
		s.completeRequest()
		return
	}
	s.unit.request.confirmed = 0
	s.skipping = s.unit.request.errored
	s.flushOutput()
}

// runLocally answers a batch that needs no upstream and reports whether it did.
func (s *session) runLocally(b *batch) bool {
	awaitsSync := s.unit != nil && (s.unit.awaitsSync || !s.unit.inTransaction)
	if awaitsSync {
		return false
	}
	switch {
	case b.isLocal():
		s.answerClosesLocally(b)
	case s.unit == nil && s.deferredBegin == nil && b.entries[0].refusal != nil:
		s.output.send(b.entries[0].refusal)
		s.undefineFrom(b, 0)
		s.skipping = !b.complete
	default:
		return false
	}
	if b.complete {
		s.finishRequest()
		return true
	}
	s.flushOutput()
	return true
}

func (s *session) answerClosesLocally(b *batch) {
	for i := range b.entries {
		if b.entries[i].kind == entryClose {
			s.output.send(&pgproto3.CloseComplete{})
		}
	}
}

// runWithRetries runs b, and retries it where that can't run anything twice. A unit
// of work that it opens counts once towards the caller's rate limit, and not at all
// if nothing of it was sent.
func (s *session) runWithRetries(b *batch) *failure {
	if s.unit != nil {
		return s.tryRun(b, false)
	}
	s.charge = traffic.RateCharge{}
	failed := s.tryRun(b, true)
	isSent := s.unit != nil && s.unit.ticket.Sent
	if failed == nil || failed.Outcome != verdict.NotRun || isSent {
		return failed
	}
	if engine, limits := s.server.config.Engine.(traffic.RateRefunder); limits {
		engine.RefundRate(&s.charge)
	}
	return failed
}

// tryRun is runWithRetries without the rate limit. The outcome of its failure is
// NotRun only if no attempt can have run anything.
func (s *session) tryRun(b *batch, isNewUnit bool) *failure {
	begin := s.deferredBegin
	before := s.output.rewindPoint()
	mayHaveRun := (*failure)(nil)
	for attempt := 0; ; attempt++ {
		failed := s.attempt(b, attempt)
		if failed == nil {
			return nil
		}
		if failed.Outcome != verdict.NotRun {
			mayHaveRun = failed
		}
		mayRetry := isNewUnit && !failed.final && attempt+1 < maxAttempts
		if !mayRetry || !s.isRetryable(failed.Error, before) {
			return preferMayHaveRun(mayHaveRun, failed)
		}
		s.server.counters.retried.Add(1)
		s.deferredBegin = begin
		if s.unit != nil {
			s.logLost(failed.Error)
			s.dropUnit(failed.Outcome, isUpstreamFailure(failed.Error))
		}
	}
}

// preferMayHaveRun returns mayHaveRun if it is set, since last describes only the last
// attempt.
func preferMayHaveRun(mayHaveRun, last *failure) *failure {
	if mayHaveRun == nil {
		return last
	}
	return mayHaveRun
}

func (s *session) attempt(b *batch, attempt int) *failure {
	if s.unit == nil {
		if failed := s.openUnit(b, attempt); failed != nil {
			return failed
		}
	}
	return s.exchange(b)
}

// isRetryable reports whether the unit can be retried after e: either nothing of
// it was run, or it is a read whose upstream failed before the caller got
// any part of the answer.
func (s *session) isRetryable(e *verdict.Error, before rewindPoint) bool {
	if s.unit == nil || !s.unit.ticket.Sent {
		return e.Outcome == verdict.NotRun && s.output.rewind(before)
	}
	t := s.unit.ticket
	isRead := s.unit.readOnly && !t.Route.AtMostOnce && isUpstreamFailure(e)
	return isRead && time.Now().Before(t.Deadline) && s.output.rewind(before)
}

// failRequest sends e in place of the rest of b's answer and drops the unit.
func (s *session) failRequest(b *batch, e *verdict.Error) {
	inTransaction := s.deferredBegin != nil || s.unit != nil && s.unit.inTransaction
	confirmed := 0
	commits := b.commits
	if s.unit != nil {
		if isUpstreamFailure(e) {
			s.logLost(e)
		}
		confirmed = s.unit.request.confirmed
		commits = commits || s.unit.commits
		s.dropUnit(e.Outcome, isUpstreamFailure(e))
	}
	s.deferredBegin = nil
	s.undefineFrom(b, confirmed)
	if inTransaction && !commits {
		s.abortCause = abortedError()
	}
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.sendError(e)
	if b.complete {
		s.finishRequest()
		return
	}
	s.skipping = true
	s.flushOutput()
}

// undefineFrom removes the statements that b's entries from index on were to
// define.
func (s *session) undefineFrom(b *batch, index int) {
	for i := index; i < len(b.entries); i++ {
		if b.entries[i].kind == entryParse {
			s.undefine(b.entries[i].name, b.entries[i].statement)
		}
	}
}
