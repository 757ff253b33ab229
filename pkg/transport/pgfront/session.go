package pgfront

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Transaction states of a ReadyForQuery message.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// secretKeyLen is the length of a cancel key in protocol 3.0, in bytes.
const secretKeyLen = 4

// session serves one authenticated caller. Except for cancellation and
// input.interrupt, it is used by its own goroutine only.
type session struct {
	server       *Server
	conn         net.Conn
	input        input
	reader       *pgproto3.Backend
	output       output
	cancellation cancellation
	// id and secret are the process ID and the key for cancel requests.
	id        uint32
	secret    [secretKeyLen]byte
	caller    model.CallerName // the client account
	sessionID model.SessionID
	database  string

	// statements are the caller's named prepared statements.
	statements map[string]*statement
	unnamed    *statement
	// batch collects extended-protocol messages up to a Sync or Flush.
	batch *batch
	// skipping is true after an error until the next Sync.
	skipping bool

	// spanCtx carries the trace span of the request in progress.
	spanCtx context.Context
	// unit is the unit of work in progress, or nil.
	unit *unit
	// charge is what the last unit of work counts towards the caller's rate limit.
	charge traffic.RateCharge
	// deferredBegin is a BEGIN that the proxy has answered and not sent yet, or nil.
	deferredBegin *deferredBegin
	// abortCause is set while the caller has not yet ended a transaction that the
	// proxy has aborted. It is the error for further statements.
	abortCause *verdict.Error
	// mustClose is true when the connection must be closed.
	mustClose bool
}

// deferredBegin is a BEGIN that has not been sent to an upstream yet. It is sent with
// the transaction's first statement, which decides which upstream is used.
type deferredBegin struct {
	text     string
	readOnly bool
	tags     pgwire.Tags
	arrived  time.Time
}

func newSession(server *Server, connection net.Conn, startup pgwire.Startup) *session {
	s := &session{
		server:    server,
		conn:      connection,
		caller:    model.CallerName(startup.User),
		sessionID: sessionID(startup),
		database:  startup.Database,
	}
	s.input.conn = connection
	s.input.messageTimeout = server.config.MessageTimeout
	s.input.deadlineSet = true
	s.output.conn = connection
	s.reader = pgproto3.NewBackend(&s.input, nil)
	return s
}

func sessionID(startup pgwire.Startup) model.SessionID {
	if startup.Session == "" {
		return model.SessionID(startup.User)
	}
	return model.SessionID(startup.User + "/" + startup.Session)
}

// run serves the caller until it disconnects or the server stops.
func (s *session) run() {
	s.log(events.CallerConnected)
	defer s.close()
	for !s.mustClose {
		message, err := s.receive()
		if err != nil {
			s.handleReadError(err)
			continue
		}
		s.handle(message)
	}
}

func (s *session) receive() (pgproto3.FrontendMessage, error) {
	s.input.atBoundary = true
	s.input.idleDeadline = time.Time{}
	switch {
	case s.unit != nil:
		s.input.idleDeadline = s.unit.ticket.Deadline
	case s.deferredBegin != nil && s.server.stopping.Load():
		s.input.idleDeadline = s.deferredBegin.arrived.Add(s.server.config.MessageTimeout)
	}
	return s.reader.Receive()
}

// handleReadError ends the session or, if only the wait for a message was
// interrupted, calls handleInterrupt.
func (s *session) handleReadError(err error) {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	var network net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.input.atBoundary:
		s.handleInterrupt()
	case errors.As(err, &tooLarge):
		s.fatal(verdict.New(verdict.TooLarge, verdict.NotRun, "the message is larger than allowed"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.fatal(verdict.New(verdict.BadMessage, verdict.NotRun, "the rest of the message did not arrive in time"))
	case isEndOfStream(err), errors.As(err, &network):
		s.mustClose = true
	default:
		s.fatal(verdict.New(verdict.BadMessage, verdict.NotRun, "malformed message").WithCause(err))
	}
}

func (s *session) handleInterrupt() {
	if s.unit != nil && !time.Now().Before(s.unit.ticket.Deadline) {
		s.expireTransaction()
		return
	}
	if !s.server.stopping.Load() {
		return
	}
	if s.isIdle() || s.isBeginOverdue() {
		s.fatal(stoppingError())
		return
	}
	// The transaction may go on until its deadline.
	s.input.mu.Lock()
	s.input.interrupted = false
	s.input.mu.Unlock()
}

// isIdle reports whether the session has no transaction and no part of a batch in
// progress. A transaction that the proxy has aborted needs no upstream and counts
// as idle.
func (s *session) isIdle() bool {
	return s.unit == nil && s.batch == nil && !s.skipping && s.deferredBegin == nil
}

// isBeginOverdue reports whether a BEGIN has been without a first statement for
// MessageTimeout.
func (s *session) isBeginOverdue() bool {
	return s.deferredBegin != nil && time.Since(s.deferredBegin.arrived) >= s.server.config.MessageTimeout
}

func (s *session) handle(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Query:
		if !s.skipping {
			s.handleQuery(message)
		}
	case *pgproto3.FunctionCall:
		if !s.skipping {
			s.refuseSimple(unsupported("function call messages"))
		}
	case *pgproto3.Terminate:
		s.mustClose = true
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The caller may still send these after its COPY was refused; PostgreSQL
		// ignores them too.
	default:
		s.handleExtended(message)
	}
	if s.server.stopping.Load() && s.isIdle() && !s.mustClose {
		s.fatal(stoppingError())
	}
}

func unsupported(feature string) *verdict.Error {
	return verdict.New(verdict.Unsupported, verdict.NotRun, feature+" is not supported")
}

// fatal sends e as a fatal error and ends the session.
func (s *session) fatal(e *verdict.Error) {
	s.server.counters.countError(e)
	s.logError(e)
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.output.send(pgwire.ErrorResponse(pgwire.SeverityFatal, e))
	if s.output.flush() == nil {
		linger(s.conn)
	}
	s.mustClose = true
}

// close releases what the session holds.
func (s *session) close() {
	s.cancellation.release()
	if s.batch != nil {
		s.batch.release()
		s.batch = nil
	}
	if s.unit != nil {
		s.log(events.CallerVanished)
		s.dropUnit(verdict.MayHaveRun, false)
	}
	_ = s.output.flush()
	s.log(events.CallerDisconnected)
}

// status returns the transaction state that the caller sees.
func (s *session) status() byte {
	switch {
	case s.abortCause != nil:
		return statusFailed
	case s.unit != nil:
		return s.unit.status
	case s.deferredBegin != nil:
		return statusOpen
	default:
		return statusIdle
	}
}

// sendReady sends ReadyForQuery and flushes the output.
func (s *session) sendReady() {
	s.output.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	if s.output.flush() != nil {
		s.mustClose = true
	}
}

func (s *session) sendError(e *verdict.Error) {
	s.server.counters.countError(e)
	s.logError(e)
	s.output.send(errorResponseFor(e))
}

// baseContext returns the parent context of the session's work.
func (s *session) baseContext() context.Context { return s.server.baseCtx }

// expireTransaction aborts a transaction that the caller left idle past its deadline.
// The caller gets the error at its next statement.
func (s *session) expireTransaction() {
	s.dropUnit(verdict.MayHaveRun, false)
	s.abortCause = verdict.New(verdict.DeadlineExceeded, verdict.NotRun,
		"the transaction was rolled back: it was idle past its deadline")
}
