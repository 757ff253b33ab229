package textfront

import (
	"bufio"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/lines"
)

const (
	// callerBufferBytes is the size of the read buffer of a caller's
	// connection. Longer statements are read in several pieces.
	callerBufferBytes = 1 << 10
	// lineTimeout bounds the wait for the rest of a line whose first byte has
	// arrived.
	lineTimeout = 10 * time.Second
	// writeTimeout bounds the write of an answer to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
)

// session is a caller's connection. Only the goroutine of serve uses it, except
// for methods that say otherwise.
type session struct {
	server *Server
	socket net.Conn
	reader *bufio.Reader
	input  *lines.InputProbe
	out    []byte

	start statement.Start
	// caller is the client account that the session's access key identifies; empty
	// if the route needs no key.
	caller model.CallerName
	// number identifies the session on this instance.
	number uint64
	// unconfirmed is set if this instance may not run the statement in progress, as
	// its configuration may be out of date, while other servers may.
	unconfirmed bool
	// sender is the version of the configuration of the peer that forwards the
	// unit, and refusal why a unit was not run by its access key.
	sender   catalog.Version
	refusal  access.Reason
	values   map[string]string
	prepared map[string]prepared
	state    statement.State
	// tx is the open transaction, or nil.
	tx openTransaction
	// forwarded is the route of a unit of work that a peer forwards, and nil for
	// a caller of this instance. The socket is a stream of the mesh then.
	forwarded *catalog.Route
	// noPermit is set if the statement that was answered last has not run
	// because this instance holds no permit for its primary.
	noPermit bool
	// mark is the position of the session's latest write, and markAt is when
	// that write was acknowledged.
	mark   model.Position
	markAt time.Duration
	// closeAt is when the session is closed if it is idle then, and closeDrain
	// is the drain for which that time was chosen. Both are zero without a
	// drain.
	closeAt    time.Time
	closeDrain *drain
	wait       inputWait
	startedAt  time.Time
}

func newSession(server *Server, socket net.Conn) *session {
	return &session{
		server:   server,
		number:   server.lastSession.Add(1),
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, callerBufferBytes),
		input:    lines.NewInputProbe(socket),
		values:   make(map[string]string),
		prepared: make(map[string]prepared),

		startedAt: time.Now(),
	}
}

// wake interrupts the wait of the session for its next statement, so that it
// notices a drain. It may be called from any goroutine.
func (s *session) wake() { s.wait.interrupt(s.socket) }

// serve runs the session until it ends, and closes its connection.
func (s *session) serve() {
	defer func() { _ = s.socket.Close() }()
	defer s.rollBackOpen()
	if !s.handshake() {
		return
	}
	for s.awaitInput() {
		if !s.serveLine() {
			return
		}
	}
}

func (s *session) codec() statement.CallerCodec { return s.server.config.Codec }

// flush writes s.out to the caller and reports whether that succeeded.
func (s *session) flush() bool {
	_ = s.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.socket.Write(s.out)
	return err == nil
}

// awaitInput waits for the next statement. It returns false when the session
// ends.
func (s *session) awaitInput() bool {
	defer s.wait.end()
	for {
		if s.reader.Buffered() > 0 {
			return true
		}
		s.updateCloseTime()
		due := s.state == statement.Idle && s.isDueToClose()
		if due && !s.input.HasInput() {
			return false
		}
		until := s.readDeadline()
		if due {
			// A deadline in the past would prevent the read of input that has
			// already arrived.
			until = time.Now().Add(lineTimeout)
		}
		s.wait.begin(s.socket, until)
		if s.server.drain.Load() != s.closeDrain {
			continue
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		s.readTimedOut()
	}
}

// updateCloseTime sets closeAt when a drain has started or ended.
func (s *session) updateCloseTime() {
	current := s.server.drain.Load()
	if current == s.closeDrain {
		return
	}
	s.closeDrain = current
	s.closeAt = time.Time{}
	if current != nil {
		s.closeAt = current.closeTime(s.server.config.Stop, s.startedAt, rand.Float64())
	}
}

// isDueToClose reports whether the session is closed now if it is idle.
func (s *session) isDueToClose() bool {
	return !s.closeAt.IsZero() && !time.Now().Before(s.closeAt)
}

// readDeadline returns when the wait for the next statement ends; zero for no
// bound.
func (s *session) readDeadline() time.Time {
	if s.tx == nil || s.tx.idle().rolledBack {
		return s.closeAt
	}
	until := s.tx.idle().expiresAt
	if end, stopping := s.server.rollbackTime(); stopping && (until.IsZero() || end.Before(until)) {
		until = end
	}
	return until
}

// readTimedOut acts on the end of a wait for a statement. It rolls back an open
// transaction whose time has run out; the caller is told in the answer to its
// next statement. A session without a transaction to roll back is closed if it
// is due.
func (s *session) readTimedOut() {
	now := time.Now()
	if s.tx == nil || s.tx.idle().rolledBack {
		if s.state != statement.Idle && s.isDueToClose() {
			_ = s.socket.Close()
		}
		return
	}
	end, stopping := s.server.rollbackTime()
	if s.tx.idle().isExpired(now) || stopping && !now.Before(end) {
		s.tx.rollBack()
		s.tx.idle().rolledBack = true
	}
}

// serveLine reads and answers one statement. It returns false when the session
// ends.
func (s *session) serveLine() bool {
	_ = s.socket.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := lines.Read(s.reader, statement.MaxMessageBytes)
	if errors.Is(err, lines.ErrTooLong) {
		s.refuse(statement.FailTooLarge, "message too large")
		return false
	}
	if errors.Is(err, lines.ErrMissingCRLF) {
		s.refuse(statement.FailMalformed, "lines end with CR LF")
		return false
	}
	if err != nil {
		return false
	}
	arrived := s.server.config.Dispatch.Now()
	request, last, err := s.codec().ParseRequest(line)
	if last {
		return false
	}
	s.out = s.out[:0]
	if err != nil {
		s.refuse(statement.FailMalformed, "no statement")
		return false
	}
	s.answer(request, arrived)
	s.out = s.codec().AppendReady(s.out, s.state)
	if !s.flush() {
		return false
	}
	if cap(s.out) > callerBufferBytes {
		s.out = nil
	}
	return !s.isUnitEnd(request.Kind) || !s.server.closesIdleSessions()
}

// isUnitEnd reports whether a unit of work has ended with the answer to a statement
// of this kind. A caller that has set a value or prepared a statement is about to send
// another one, which would be lost if the session were closed in a drain.
func (s *session) isUnitEnd(kind statement.Kind) bool {
	switch kind {
	case statement.Set, statement.Prepare, statement.Deallocate:
		return false
	default:
		return s.state == statement.Idle
	}
}

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
		s.fail(request, statement.FailNoDatabase, "no route to this database")
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
		s.fail(request, statement.FailNoDatabase, "no route to this database")
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

// recordWrite records the position of a write that is acknowledged to the
// caller.
func (s *session) recordWrite(at model.Position) {
	s.mark = s.mark.Max(at)
	s.markAt = s.server.config.Dispatch.Now()
}

// currentMark returns the position that the session's reads must find applied,
// and when it was acknowledged. A write that was lost in a change of primary is
// ignored.
func (s *session) currentMark(route *catalog.Route) (model.Position, time.Duration) {
	if route.Consistency != catalog.ReadYourWrites || s.mark.IsZero() {
		return model.Position{}, 0
	}
	if !s.server.config.Dispatch.SurvivedFailover(route.Group, s.mark) {
		return model.Position{}, 0
	}
	return s.mark, s.markAt
}
