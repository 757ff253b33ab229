package textfront

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/lines"
)

const (
	// callerBufferBytes is the buffer of a caller's connection; longer
	// statements are read in pieces.
	callerBufferBytes = 1 << 10
	// startTimeout bounds the wait for the first line.
	startTimeout = 5 * time.Second
	// catalogWait bounds the wait for the first configuration; callers give a
	// session up that is not answered in two seconds.
	catalogWait = 1200 * time.Millisecond
	catalogPoll = 20 * time.Millisecond
	// lineTimeout bounds the wait for the rest of a line that has begun.
	lineTimeout = 10 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that does not
	// read.
	writeTimeout = 10 * time.Second
	// maxSessionNames bounds the values and the prepared statements of a
	// session, each.
	maxSessionNames = 1000
)

// prepared is a statement that a caller has prepared.
type prepared struct {
	readOnly bool
	shape    string
	// name is that under which it is prepared on upstreams.
	name string
}

// session is a caller's connection. It belongs to the goroutine of serve,
// except where noted.
type session struct {
	server *Server
	socket net.Conn
	reader *bufio.Reader
	quiet  *lines.InputProbe
	out    []byte

	start    statement.Start
	values   map[string]string
	prepared map[string]prepared
	state    statement.State
	// tx is the open transaction, or nil.
	tx *transaction
	// mark is the position of the session's newest write, and markAt when it
	// was acknowledged.
	mark   model.Position
	markAt time.Duration
	// closeAt is when the session is closed if it is idle, by the departure
	// for which it was set; zero without one.
	closeAt  time.Time
	leftWith *departure
}

func newSession(server *Server, socket net.Conn) *session {
	return &session{
		server:   server,
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, callerBufferBytes),
		quiet:    lines.NewInputProbe(socket),
		values:   make(map[string]string),
		prepared: make(map[string]prepared),
	}
}

// wake ends the wait of a session for its next statement, so that it looks at
// the state of the server. It is called from any goroutine.
func (s *session) wake() { _ = s.socket.SetReadDeadline(time.Now()) }

// serve runs the session until its end.
func (s *session) serve() {
	defer func() { _ = s.socket.Close() }()
	defer s.abandon()
	if !s.open() {
		return
	}
	for s.awaitInput() {
		if !s.serveLine() {
			return
		}
	}
}

// open reads the first line and answers it.
func (s *session) open() bool {
	_ = s.socket.SetReadDeadline(time.Now().Add(startTimeout))
	line, err := lines.Read(s.reader, statement.MaxMessageBytes)
	if err != nil {
		return false
	}
	start, err := s.codec().ParseStart(line)
	if err != nil {
		s.refuse(statement.FailMalformed, "START expected")
		return false
	}
	s.start = start
	if !s.awaitCatalog() {
		s.refuse(statement.FailOverloaded, "not run: no configuration is known yet")
		return false
	}
	if _, found := s.server.config.Dispatch.Catalog().Route(start.Database); !found {
		s.refuse(statement.FailNoDatabase, "no route to this database")
		return false
	}
	s.out = s.codec().AppendReady(s.out[:0], statement.Idle)
	return s.flush()
}

// awaitCatalog waits for the first configuration. It returns false if there is
// none in time: without it nothing can be said of a database.
func (s *session) awaitCatalog() bool {
	for end := time.Now().Add(catalogWait); s.server.config.Dispatch.Catalog().Version == 0; {
		if time.Now().After(end) || s.server.ctx.Err() != nil {
			return false
		}
		sleep(s.server.ctx, catalogPoll)
	}
	return true
}

// refuse answers a connection that is then closed.
func (s *session) refuse(code statement.FailureCode, text string) {
	s.server.record.refusedStart(s.start, code)
	s.out = s.codec().AppendFailure(s.out[:0], statement.Failure{Code: code, Text: text})
	s.flush()
}

func (s *session) codec() statement.CallerCodec { return s.server.config.Codec }

func (s *session) flush() bool {
	_ = s.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.socket.Write(s.out)
	return err == nil
}

// awaitInput waits for the next statement. It returns false at the end of the
// session.
func (s *session) awaitInput() bool {
	for {
		if s.reader.Buffered() > 0 {
			return true
		}
		s.followDeparture()
		due := s.state == statement.Idle && s.isDueToClose()
		if due && !s.quiet.HasInput() {
			return false
		}
		until := s.waitUntil()
		if due {
			// What has arrived is still to be read, which a deadline in the past
			// would prevent.
			until = time.Now().Add(lineTimeout)
		}
		_ = s.socket.SetReadDeadline(until)
		if s.server.departure.Load() != s.leftWith {
			continue
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		s.waited()
	}
}

// followDeparture sets the end of the session by the state of the server.
func (s *session) followDeparture() {
	present := s.server.departure.Load()
	if present == s.leftWith {
		return
	}
	s.leftWith = present
	s.closeAt = time.Time{}
	if present != nil {
		s.closeAt = s.server.closeTime(present)
	}
}

// isDueToClose reports whether an idle session ends now.
func (s *session) isDueToClose() bool {
	return !s.closeAt.IsZero() && !time.Now().Before(s.closeAt)
}

// waitUntil returns the end of the wait for a statement; zero for none.
func (s *session) waitUntil() time.Time {
	if s.tx == nil || s.tx.lost {
		return s.closeAt
	}
	until := s.tx.idleUntil
	if end, stopping := s.server.transactionEnd(); stopping && (until.IsZero() || end.Before(until)) {
		until = end
	}
	return until
}

// waited acts on the end of a wait: a transaction that was idle for too long
// is rolled back, and its caller told with the next statement.
func (s *session) waited() {
	now := time.Now()
	if s.tx == nil || s.tx.lost {
		if s.state != statement.Idle && s.isDueToClose() {
			_ = s.socket.Close()
		}
		return
	}
	end, stopping := s.server.transactionEnd()
	idle := !s.tx.idleUntil.IsZero() && !now.Before(s.tx.idleUntil)
	if idle || stopping && !now.Before(end) {
		s.tx.rollBack()
		s.tx.lost = true
	}
}

// serveLine reads and answers one statement. It returns false at the end of
// the session.
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
	return s.state != statement.Idle || !s.server.isClosing()
}

