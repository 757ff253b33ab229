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

// maxAttempts bounds the tries of a unit of work, the first included.
const maxAttempts = 3

// unit is a unit of work on an upstream: a statement, a batch or a
// transaction. It owns its backend.
type unit struct {
	ticket  *traffic.Ticket
	backend pgback.Backend
	// status is the transaction state after the last request.
	status byte
	// explicit is true once a BEGIN has been sent.
	explicit bool
	// readOnly is true when nothing of the unit is known to write.
	readOnly bool
	// commits is true once a statement that may commit has been sent.
	commits bool
	// dirty is true once a statement may have changed the session's state.
	dirty bool
	// reprepares is true once the upstream's prepared statements may be gone.
	reprepares bool
	// needsSync is true while extended messages wait for their Sync.
	needsSync bool
	// requests counts the requests that are complete.
	requests int
	// unnamed is the upstream's unnamed statement.
	unnamed *statement
	// latency is the time spent on the upstream so far.
	latency time.Duration
	// passage is what is sent of the batch's buffer next.
	passage pgwire.Encoded
	x       exchange
}

var units = sync.Pool{New: func() any { return &unit{} }}

func newUnit(ticket *traffic.Ticket, backend pgback.Backend) *unit {
	u := units.Get().(*unit)
	u.ticket = ticket
	u.backend = backend
	u.status = statusIdle
	u.readOnly = ticket.Statement.ReadOnly || ticket.Route.ReadOnly
	return u
}

// release gives the unit back; it must not be used afterwards.
func (u *unit) release() {
	u.x.reset()
	kept := u.x
	*u = unit{x: kept}
	units.Put(u)
}

// writes reports whether the unit's commit needs the engine's consent.
func (u *unit) writes() bool { return u.ticket.Primary && !u.readOnly }

// failure is why a batch was not carried out.
type failure struct {
	*verdict.Error
	// final is true when another try is of no use.
	final bool
}

// openUnit asks for a ticket and a connection for b. s.unit is set when it
// succeeds.
func (s *session) openUnit(b *batch, attempt int) *failure {
	s.running.wait()
	failed := s.admit(b, attempt)
	if s.running.endWait() {
		return &failure{Error: cancelledError(), final: true}
	}
	if failed == nil && s.isCallerGone(b) {
		return &failure{Error: callerGoneError(), final: true}
	}
	return failed
}

func cancelledError() *verdict.Error {
	return verdict.New(verdict.Cancelled, verdict.NotRun, "the statement was cancelled while it waited")
}

func callerGoneError() *verdict.Error {
	return verdict.New(verdict.Cancelled, verdict.NotRun, "the caller left while its statement waited")
}

// longWait is the wait for a ticket after which the caller may have left.
const longWait = 5 * time.Millisecond

// isCallerGone reports whether the caller has closed its connection while b
// waited.
func (s *session) isCallerGone(b *batch) bool {
	return time.Since(b.arrived) >= longWait && hasEnded(s.conn)
}

func (s *session) admit(b *batch, attempt int) *failure {
	ctx, end := s.startHop("admission")
	ticket, refused := s.server.config.Engine.Admit(ctx, s.describe(b, attempt))
	end()
	if refused != nil {
		return &failure{Error: refused, final: true}
	}
	ctx, end = s.startHop("upstream.acquire")
	backend, refused := s.server.config.Backends.Acquire(ctx, ticket)
	end()
	if refused != nil {
		s.server.config.Engine.Done(ticket, traffic.Result{Outcome: verdict.NotRun, Broken: isLost(refused)})
		return &failure{Error: refused, final: !isLost(refused)}
	}
	s.unit = newUnit(ticket, backend)
	return nil
}

// startSpan starts the span of a request, under which its hops stand.
func (s *session) startSpan(b *batch) (end func()) {
	tracer := s.server.config.Tracer
	ctx := s.running.context(s.context())
	if b.tags.Traceparent != "" {
		ctx = tracer.Join(ctx, b.tags.Traceparent)
	}
	s.span, end = tracer.Start(ctx, "caller")
	return end
}

