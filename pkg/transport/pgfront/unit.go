package pgfront

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// maxAttempts bounds the attempts to run a unit of work, including the first.
const maxAttempts = 3

// unit is a unit of work on an upstream: a statement, a batch or a
// transaction. It owns its backend.
type unit struct {
	ticket  *traffic.Ticket
	backend pgback.Backend
	// status is the transaction state after the last request.
	status byte
	// inTransaction is true once a BEGIN was sent, until the transaction ends.
	inTransaction bool
	// readOnly is true as long as no statement of the unit is known to write.
	readOnly bool
	// commits is true once a statement that may commit was sent.
	commits bool
	// dirty is true once a statement may have changed the state of the upstream
	// session. The connection is then reset before its next use.
	dirty bool
	// preparedMayBeGone is true once a statement may have dropped prepared statements
	// on the upstream.
	preparedMayBeGone bool
	// awaitsSync is true while messages of the extended protocol were sent without
	// a Sync.
	awaitsSync bool
	// requests counts the completed requests.
	requests int
	// unnamed is the unnamed prepared statement on the upstream connection, or nil.
	unnamed *statement
	// latency is the time spent in exchanges with the upstream so far.
	latency time.Duration
	// outgoing is the part of the batch's buffer that is sent next.
	outgoing pgwire.EncodedMessages
	request  requestState
}

var unitPool = sync.Pool{New: func() any { return &unit{} }}

func newUnit(ticket *traffic.Ticket, backend pgback.Backend) *unit {
	u := unitPool.Get().(*unit)
	u.ticket = ticket
	u.backend = backend
	u.status = statusIdle
	u.readOnly = ticket.Statement.ReadOnly || ticket.Route.ReadOnly
	return u
}

// release puts the unit into the pool; it must not be used afterwards.
func (u *unit) release() {
	u.request.reset()
	kept := u.request
	*u = unit{request: kept}
	unitPool.Put(u)
}

// mayWrite reports whether the unit may write on the primary, so that its commit needs
// the engine's consent.
func (u *unit) mayWrite() bool { return u.ticket.Primary && !u.readOnly }

// failure says why a batch failed.
type failure struct {
	*verdict.Error
	// final is true if a retry can't succeed or isn't allowed.
	final bool
}

// openUnit gets a ticket and a connection for b and sets s.unit.
func (s *session) openUnit(b *batch, attempt int) *failure {
	s.cancellation.beginWait()
	failed := s.admitAndAcquire(b, attempt)
	switch {
	case failed != nil && s.cancellation.endWait():
		return &failure{Error: cancelledError(), final: true}
	case failed != nil:
		return failed
	case s.isCallerGone(b):
		return &failure{Error: callerGoneError(), final: true}
	}
	return nil
}

func cancelledError() *verdict.Error {
	return verdict.New(verdict.Cancelled, verdict.NotRun, "the statement was cancelled while it waited")
}

func callerGoneError() *verdict.Error {
	return verdict.New(verdict.Cancelled, verdict.NotRun, "the caller left while its statement waited")
}

// callerCheckAfter is the wait for a ticket and a connection after which the session
// checks whether the caller has disconnected.
const callerCheckAfter = 5 * time.Millisecond

// isCallerGone reports whether the caller closed its connection while b waited. It
// checks only after callerCheckAfter.
func (s *session) isCallerGone(b *batch) bool {
	return time.Since(b.arrived) >= callerCheckAfter && isPeerClosed(s.conn)
}

func (s *session) admitAndAcquire(b *batch, attempt int) *failure {
	ctx, end := s.startChildSpan("admission")
	ticket, refused := s.server.config.Engine.Admit(ctx, s.statementFor(b, attempt))
	end()
	if refused != nil {
		return &failure{Error: refused, final: true}
	}
	ctx, end = s.startChildSpan("upstream.acquire")
	backend, refused := s.server.config.Backends.Acquire(ctx, ticket)
	end()
	if refused != nil {
		s.server.config.Engine.Done(ticket, traffic.Result{Outcome: verdict.NotRun, Broken: isUpstreamFailure(refused)})
		return &failure{Error: refused, final: !isUpstreamFailure(refused)}
	}
	s.unit = newUnit(ticket, backend)
	return nil
}

// startRequestSpan starts the span of a request, which is the parent of its steps'
// spans.
func (s *session) startRequestSpan(b *batch) (end func()) {
	tracer := s.server.config.Tracer
	ctx := s.cancellation.requestContext(s.baseContext())
	if b.tags.Traceparent != "" {
		ctx = tracer.Join(ctx, b.tags.Traceparent)
	}
	s.spanCtx, end = tracer.Start(ctx, "caller")
	return end
}

