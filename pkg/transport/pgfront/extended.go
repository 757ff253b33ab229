package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// refusedStatement is a statement name that exists on no upstream. A Bind to it
// makes the batch fail at the message that the proxy refuses.
const refusedStatement = "gypsumdock_refused"

// Object types of Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// SQLSTATEs of errors that the proxy raises in place of PostgreSQL.
const (
	sqlStateDuplicateStatement = "42P05"
	sqlStateUndefinedStatement = "26000"
	sqlStateTooManyStatements  = "53400"
	sqlStateProtocolViolation  = "08P01"
)

// handleExtended handles a message of the extended protocol. The messages are
// collected in a batch, which runs at a Sync or Flush or when it gets too large.
func (s *session) handleExtended(message pgproto3.FrontendMessage) {
	_, isSync := message.(*pgproto3.Sync)
	if s.skipping {
		s.skipUntilSync(isSync)
		return
	}
	if s.abortCause != nil {
		s.handleExtendedInAborted(message, isSync)
		return
	}
	if s.batch == nil {
		s.batch = newBatch()
	}
	switch message := message.(type) {
	case *pgproto3.Parse:
		s.addParse(message)
	case *pgproto3.Bind:
		s.addBind(message)
	case *pgproto3.Describe:
		s.addDescribe(message)
	case *pgproto3.Execute:
		s.addMessage(s.batch, entry{kind: entryExecute}, message)
	case *pgproto3.Close:
		s.addClose(message)
	case *pgproto3.Sync:
		s.addMessage(s.batch, entry{kind: entrySync}, message)
		s.runPendingBatch(true)
	case *pgproto3.Flush:
		s.runPendingBatch(false)
	default:
		s.fatal(verdict.New(verdict.BadMessage, verdict.NotRun, "unexpected message"))
	}
	if s.batch != nil && len(s.batch.buffer) > maxBatchBytes {
		s.runPendingBatch(false)
	}
}

// runPendingBatch runs the collected batch; complete is true at a Sync.
func (s *session) runPendingBatch(complete bool) {
	if complete {
		s.server.counters.requests.Add(1)
	}
	b := s.batch
	s.batch = nil
	b.complete = complete
	s.runBatch(b)
}

// skipUntilSync drops messages after an error until the Sync.
func (s *session) skipUntilSync(isSync bool) {
	if !isSync {
		return
	}
	s.skipping = false
	if s.unit == nil || !s.unit.awaitsSync {
		s.server.counters.requests.Add(1)
		s.finishRequest()
		return
	}
	s.batch = newBatch()
	s.addMessage(s.batch, entry{kind: entrySync}, &pgproto3.Sync{})
	s.runPendingBatch(true)
}

// handleExtendedInAborted handles a message in a transaction that the proxy has
// aborted. Only statements that end the transaction are accepted; a ROLLBACK is run
// in their place.
func (s *session) handleExtendedInAborted(message pgproto3.FrontendMessage, isSync bool) {
	stmt := s.statementOf(message)
	switch {
	case isSync && s.batch == nil:
		s.server.counters.requests.Add(1)
		s.finishRequest()
	case isSync:
		s.addMessage(s.batch, entry{kind: entrySync}, message)
		s.runPendingBatch(true)
	case stmt != nil && stmt.class.PlainEnd:
		s.addEndOfAborted(message)
	case isFlush(message):
		s.flushOutput()
	default:
		s.sendError(s.abortCause)
		s.flushOutput()
		s.skipping = true
	}
}

// rollbackStatement is run in place of the statement that ends a transaction which
// the proxy has aborted.
var rollbackStatement = newStatement(&pgproto3.Parse{Name: "rollback", Query: "ROLLBACK"})

// addEndOfAborted adds a Parse or Bind of a statement that ends an aborted
// transaction. The Bind is redirected to rollbackStatement.
func (s *session) addEndOfAborted(message pgproto3.FrontendMessage) {
	if s.batch == nil {
		s.batch = newBatch()
	}
	switch message := message.(type) {
	case *pgproto3.Parse:
		s.addParse(message)
	case *pgproto3.Bind:
		s.abortCause = nil
		s.bindTo(rollbackStatement, message)
	}
}

