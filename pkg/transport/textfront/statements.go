package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
)

// answer appends the answer to a statement and sets the state of the session.
func (s *session) answer(request statement.Request, arrived time.Duration) {
	if s.state == statement.TransactionFailed {
		s.answerFailed(request)
		return
	}
	if !s.admit(request, arrived) {
		return
	}
	switch request.Kind {
	case statement.Begin:
		s.begin(request)
	case statement.Commit, statement.Rollback:
		s.end(request, arrived)
	case statement.Read, statement.Write, statement.Execute:
		s.run(request, arrived)
	case statement.Set:
		s.set(request)
	case statement.Prepare:
		s.prepare(request)
	case statement.Deallocate:
		s.deallocate(request)
	default:
		s.fail(request, statement.FailMalformed, "statement cannot be read")
	}
}

// answerFailed answers a statement in a failed transaction, which the caller
// can only end.
func (s *session) answerFailed(request statement.Request) {
	switch request.Kind {
	case statement.Rollback:
		s.state = statement.Idle
		s.complete("")
	case statement.Commit:
		s.state = statement.Idle
		s.fail(request, statement.FailAborted, "the transaction was rolled back")
	default:
		s.fail(request, statement.FailMalformed, "the transaction has failed")
	}
}

// complete appends the success of a statement.
func (s *session) complete(signature string) {
	s.out = s.codec().AppendComplete(s.out, signature)
}

// fail appends the failure of a statement and logs it without the attributes of
// a unit.
func (s *session) fail(request statement.Request, code statement.FailureCode, text string) {
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: text})
	s.server.recorder.rejected(request, code, text)
}

// begin starts a transaction. Nothing is sent to an upstream before the first
// statement of the transaction.
func (s *session) begin(request statement.Request) {
	if s.tx != nil {
		s.fail(request, statement.FailMalformed, "a transaction is open")
		return
	}
	route, found := s.route()
	if !found {
		failure := s.unknownDatabase()
		s.fail(request, failure.Code, failure.Text)
		return
	}
	if s.mustForward(route) {
		s.tx = newForwardedTransaction(s, route, request.ReadOnly)
	} else {
		s.tx = newTransaction(s, route, request.ReadOnly)
	}
	s.state = statement.InTransaction
	s.complete("")
}

// end commits the transaction or rolls it back.
func (s *session) end(request statement.Request, arrived time.Duration) {
	if s.tx == nil {
		s.fail(request, statement.FailMalformed, "no transaction is open")
		return
	}
	ended := s.tx
	s.tx = nil
	s.state = statement.Idle
	if request.Kind == statement.Rollback {
		ended.rollBack()
		s.complete("")
		return
	}
	ended.commit(request, arrived)
}

// run answers a statement that an upstream executes.
func (s *session) run(request statement.Request, arrived time.Duration) {
	stmt, found := s.bind(request)
	if !found {
		s.fail(request, statement.FailNotPrepared, "no such prepared statement")
		s.failTransaction()
		return
	}
	if s.tx != nil {
		s.tx.run(stmt, arrived)
		return
	}
	route, found := s.route()
	if !found {
		failure := s.unknownDatabase()
		s.fail(request, failure.Code, failure.Text)
		return
	}
	if s.mustForward(route) {
		forwardSingle(s, route, stmt, arrived)
		return
	}
	runSingle(s, route, stmt, arrived)
}

// route returns the route of the session's database.
func (s *session) route() (*catalog.Route, bool) {
	if s.forwarded != nil {
		return s.forwarded, true
	}
	return s.server.config.Dispatch.Catalog().Route(s.start.Database)
}

// failTransaction rolls back the transaction, if one is open, after a failure.
func (s *session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.rollBack()
	s.tx = nil
	s.state = statement.TransactionFailed
}

// rollBackOpen rolls back the transaction that was open when the caller
// disconnected.
func (s *session) rollBackOpen() {
	if s.tx != nil {
		s.tx.rollBack()
		s.tx = nil
	}
}
