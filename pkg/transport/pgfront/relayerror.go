package pgfront

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// relayError relays an error of the upstream. The upstream answers no further
// messages up to the Sync.
func (s *session) relayError(message *pgproto3.ErrorResponse, expected *expectedAnswer) *failure {
	if endsConnection(message) {
		reason := "the database ended the connection: " + message.Message
		return &failure{Error: verdict.New(verdict.UpstreamLost, verdict.MayHaveRun, reason)}
	}
	if expected.position {
		return nil
	}
	if expected.discard && expected.kind == entryQuery {
		reason := "the database refused to begin the transaction: " + message.Message
		return &failure{Error: verdict.New(verdict.Internal, verdict.MayHaveRun, reason), final: true}
	}
	s.unit.request.errored = true
	if expected.entry != nil && expected.entry.refusal != nil {
		message = expected.entry.refusal
	}
	s.sendOrHold(message)
	s.forgetStalePrepared(message.Code)
	s.dropSkippedAnswers()
	return s.checkHeldSize()
}

func endsConnection(message *pgproto3.ErrorResponse) bool {
	severity := message.SeverityUnlocalized
	if severity == "" {
		severity = message.Severity
	}
	return severity == severityFatal || severity == severityPanic
}

// Severities of errors after which PostgreSQL closes the connection.
const (
	severityFatal = "FATAL"
	severityPanic = "PANIC"
)

// dropSkippedAnswers removes the expected answers that the upstream skips after an
// error.
func (s *session) dropSkippedAnswers() {
	request := &s.unit.request
	for request.awaitsAnswer() && request.next().kind != entrySync && request.next().kind != entryQuery {
		if name := request.next().prepares; name != "" {
			s.unit.backend.ForgetPrepared(name)
		}
		if request.next().kind == entryParse {
			s.unit.unnamed = nil
		}
		// The skipped messages may include a Close of a prepared statement.
		s.unit.dirty = s.unit.dirty || request.next().discard && request.next().kind == entryClose
		request.head++
	}
}

// sqlStateFeatureNotSupported is raised, among others, when a cached plan no longer
// fits the schema.
const sqlStateFeatureNotSupported = "0A000"

// forgetStalePrepared makes the statements of the outstanding answers be prepared
// again after an error that a schema change can cause.
func (s *session) forgetStalePrepared(state string) {
	if state != sqlStateFeatureNotSupported && state != sqlStateUndefinedStatement {
		return
	}
	request := &s.unit.request
	for i := request.head; i < len(request.pending); i++ {
		e := request.pending[i].entry
		if e != nil && e.statement != nil && e.statement.upstreamName != "" {
			s.unit.backend.ForgetPrepared(e.statement.upstreamName)
		}
	}
}

// errorResponseFor returns the message that a caller gets for e.
func errorResponseFor(e *verdict.Error) *pgproto3.ErrorResponse {
	return pgwire.ErrorResponse(pgwire.SeverityError, e)
}
