package pgfront

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/verdict"
)

// maxInFlightBytes bounds the bytes sent to an upstream before its answers are
// read. They fit the socket buffers, so that the proxy and the upstream can't
// block each other by both writing without reading.
const maxInFlightBytes = 32 << 10

// positionQuery returns the log position (LSN) that a commit has reached.
const positionQuery = "SELECT pg_current_wal_lsn()"

// exchange sends b on the unit's connection and relays the answers to the caller.
func (s *session) exchange(b *batch) *failure {
	u := s.unit
	if refused := s.server.config.Engine.MaySend(u.ticket); refused != nil {
		return &failure{Error: refused, final: u.ticket.Sent}
	}
	_, end := s.startChildSpan("upstream")
	defer end()
	start := time.Now()
	defer func() { u.latency += time.Since(start) }()
	s.output.setDeadline(u.ticket.Deadline)
	if err := u.backend.SetDeadline(u.ticket.Deadline); err != nil {
		return s.connectionLost(err)
	}
	if !s.cancellation.attach(u.backend) {
		return &failure{Error: cancelledError(), final: true}
	}
	u.ticket.Sent = true
	bs := batchSender{session: s, unit: u, batch: b}
	return bs.run()
}

// connectionLost returns the failure for the connection error err.
func (s *session) connectionLost(err error) *failure {
	u := s.unit
	outcome := verdict.MayHaveRun
	if !u.ticket.Sent {
		outcome = verdict.NotRun
	}
	e := verdict.New(verdict.UpstreamLost, outcome, "the connection to the database was lost")
	if isTimeout(err) {
		e = verdict.New(verdict.DeadlineExceeded, outcome, "the request was not answered within its deadline")
	}
	return &failure{Error: e.WithCause(err)}
}

// batchSender sends the messages of a batch and those that the proxy adds to them.
type batchSender struct {
	session *session
	unit    *unit
	batch   *batch
	// inFlight counts the bytes sent since the answers were last read.
	inFlight int
	// runStart and runEnd delimit consecutive encoded messages in the batch's
	// buffer that are sent with one call.
	runStart, runEnd int
}

func (bs *batchSender) run() *failure {
	bs.sendBegin()
	bs.updateUnit()
	for i := range bs.batch.entries {
		e := &bs.batch.entries[i]
		if bs.unit.request.errored && e.kind != entrySync {
			continue
		}
		if failed := bs.limitInFlight(e); failed != nil {
			return failed
		}
		bs.handleEntry(i, e)
	}
	bs.sendEnd()
	if failed := bs.flush(); failed != nil {
		return failed
	}
	return bs.session.relayAnswers()
}

// updateUnit adds the properties of the batch's statements to those of the unit.
func (bs *batchSender) updateUnit() {
	u := bs.unit
	u.commits = u.commits || bs.batch.commits
	u.dirty = u.dirty || bs.batch.changesSession
	u.preparedMayBeGone = u.preparedMayBeGone || bs.batch.mayDropPrepared
	if u.inTransaction && bs.batch.changesMode {
		u.readOnly = false
	}
}

// sendBegin sends a BEGIN that the proxy has already answered to the caller.
func (bs *batchSender) sendBegin() {
	begin := bs.session.deferredBegin
	if begin == nil {
		return
	}
	bs.session.deferredBegin = nil
	bs.unit.inTransaction = true
	bs.send(&pgproto3.Query{String: begin.text})
	bs.unit.request.expect(expectedAnswer{kind: entryQuery, discard: true})
}

// limitInFlight reads the outstanding answers if sending e would exceed
// maxInFlightBytes.
func (bs *batchSender) limitInFlight(e *entry) *failure {
	size := e.end - e.start
	if e.statement != nil {
		size += len(e.statement.query)
	}
	if bs.inFlight == 0 || bs.inFlight+size <= maxInFlightBytes {
		bs.inFlight += size
		return nil
	}
	bs.inFlight = size
	bs.send(&pgproto3.Flush{})
	if failed := bs.flush(); failed != nil {
		return failed
	}
	return bs.session.relayAnswers()
}