// answer appends the answer to a statement and sets the session's state.
func (s *session) answer(request statement.Request, arrived time.Duration) {
	if s.state == statement.Failed {
		s.answerFailed(request)
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

// answerFailed answers in a transaction that can only be ended.
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

func (s *session) complete(signature string) {
	s.out = s.codec().AppendComplete(s.out, signature)
}

// fail appends a failure of a statement that reached no upstream.
func (s *session) fail(request statement.Request, code statement.FailureCode, text string) {
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: code, Text: text})
	s.server.record.failed(request, code, text)
}

func (s *session) set(request statement.Request) {
	if _, known := s.values[request.Name]; !known && len(s.values) >= maxSessionNames {
		s.fail(request, statement.FailTooLarge, "too many session values")
		return
	}
	s.values[request.Name] = request.Value
	s.complete("")
}

func (s *session) prepare(request statement.Request) {
	if _, known := s.prepared[request.Name]; !known && len(s.prepared) >= maxSessionNames {
		s.fail(request, statement.FailTooLarge, "too many prepared statements")
		return
	}
	s.prepared[request.Name] = prepared{
		readOnly: request.ReadOnly,
		shape:    request.Value,
		name:     sharedName(request.ReadOnly, request.Value),
	}
	s.complete("")
}

func (s *session) deallocate(request statement.Request) {
	if _, known := s.prepared[request.Name]; !known {
		s.fail(request, statement.FailNotPrepared, "no such prepared statement")
		return
	}
	delete(s.prepared, request.Name)
	s.complete("")
}

// begin opens a transaction. The upstream hears of it with its first
// statement.
func (s *session) begin(request statement.Request) {
	if s.tx != nil {
		s.fail(request, statement.FailMalformed, "a transaction is open")
		return
	}
	route, found := s.server.config.Dispatch.Catalog().Route(s.start.Database)
	if !found {
		s.fail(request, statement.FailNoDatabase, "no route to this database")
		return
	}
	s.tx = newTransaction(s, route, request.ReadOnly)
	s.state = statement.InTransaction
	s.complete("")
}

// end commits or rolls back.
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

// run answers a statement that an upstream carries out.
func (s *session) run(request statement.Request, arrived time.Duration) {
	work, found := s.work(request)
	if !found {
		s.fail(request, statement.FailNotPrepared, "no such prepared statement")
		s.abort()
		return
	}
	if s.tx != nil {
		s.tx.run(work, arrived)
		return
	}
	route, found := s.server.config.Dispatch.Catalog().Route(s.start.Database)
	if !found {
		s.fail(request, statement.FailNoDatabase, "no route to this database")
		return
	}
	runSingle(s, route, work, arrived)
}

// abort rolls an open transaction back after a failure.
func (s *session) abort() {
	if s.tx == nil {
		return
	}
	s.tx.rollBack()
	s.tx = nil
	s.state = statement.Failed
}

// abandon rolls back what the caller has left open.
func (s *session) abandon() {
	if s.tx != nil {
		s.tx.rollBack()
		s.tx = nil
	}
}

// work is a statement with what is prepared for it.
type work struct {
	request  statement.Request
	prepared prepared
	// writes is set for a statement that may write.
	writes bool
}

func (s *session) work(request statement.Request) (work, bool) {
	made := work{request: request, writes: request.Kind == statement.Write}
	if request.Kind != statement.Execute {
		return made, true
	}
	known, found := s.prepared[request.Name]
	made.prepared = known
	made.writes = !known.readOnly
	return made, found
}

// wrote notes the position of a write that is acknowledged.
func (s *session) wrote(at model.Position) {
	s.mark = s.mark.Max(at)
	s.markAt = s.server.config.Dispatch.Now()
}

// currentMark returns the position that the session's reads must find. A write
// that a change of primary has lost does not count.
func (s *session) currentMark(route *catalog.Route) (model.Position, time.Duration) {
	if route.Consistency != catalog.ReadYourWrites || s.mark.IsZero() {
		return model.Position{}, 0
	}
	if !s.server.config.Dispatch.SurvivedFailover(route.Group, s.mark) {
		return model.Position{}, 0
	}
	return s.mark, s.markAt
}