// startHop starts the span of a part of the request.
func (s *session) startHop(name string) (context.Context, func()) {
	return s.server.config.Tracer.Start(s.span, name)
}

// describe returns what the engine is told of the unit that starts with b.
func (s *session) describe(b *batch, attempt int) traffic.Statement {
	statement := traffic.Statement{
		Caller:     s.caller,
		Session:    s.name,
		Connection: s.id,
		Database:   s.database,
		Tag:        b.tags.Route,
		ReadOnly:   b.readOnly,
		Attempt:    attempt,
		Arrived:    b.arrived,
	}
	if s.begin == nil {
		return statement
	}
	statement.ReadOnly = s.begin.readOnly && !b.changesMode
	statement.Arrived = s.begin.arrived
	if statement.Tag == "" {
		statement.Tag = s.begin.tags.Route
	}
	return statement
}

// isLost reports whether e says that the way to the upstream failed.
func isLost(e *verdict.Error) bool {
	switch e.Code {
	case verdict.NoUpstream, verdict.UpstreamLost, verdict.AnswerCut, verdict.PeerLost:
		return true
	default:
		return false
	}
}

// reuse says what may happen to the unit's connection after it has ended.
func (u *unit) reuse(unsure bool) pgback.Reuse {
	switch {
	case unsure:
		return pgback.ReuseNever
	case u.dirty:
		return pgback.ReuseAfterReset
	default:
		return pgback.ReuseClean
	}
}

// dropUnit gives up the unit and closes its connection. A statement that may
// still be running there is cancelled, as far as that succeeds.
func (s *session) dropUnit(outcome verdict.Outcome, broken bool) {
	u := s.unit
	s.unit = nil
	s.running.clear()
	switch {
	case u.backend == nil:
	case !u.ticket.Sent:
		u.backend.Release(pgback.ReuseClean)
	default:
		dropBackend(u.backend, u.x.isOpen() && !broken)
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

// exchange is the state of one request on the upstream.
type exchange struct {
	// pending are the answers to come, from head on.
	pending []expected
	head    int
	// confirmed counts the entries of the batch whose answer has come before
	// any error.
	confirmed int
	// errored is true once the upstream has reported an error.
	errored bool
	// holding is true once an answer must wait for the engine's consent.
	holding bool
	// held are the messages that wait, in their wire form.
	held []byte
	// position is the upstream's log position after the request.
	position      model.LSN
	positionKnown bool
}

// expected is an answer that the upstream, or the proxy itself, has to give.
type expected struct {
	kind entryKind
	// index is the batch's entry that the answer is for.
	index int
	// swallow keeps the answer from the caller.
	swallow bool
	// local answers are given by the proxy.
	local bool
	// position marks the query for the log position.
	position bool
	// entry is nil for messages of the proxy's own.
	entry *entry
	// prepares names the upstream statement that a Parse creates.
	prepares string
}

// isOpen reports whether answers are missing.
func (x *exchange) isOpen() bool { return x.head < len(x.pending) }

func (x *exchange) expect(e expected) { x.pending = append(x.pending, e) }

func (x *exchange) next() *expected { return &x.pending[x.head] }

func (x *exchange) pop() {
	e := x.next()
	if e.entry != nil && !e.swallow && !x.errored {
		x.confirmed = e.index + 1
	}
	x.head++
	if x.head == len(x.pending) {
		x.pending = x.pending[:0]
		x.head = 0
	}
}

// Sizes up to which the buffers of an exchange are kept.
const (
	keepPending = 32 // answers
	keepHeld    = 4 << 10
)

// reset makes the exchange ready for the next request.
func (x *exchange) reset() {
	pending := x.pending[:cap(x.pending)]
	if len(pending) > keepPending {
		pending = nil
	}
	clear(pending)
	held := x.held
	if cap(held) > keepHeld {
		held = nil
	}
	*x = exchange{pending: pending[:0], held: held[:0]}
}
