package textfront

import (
	"bufio"
	"net"
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
	// wait is the wait for the next statement, which a drain interrupts.
	wait inputWait
	// startedAt is when the caller connected, and startBy when its first line must have
	// begun; zero once it has.
	startedAt time.Time
	startBy   time.Time
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

// serveLine reads and answers one statement. It returns false when the session
// ends.
func (s *session) serveLine() bool {
	_ = s.socket.SetReadDeadline(s.server.boundByStop(time.Now().Add(lineTimeout)))
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
