package pgfront

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

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

// session serves one authenticated caller. All but running and input.wake is
// used by its own goroutine only.
type session struct {
	server   *Server
	conn     net.Conn
	input    input
	reader   *pgproto3.Backend
	output   output
	running  running
	id       uint32
	secret   [secretKeyLen]byte
	caller   model.CallerName
	name     model.SessionID
	database string

	// statements are the caller's named prepared statements.
	statements map[string]*statement
	unnamed    *statement
	// batch collects extended-protocol messages up to a Sync or Flush.
	batch *batch
	// skipping is true after an error until the next Sync.
	skipping bool

	// span is the context of the request in progress.
	span context.Context
	// unit is the unit of work in progress; nil when none is.
	unit *unit
	// begin is a BEGIN that was answered and is sent with the next statement.
	begin *pendingBegin
	// failed is why a transaction was given up; the caller has yet to end it.
	failed *verdict.Error
	// broken is true when the connection must be closed.
	broken bool
}

// pendingBegin is a BEGIN that has not been sent to an upstream yet, so that
// the transaction's first statement decides where it goes.
type pendingBegin struct {
	text     string
	readOnly bool
	tags     pgwire.Tags
	arrived  time.Time
}

func newSession(server *Server, connection net.Conn, startup pgwire.Startup) *session {
	s := &session{
		server:   server,
		conn:     connection,
		caller:   model.CallerName(startup.User),
		name:     sessionID(startup),
		database: startup.Database,
	}
	s.input.conn = connection
	s.input.messageTimeout = server.config.MessageTimeout
	s.input.bounded = true
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

// run serves the caller until it leaves or the server stops.
func (s *session) run() {
	s.log(events.CallerConnected)
	defer s.leave()
	for !s.broken {
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
	s.input.idleUntil = time.Time{}
	switch {
	case s.unit != nil:
		s.input.idleUntil = s.unit.ticket.Deadline
	case s.begin != nil && s.server.stopping.Load():
		s.input.idleUntil = s.begin.arrived.Add(s.server.config.MessageTimeout)
	}
	return s.reader.Receive()
}

// handleReadError ends the session, or where only the wait for a message was
// interrupted, does what the interruption was for.
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
		s.broken = true
	default:
		s.fatal(verdict.New(verdict.BadMessage, verdict.NotRun, "malformed message").WithCause(err))
	}
}

func (s *session) handleInterrupt() {
	if s.unit != nil && !time.Now().Before(s.unit.ticket.Deadline) {
		s.expire()
		return
	}
	if !s.server.stopping.Load() {
		return
	}
	if s.isIdle() || s.isBeginOverdue() {
		s.fatal(stoppingError())
		return
	}
	// The transaction is given the time that its deadline leaves.
	s.input.mu.Lock()
	s.input.woken = false
	s.input.mu.Unlock()
}

// isIdle reports whether the session holds no transaction and no part of a
// batch. A transaction that was given up holds nothing.
func (s *session) isIdle() bool {
	return s.unit == nil && s.batch == nil && !s.skipping && s.begin == nil
}

// isBeginOverdue reports whether a transaction was begun some time ago without
// a statement so far.
func (s *session) isBeginOverdue() bool {
	return s.begin != nil && time.Since(s.begin.arrived) >= s.server.config.MessageTimeout
}

func (s *session) handle(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Query:
		if !s.skipping {
			s.simple(message)
		}
	case *pgproto3.FunctionCall:
		if !s.skipping {
			s.refuseSimple(unsupported("function call messages"))
		}
	case *pgproto3.Terminate:
		s.broken = true
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a copy that was refused; PostgreSQL ignores them too.
	default:
		s.extended(message)
	}
	if s.server.stopping.Load() && s.isIdle() && !s.broken {
		s.fatal(stoppingError())
	}
}

func unsupported(feature string) *verdict.Error {
	return verdict.New(verdict.Unsupported, verdict.NotRun, feature+" is not supported")
}

// fatal tells the caller why its connection ends.
func (s *session) fatal(e *verdict.Error) {
	s.server.counters.countError(e)
	s.logError(e)
	s.output.setDeadline(time.Now().Add(s.server.config.MessageTimeout))
	s.output.send(pgwire.ErrorResponse(pgwire.SeverityFatal, e))
	if s.output.flush() == nil {
		linger(s.conn)
	}
	s.broken = true
}

// leave gives back what the session holds.
func (s *session) leave() {
	s.running.release()
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

// status is the transaction state that the caller sees.
func (s *session) status() byte {
	switch {
	case s.failed != nil:
		return statusFailed
	case s.unit != nil:
		return s.unit.status
	case s.begin != nil:
		return statusOpen
	default:
		return statusIdle
	}
}

// sendReady ends the answer to a request.
func (s *session) sendReady() {
	s.output.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	if s.output.flush() != nil {
		s.broken = true
	}
}

func (s *session) sendError(e *verdict.Error) {
	s.server.counters.countError(e)
	s.logError(e)
	s.output.send(errorOf(e))
}

// context returns the parent of what is done for the session.
func (s *session) context() context.Context { return s.server.base }

// expire gives up a transaction whose caller let its deadline pass. The caller
// learns of it with its next statement.
func (s *session) expire() {
	s.dropUnit(verdict.MayHaveRun, false)
	s.failed = verdict.New(verdict.DeadlineExceeded, verdict.NotRun,
		"the transaction was rolled back: it was idle past its deadline")
}