func (bs *batchSender) handleEntry(index int, e *entry) {
	if e.statement != nil {
		bs.prepare(index, e)
	}
	answer := expectedAnswer{kind: e.kind, index: index, entry: e}
	bs.unit.awaitsSync = e.kind != entrySync && e.kind != entryQuery
	switch {
	case e.kind == entryParse:
		return
	case e.start == e.end:
		answer.local = true
	default:
		bs.queueEntry(e)
	}
	if e.kind == entryQuery {
		bs.unit.unnamed = nil
	}
	bs.unit.request.expect(answer)
}

// prepare makes sure that e's statement is prepared on the upstream connection.
func (bs *batchSender) prepare(index int, e *entry) {
	u := bs.unit
	stmt := e.statement
	isParse := e.kind == entryParse
	if stmt.upstreamName == "" {
		if isParse || u.unnamed != stmt {
			bs.sendParse(index, e, !isParse)
			u.unnamed = stmt
		}
		return
	}
	prepared := u.backend.UsePrepared(stmt.upstreamName)
	if prepared.Evicted != "" {
		bs.sendClose(prepared.Evicted)
	}
	if prepared.Known && !u.preparedMayBeGone {
		if isParse {
			u.request.expect(expectedAnswer{kind: entryParse, index: index, entry: e, local: true})
		}
		return
	}
	bs.sendClose(stmt.upstreamName)
	bs.sendParse(index, e, !isParse)
}

func (bs *batchSender) sendParse(index int, e *entry, discard bool) {
	bs.send(e.statement.parseMessage())
	bs.unit.request.expect(expectedAnswer{
		kind:     entryParse,
		index:    index,
		entry:    e,
		discard:  discard,
		prepares: e.statement.upstreamName,
	})
}

func (bs *batchSender) sendClose(name string) {
	bs.send(&pgproto3.Close{ObjectType: objectStatement, Name: name})
	bs.unit.request.expect(expectedAnswer{kind: entryClose, discard: true})
}

// queueEntry adds e's encoded message to the current run, or starts a new run if
// the message doesn't follow it in the buffer.
func (bs *batchSender) queueEntry(e *entry) {
	if bs.runEnd != e.start {
		bs.sendRun()
		bs.runStart = e.start
	}
	bs.runEnd = e.end
}

func (bs *batchSender) sendRun() {
	if bs.runStart < bs.runEnd {
		bs.unit.outgoing = bs.batch.buffer[bs.runStart:bs.runEnd]
		bs.unit.backend.Send(&bs.unit.outgoing)
	}
	bs.runStart = bs.runEnd
}

// send sends a message of the proxy's own after the messages queued before it.
func (bs *batchSender) send(message pgproto3.FrontendMessage) {
	bs.sendRun()
	bs.unit.backend.Send(message)
}

// sendEnd ends an incomplete batch with a Flush, and queries the log position
// after a batch that is likely to commit a write.
func (bs *batchSender) sendEnd() {
	if !bs.batch.complete {
		bs.send(&pgproto3.Flush{})
		return
	}
	if !bs.needsPosition() {
		return
	}
	bs.send(&pgproto3.Query{String: positionQuery})
	bs.unit.unnamed = nil
	bs.unit.request.expect(expectedAnswer{kind: entryQuery, discard: true, position: true})
}

// needsPosition reports whether the batch is likely to commit a write.
func (bs *batchSender) needsPosition() bool {
	return bs.unit.mayCommitWrite() && !bs.unit.request.errored && bs.batch.executes()
}

// mayCommitWrite reports whether the next statement may commit a write, so that
// its answer needs the engine's consent.
func (u *unit) mayCommitWrite() bool {
	return u.mayWrite() && (!u.inTransaction || u.commits)
}

func (bs *batchSender) flush() *failure {
	bs.sendRun()
	if err := bs.unit.backend.Flush(); err != nil {
		return bs.session.connectionLost(err)
	}
	return nil
}
