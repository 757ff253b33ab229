package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/verdict"
)

// runBatch carries out b and releases it.
func (s *session) runBatch(b *batch) {
	defer b.release()
	if s.broken {
		s.server.counters.abandoned.Add(1)
		return
	}
	if s.runLocally(b) {
		return
	}
	defer s.startSpan(b)()
	if failed := s.try(b); failed != nil {
		s.giveUp(b, failed.Error)
		return
	}
	if s.unit.x.errored {
		s.undefineAfter(b, s.unit.x.confirmed)
	}
	if b.complete {
		s.complete()
		return
	}
	s.unit.x.confirmed = 0
	s.skipping = s.unit.x.errored
	s.flushOutput()
}

// runLocally answers a batch that needs no upstream and reports whether it did.
func (s *session) runLocally(b *batch) bool {
	awaitsSync := s.unit != nil && (s.unit.needsSync || !s.unit.explicit)
	if awaitsSync {
		return false
	}
	switch {
	case b.isLocal():
		s.closeLocally(b)
	case s.unit == nil && s.begin == nil && b.entries[0].refusal != nil:
		s.output.send(b.entries[0].refusal)
		s.undefineAfter(b, 0)
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

func (s *session) closeLocally(b *batch) {
	for i := range b.entries {
		if b.entries[i].kind == entryClose {
			s.output.send(&pgproto3.CloseComplete{})
		}
	}
}

// try carries out b, and again where that can't run anything twice.
func (s *session) try(b *batch) *failure {
	isFresh := s.unit == nil
	begin := s.begin
	before := s.output.mark()
	for attempt := 0; ; attempt++ {
		failed := s.attempt(b, attempt)
		if failed == nil {
			return nil
		}
		mayRepeat := isFresh && !failed.final && attempt+1 < maxAttempts
		if !mayRepeat || !s.isRepeatable(failed.Error, before) {
			return failed
		}
		s.server.counters.retried.Add(1)
		s.begin = begin
		if s.unit != nil {
			s.logLost(failed.Error)
			s.dropUnit(failed.Outcome, isLost(failed.Error))
		}
	}
}

func (s *session) attempt(b *batch, attempt int) *failure {
	if s.unit == nil {
		if failed := s.openUnit(b, attempt); failed != nil {
			return failed
		}
	}
	return s.exchange(b)
}

// isRepeatable reports whether the unit can be tried again after e: nothing of
// it was run, or it is a read whose upstream was lost before the caller got
// any part of the answer.
func (s *session) isRepeatable(e *verdict.Error, before mark) bool {
	if s.unit == nil || !s.unit.ticket.Sent {
		return e.Outcome == verdict.NotRun && s.output.rewind(before)
	}
	t := s.unit.ticket
	isRead := s.unit.readOnly && !t.Route.AtMostOnce && isLost(e)
	return isRead && time.Now().Before(t.Deadline) && s.output.rewind(before)
}

// giveUp answers b with e in place of what is missing of its answer.
func (s *session) giveUp(b *batch, e *verdict.Error) {
	inTransaction := s.begin != nil || s.unit != nil && s.unit.explicit
	confirmed := 0
	commits := b.commits
	if s.unit != nil {
		if isLost(e) {
			s.logLost(e)
		}
		confirmed = s.unit.x.confirmed
		commits = commits || s.unit.commits
		s.dropUnit(e.Outcome, isLost(e))
	}
	s.begin = nil
	s.undefineAfter(b, confirmed)
	if inTransaction && !commits {
		s.failed = abortedError()
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

// undefineAfter takes back the statements that b's entries from index on were
// to define.
func (s *session) undefineAfter(b *batch, index int) {
	for i := index; i < len(b.entries); i++ {
		if b.entries[i].kind == entryParse {
			s.undefine(b.entries[i].name, b.entries[i].statement)
		}
	}
}