func isFlush(message pgproto3.FrontendMessage) bool {
	_, ok := message.(*pgproto3.Flush)
	return ok
}

func (s *session) flushOutput() {
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	if s.output.flush() != nil {
		s.mustClose = true
	}
}

// statementOf returns the statement that a Parse or Bind refers to, or nil.
func (s *session) statementOf(message pgproto3.FrontendMessage) *statement {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return newStatement(message)
	case *pgproto3.Bind:
		return s.lookup(message.PreparedStatement)
	}
	return nil
}

func (s *session) lookup(name string) *statement {
	if name == "" {
		return s.unnamed
	}
	return s.statements[name]
}

func (s *session) addParse(message *pgproto3.Parse) {
	stmt := newStatement(message)
	switch {
	case stmt.class.Unsupported != "":
		s.refuseInBatch(errorResponseFor(unsupported(stmt.class.Unsupported)))
		return
	case message.Name == "":
		s.unnamed = stmt
	case s.statements[message.Name] != nil:
		s.refuseInBatch(errorResponse(sqlStateDuplicateStatement, "prepared statement already exists"))
		return
	case len(s.statements) >= s.server.config.MaxStatements:
		s.refuseInBatch(errorResponse(sqlStateTooManyStatements, "too many prepared statements"))
		return
	default:
		s.define(message.Name, stmt)
	}
	s.batch.mergeClass(&stmt.class)
	s.batch.addLocal(entry{kind: entryParse, statement: stmt, name: message.Name})
}

func (s *session) define(name string, stmt *statement) {
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[name] = stmt
}

// undefine removes a statement whose Parse failed.
func (s *session) undefine(name string, stmt *statement) {
	switch {
	case name == "" && s.unnamed == stmt:
		s.unnamed = nil
	case name != "" && s.statements[name] == stmt:
		delete(s.statements, name)
	}
}

func (s *session) addBind(message *pgproto3.Bind) {
	stmt := s.lookup(message.PreparedStatement)
	if stmt == nil {
		s.refuseInBatch(errorResponse(sqlStateUndefinedStatement, "prepared statement does not exist"))
		return
	}
	s.bindTo(stmt, message)
}

func (s *session) bindTo(stmt *statement, message *pgproto3.Bind) {
	s.batch.mergeClass(&stmt.class)
	message.PreparedStatement = stmt.upstreamName
	s.addMessage(s.batch, entry{kind: entryBind, statement: stmt}, message)
}

func (s *session) addDescribe(message *pgproto3.Describe) {
	if message.ObjectType != objectStatement {
		s.addMessage(s.batch, entry{kind: entryDescribePortal}, message)
		return
	}
	stmt := s.lookup(message.Name)
	if stmt == nil {
		s.refuseInBatch(errorResponse(sqlStateUndefinedStatement, "prepared statement does not exist"))
		return
	}
	s.batch.mergeClass(&stmt.class)
	message.Name = stmt.upstreamName
	s.addMessage(s.batch, entry{kind: entryDescribeStatement, statement: stmt}, message)
}

// addClose removes a caller's statement. It stays prepared on upstream connections,
// where other callers may use it.
func (s *session) addClose(message *pgproto3.Close) {
	if message.ObjectType == objectPortal {
		s.addMessage(s.batch, entry{kind: entryClose}, message)
		return
	}
	if message.Name == "" {
		s.unnamed = nil
	}
	delete(s.statements, message.Name)
	s.batch.addLocal(entry{kind: entryClose})
}

// refuseInBatch makes the batch fail at this point and answer with response.
func (s *session) refuseInBatch(response *pgproto3.ErrorResponse) {
	bind := &pgproto3.Bind{PreparedStatement: refusedStatement}
	s.addMessage(s.batch, entry{kind: entryBind, refusal: response}, bind)
}

func errorResponse(state, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            pgwire.SeverityError,
		SeverityUnlocalized: pgwire.SeverityError,
		Code:                state,
		Message:             message,
	}
}