// startChildSpan starts the span of one step of the request.
func (s *session) startChildSpan(name string) (context.Context, func()) {
	return s.server.config.Tracer.Start(s.spanCtx, name)
}

// statementFor describes the unit that starts with b to the engine.
func (s *session) statementFor(b *batch, attempt int) traffic.Statement {
	statement := traffic.Statement{
		Caller:     s.caller,
		Session:    s.sessionID,
		Connection: s.id,
		Database:   s.database,
		Tag:        b.tags.Route,
		ReadOnly:   b.readOnly,
		Attempt:    attempt,
		Charge:     &s.charge,
		Arrived:    b.arrived,
	}
	if s.deferredBegin == nil {
		statement.OnlyPrepares = b.complete && !b.executes()
		return statement
	}
	statement.ReadOnly = s.deferredBegin.readOnly && !b.changesMode
	statement.Arrived = s.deferredBegin.arrived
	if statement.Tag == "" {
		statement.Tag = s.deferredBegin.tags.Route
	}
	return statement
}

// isUpstreamFailure reports whether e means that the upstream, or the instance that
// the unit was forwarded to, could not be reached or was lost.
func isUpstreamFailure(e *verdict.Error) bool {
	switch e.Code {
	case verdict.NoUpstream, verdict.UpstreamLost, verdict.AnswerCut, verdict.PeerLost:
		return true
	default:
		return false
	}
}

// reuse returns how the unit's connection may be used after the unit has ended.
func (u *unit) reuse(lateCancel bool) pgback.Reuse {
	switch {
	case lateCancel:
		return pgback.ReuseNever
	case u.dirty:
		return pgback.ReuseAfterReset
	default:
		return pgback.ReuseClean
	}
}

// dropUnit ends the unit before it is complete and closes its connection, unless
// nothing was sent on it. A statement that may still be running is cancelled on a
// best-effort basis.
func (s *session) dropUnit(outcome verdict.Outcome, broken bool) {
	u := s.unit
	s.unit = nil
	s.cancellation.detach()
	switch {
	case u.backend == nil:
	case !u.ticket.Sent:
		u.backend.Release(pgback.ReuseClean)
	default:
		dropBackend(u.backend, u.request.awaitsAnswer() && !broken)
	}
	s.server.config.Engine.Done(u.ticket, traffic.Result{Outcome: outcome, Broken: broken, Latency: u.latency})
	u.release()
}

func dropBackend(backend pgback.Backend, isRunning bool) {
	if !isRunning {
		backend.Release(pgback.ReuseNever)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = backend.Cancel(ctx)
		backend.Release(pgback.ReuseNever)
	}()
}

// requestState is the state of one request on the upstream.
type requestState struct {
	// pending are the expected answers, from index head on.
	pending []expectedAnswer
	head    int
	// confirmed counts the entries of the batch that were answered before any
	// error.
	confirmed int
	// errored is true once the upstream has reported an error.
	errored bool
	// holding is true once answers are held back until the engine's consent.
	holding bool
	// held are the encoded messages that are held back.
	held []byte
	// position is the upstream's log position after the request.
	position      model.LSN
	positionKnown bool
}

// expectedAnswer is an answer that the upstream or the proxy itself has to give.
type expectedAnswer struct {
	kind entryKind
	// index is the index of entry in the batch.
	index int
	// discard is true if the answer is not for the caller.
	discard bool
	// local is true if the proxy itself gives the answer.
	local bool
	// position is true for the answer to positionQuery.
	position bool
	// entry is the batch entry that is answered; nil for the proxy's own messages.
	entry *entry
	// prepares is the upstream name of the statement that a Parse creates.
	prepares string
}

// awaitsAnswer reports whether answers are outstanding.
func (r *requestState) awaitsAnswer() bool { return r.head < len(r.pending) }

func (r *requestState) expect(e expectedAnswer) { r.pending = append(r.pending, e) }

func (r *requestState) next() *expectedAnswer { return &r.pending[r.head] }

func (r *requestState) pop() {
	e := r.next()
	if e.entry != nil && !e.discard && !r.errored {
		r.confirmed = e.index + 1
	}
	r.head++
	if r.head == len(r.pending) {
		r.pending = r.pending[:0]
		r.head = 0
	}
}

// Capacities up to which the buffers of a requestState are kept.
const (
	maxPooledAnswers   = 32 // answers
	maxPooledHeldBytes = 4 << 10
)

// reset prepares the state for the next request and keeps small buffers.
func (r *requestState) reset() {
	pending := r.pending[:cap(r.pending)]
	if len(pending) > maxPooledAnswers {
		pending = nil
	}
	clear(pending)
	held := r.held
	if cap(held) > maxPooledHeldBytes {
		held = nil
	}
	*r = requestState{pending: pending[:0], held: held[:0]}
}
