package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/verdict"
)

// refusedStatement names a statement that no upstream has. A Bind to it makes
// a batch fail where the proxy refuses one of its messages.
const refusedStatement = "gypsumdock_refused"

// Object types of Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

// SQLSTATEs of errors that the proxy raises as PostgreSQL would.
const (
	stateDuplicateStatement = "42P05"
	stateNoStatement        = "26000"
	stateTooManyStatements  = "53400"
	stateBadMessage         = "08P01"
)

// extended takes in a message of the extended protocol.
func (s *session) extended(message pgproto3.FrontendMessage) {
	_, isSync := message.(*pgproto3.Sync)
	if s.skipping {
		s.skip(isSync)
		return
	}
	if s.failed != nil {
		s.extendedInFailed(message, isSync)
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
		s.mustAdd(s.batch, entry{kind: entryExecute}, message)
	case *pgproto3.Close:
		s.addClose(message)
	case *pgproto3.Sync:
		s.mustAdd(s.batch, entry{kind: entrySync}, message)
		s.runCollected(true)
	case *pgproto3.Flush:
		s.runCollected(false)
	default:
		s.fatal(verdict.New(verdict.BadMessage, verdict.NotRun, "unexpected message"))
	}
	if s.batch != nil && len(s.batch.buffer) > maxBatch {
		s.runCollected(false)
	}
}

func (s *session) runCollected(complete bool) {
	if complete {
		s.server.counters.requests.Add(1)
	}
	b := s.batch
	s.batch = nil
	b.complete = complete
	s.runBatch(b)
}

// skip drops messages after an error until the Sync.
func (s *session) skip(isSync bool) {
	if !isSync {
		return
	}
	s.skipping = false
	if s.unit == nil || !s.unit.needsSync {
		s.server.counters.requests.Add(1)
		s.finishRequest()
		return
	}
	s.batch = newBatch()
	s.mustAdd(s.batch, entry{kind: entrySync}, &pgproto3.Sync{})
	s.runCollected(true)
}

// extendedInFailed answers messages in a transaction that the proxy has given
// up. Only statements that end it are let through, and what is run in their
// place is a ROLLBACK.
func (s *session) extendedInFailed(message pgproto3.FrontendMessage, isSync bool) {
	stmt := s.statementOf(message)
	switch {
	case isSync && s.batch == nil:
		s.server.counters.requests.Add(1)
		s.finishRequest()
	case isSync:
		s.mustAdd(s.batch, entry{kind: entrySync}, message)
		s.runCollected(true)
	case stmt != nil && stmt.class.PlainEnd:
		s.endFailed(message)
	case isFlush(message):
		s.flushOutput()
	default:
		s.sendError(s.failed)
		s.flushOutput()
		s.skipping = true
	}
}

// rollback stands in for the statements that end a transaction which the proxy
// has given up.
var rollback = newStatement(&pgproto3.Parse{Name: "rollback", Query: "ROLLBACK"})

func (s *session) endFailed(message pgproto3.FrontendMessage) {
	if s.batch == nil {
		s.batch = newBatch()
	}
	switch message := message.(type) {
	case *pgproto3.Parse:
		s.addParse(message)
	case *pgproto3.Bind:
		s.failed = nil
		s.bindTo(rollback, message)
	}
}

func isFlush(message pgproto3.FrontendMessage) bool {
	_, ok := message.(*pgproto3.Flush)
	return ok
}

func (s *session) flushOutput() {
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	if s.output.flush() != nil {
		s.broken = true
	}
}

// statementOf returns the statement that a Parse or Bind refers to.
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
		s.refuse(errorOf(unsupported(stmt.class.Unsupported)))
		return
	case message.Name == "":
		s.unnamed = stmt
	case s.statements[message.Name] != nil:
		s.refuse(plainError(stateDuplicateStatement, "prepared statement already exists"))
		return
	case len(s.statements) >= s.server.config.MaxStatements:
		s.refuse(plainError(stateTooManyStatements, "too many prepared statements"))
		return
	default:
		s.define(message.Name, stmt)
	}
	s.batch.note(&stmt.class)
	s.batch.addLocal(entry{kind: entryParse, statement: stmt, name: message.Name})
}

func (s *session) define(name string, stmt *statement) {
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[name] = stmt
}

// undefine takes back a statement whose Parse failed.
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
		s.refuse(plainError(stateNoStatement, "prepared statement does not exist"))
		return
	}
	s.bindTo(stmt, message)
}

func (s *session) bindTo(stmt *statement, message *pgproto3.Bind) {
	s.batch.note(&stmt.class)
	message.PreparedStatement = stmt.upstream
	s.mustAdd(s.batch, entry{kind: entryBind, statement: stmt}, message)
}

func (s *session) addDescribe(message *pgproto3.Describe) {
	if message.ObjectType != objectStatement {
		s.mustAdd(s.batch, entry{kind: entryDescribePortal}, message)
		return
	}
	stmt := s.lookup(message.Name)
	if stmt == nil {
		s.refuse(plainError(stateNoStatement, "prepared statement does not exist"))
		return
	}
	s.batch.note(&stmt.class)
	message.Name = stmt.upstream
	s.mustAdd(s.batch, entry{kind: entryDescribeStatement, statement: stmt}, message)
}

// addClose closes a statement of the caller; upstream connections keep theirs
// for the next use.
func (s *session) addClose(message *pgproto3.Close) {
	if message.ObjectType == objectPortal {
		s.mustAdd(s.batch, entry{kind: entryClose}, message)
		return
	}
	if message.Name == "" {
		s.unnamed = nil
	}
	delete(s.statements, message.Name)
	s.batch.addLocal(entry{kind: entryClose})
}

// refuse makes the batch fail at this point with response.
func (s *session) refuse(response *pgproto3.ErrorResponse) {
	bind := &pgproto3.Bind{PreparedStatement: refusedStatement}
	s.mustAdd(s.batch, entry{kind: entryBind, refusal: response}, bind)
}

func plainError(state, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            pgwire.SeverityError,
		SeverityUnlocalized: pgwire.SeverityError,
		Code:                state,
		Message:             message,
	}
}
