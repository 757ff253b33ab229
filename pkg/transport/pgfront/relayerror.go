package pgfront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// relayError passes on an error of the upstream. What follows it up to the
// Sync is not answered.
func (s *session) relayError(message *pgproto3.ErrorResponse, expected *expected) *failure {
	if endsConnection(message) {
		reason := "the database ended the connection: " + message.Message
		return &failure{Error: verdict.New(verdict.UpstreamLost, verdict.MayHaveRun, reason)}
	}
	if expected.position {
		return nil
	}
	if expected.swallow && expected.kind == entryQuery {
		reason := "the database refused to begin the transaction: " + message.Message
		return &failure{Error: verdict.New(verdict.Internal, verdict.MayHaveRun, reason), final: true}
	}
	s.unit.x.errored = true
	if expected.entry != nil && expected.entry.refusal != nil {
		message = expected.entry.refusal
	}
	s.pass(message)
	s.forgetStatements(message.Code)
	s.skipPending()
	return s.checkHeld()
}

func endsConnection(message *pgproto3.ErrorResponse) bool {
	severity := message.SeverityUnlocalized
	if severity == "" {
		severity = message.Severity
	}
	return severity == severityFatal || severity == severityPanic
}

// Severities with which an upstream ends its connection.
const (
	severityFatal = "FATAL"
	severityPanic = "PANIC"
)

// skipPending drops the answers that do not come after an error.
func (s *session) skipPending() {
	x := &s.unit.x
	for x.isOpen() && x.next().kind != entrySync && x.next().kind != entryQuery {
		if name := x.next().prepares; name != "" {
			s.unit.backend.Forget(name)
		}
		if x.next().kind == entryParse {
			s.unit.unnamed = nil
		}
		// Closing a statement of the connection may be among what is skipped.
		s.unit.dirty = s.unit.dirty || x.next().swallow && x.next().kind == entryClose
		x.head++
	}
}

// SQLSTATE of an error that a stale plan gives.
const stateFeature = "0A000"

// forgetStatements makes the upstream prepare its statements anew after an
// error that can come from a changed schema.
func (s *session) forgetStatements(state string) {
	if state != stateFeature && state != stateNoStatement {
		return
	}
	x := &s.unit.x
	for i := x.head; i < len(x.pending); i++ {
		e := x.pending[i].entry
		if e != nil && e.statement != nil && e.statement.upstream != "" {
			s.unit.backend.Forget(e.statement.upstream)
		}
	}
}

// errorOf returns the message that a caller gets for e.
func errorOf(e *verdict.Error) *pgproto3.ErrorResponse {
	return pgwire.ErrorResponse(pgwire.SeverityError, e)
}
