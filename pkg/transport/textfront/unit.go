package textfront

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textback"
)

const (
	// maxAttempts bounds the attempts at one statement.
	maxAttempts = 8
	// busyRetryDelay is the delay before a retry at an upstream whose statement
	// slots were all taken.
	busyRetryDelay = 8 * time.Millisecond
)

// sharedPreparedName returns the name under which every session prepares a
// statement of this access and shape, so that sessions share it on a
// connection.
func sharedPreparedName(readOnly bool, shape string) string {
	access := "w"
	if readOnly {
		access = "r"
	}
	return access + strconv.FormatUint(xxhash.Sum64String(shape), 36)
}

// unit is a unit of work with its placement and its connection. Only the
// goroutine of its session uses it.
type unit struct {
	session *session
	route   *catalog.Route
	// spec describes the unit to the dispatcher.
	spec dispatch.Unit
	// deadline is that of the statement in progress.
	deadline time.Duration
	attempts int
	// answerLost is set once an attempt got no answer.
	answerLost bool

	placement *dispatch.Placement
	conn      *textback.Conn
	// refusal says why the last call of acquire failed.
	refusal *dispatch.Refusal
	// denied is why the access key was found invalid after the unit had waited.
	denied access.Reason
	rate   rateState
}

func newUnit(s *session, route *catalog.Route, needsPrimary bool) *unit {
	u := &unit{session: s, route: route}
	u.spec = dispatch.Unit{
		Route:        route.Name,
		Caller:       s.caller,
		Session:      s.number,
		Weight:       callerWeight(s.server.config.Dispatch.Catalog(), s.caller),
		NeedsPrimary: needsPrimary || route.Consistency == catalog.Strong,
		Priority:     route.Priority,
		MaxAge:       route.MaxAge,
	}
	u.spec.Mark, u.spec.MarkAt = s.currentMark(route)
	return u
}

func (u *unit) dispatch() *dispatcher.Dispatcher { return u.session.server.config.Dispatch }

func (u *unit) pools() *textback.Pools { return u.session.server.config.Pools }

// setDeadlines sets the deadlines for a statement that arrived at the given
// time.
func (u *unit) setDeadlines(arrived time.Duration) {
	timeout := u.route.Timeout
	if timeout == 0 {
		timeout = catalog.DefaultTimeout
	}
	deadline := u.wallTime(arrived + timeout)
	timeout -= deadline.Sub(u.session.server.boundByStop(deadline))
	u.spec.Arrived = arrived
	u.spec.Deadline = arrived + timeout
	u.deadline = u.spec.Deadline
	if u.route.Target > 0 {
		u.spec.Target = arrived + u.route.Target
	}
}

// wallTime converts a time of the dispatcher's clock to wall time, which
// sockets need.
func (u *unit) wallTime(at time.Duration) time.Time { return time.Now().Add(at - u.dispatch().Now()) }

func (u *unit) isPastDeadline() bool { return u.dispatch().Now() >= u.deadline }

// acquire obtains a placement and a connection with the session's values. It
// tries other upstreams until the deadline. If it returns false, nothing of the
// unit has run and refusal is set.
func (u *unit) acquire(checkAlive bool) bool {
	if !u.admitRate() {
		return false
	}
	for u.attempts < maxAttempts && !u.isPastDeadline() {
		u.attempts++
		u.findIdle()
		requestedAt := u.dispatch().Now()
		placement, refusal := u.dispatch().Acquire(u.session.server.ctx, u.route.Group, &u.spec)
		recordWait(u.spec.Priority, u.dispatch().Now()-requestedAt, refusal)
		if refusal != nil {
			u.refusal = refusal
			return false
		}
		u.placement = placement
		if u.connect(checkAlive) {
			return u.keyStillValid()
		}
	}
	if u.refusal == nil {
		u.refusal = &dispatch.Refusal{Reason: dispatch.RefusedNoUpstream}
	}
	return false
}

// findIdle tells the dispatcher where a connection of the caller is idle. It
// matters only for reads, which have a choice.
func (u *unit) findIdle() {
	if u.spec.Caller != "" && !u.spec.NeedsPrimary {
		u.spec.IdleAt = u.pools().IdleAt(u.spec.IdleAt[:0], u.route.Group, u.spec.Caller)
	}
}

// lacksPermit reports whether the unit was refused only because this instance
// holds no permit, so that another one may execute it.
func (u *unit) lacksPermit() bool {
	return u.refusal != nil && u.refusal.Reason == dispatch.RefusedNoPermit
}

// connect obtains a connection for the placement.
func (u *unit) connect(checkAlive bool) bool {
	conn, opened, err := u.pools().Get(u.session.server.ctx, textback.GetOptions{
		Upstream: u.placement.Upstream, Caller: u.spec.Caller, CheckAlive: checkAlive,
	})
	if err != nil {
		u.connectFailed(err)
		return false
	}
	if opened {
		u.dispatch().Connected(u.route.Group, u.placement)
	}
	conn.RequireValues(u.session.values)
	u.conn = conn
	return true
}

// connectFailed reports to the dispatcher why no connection was obtained, and
// releases the placement.
func (u *unit) connectFailed(err error) {
	if textback.IsTooManyConnections(err) {
		u.connectRefused(err)
	} else {
		u.dispatch().ConnectFailed(u.route.Group, u.placement)
		u.spec.FailedUpstreams = append(u.spec.FailedUpstreams, u.placement.Upstream)
	}
	u.release()
}

// connectRefused reports an upstream that accepts no further connection.
func (u *unit) connectRefused(err error) {
	var refused *textback.RefusedError
	afterLoss := errors.As(err, &refused) && refused.AfterLoss
	u.dispatch().ConnectRefused(u.route.Group, u.placement, dispatch.ConnectRefusal{
		Open: u.pools().OpenConnections(u.placement.Upstream), AfterLoss: afterLoss,
	})
}

// release releases the placement.
func (u *unit) release() {
	u.dispatch().Release(u.route.Group, u.placement)
	u.placement = nil
}

// discardConn closes the connection and releases the placement.
func (u *unit) discardConn() {
	u.pools().Put(u.conn, false)
	u.conn = nil
	u.release()
}

// returnConn returns the connection for reuse and releases the placement.
func (u *unit) returnConn() {
	u.pools().Put(u.conn, true)
	u.conn = nil
	u.release()
}

// exchange sends a statement and waits for its answer until the deadline.
func (u *unit) exchange(data []byte, deadline time.Duration) (*statement.Answer, error) {
	return u.exchangeBy(u.conn.Exchange, data, deadline)
}

// exchangeBy sends data with a method of the connection and waits for the answer
// until the deadline.
func (u *unit) exchangeBy(
	send func(data []byte, deadline time.Time) (*statement.Answer, error), data []byte, deadline time.Duration,
) (*statement.Answer, error) {
	sentAt := u.dispatch().Now()
	u.dispatch().Sent(u.route.Group, u.placement)
	u.rate.sent = true
	answer, err := send(data, u.wallTime(deadline))
	if err != nil && !textback.IsTimeout(err) {
		u.dispatch().ConnectionLost(u.route.Group, u.placement)
		return nil, err
	}
	if err != nil {
		u.dispatch().Abandoned(u.route.Group, u.placement)
		return nil, err
	}
	u.dispatch().Answered(u.route.Group, u.placement, dispatcher.Answer{
		Route: u.route.Name, SentAt: sentAt, Position: answer.Position, Fault: fault(answer.Reason),
	})
	telemetry.UpstreamSeconds.With(string(u.placement.Upstream)).Update((u.dispatch().Now() - sentAt).Seconds())
	return answer, nil
}

// requirePrepared makes sure that the statement which an Execute refers to is
// prepared on the connection.
func (u *unit) requirePrepared(stmt boundStatement) {
	if stmt.request.Kind == statement.Execute {
		u.conn.RequirePrepared(stmt.prepared.upstreamName, stmt.prepared.readOnly, stmt.prepared.shape)
	}
}

// confirm waits until the connection has the session values. Nothing of the
// statement has been sent if it fails.
func (u *unit) confirm() error { return u.conn.Confirm(u.wallTime(u.deadline)) }

// encode returns a statement in the wire format of the upstream. A non-zero
// required is the position that the upstream must have applied.
func (u *unit) encode(stmt boundStatement, required model.Position) []byte {
	codec := u.conn.Codec()
	if stmt.request.Kind == statement.Execute {
		return codec.AppendExecute(nil, stmt.request, stmt.prepared.upstreamName, required)
	}
	return codec.AppendRequest(nil, stmt.request, required)
}

// answerDeadline returns when the answer to a read counts as lost. After a lost
// answer, further attempts have until the deadline of the statement: a query
// that takes long takes as long at the next upstream.
func (u *unit) answerDeadline() time.Duration {
	if u.answerLost {
		return u.deadline
	}
	timeout := u.dispatch().AnswerTimeout(u.route.Group, u.route.Name)
	return min(u.deadline, u.dispatch().Now()+timeout)
}

// avoidUpstream excludes the upstream that just failed from the next attempts,
// unless the unit needs the primary.
func (u *unit) avoidUpstream(reason statement.Reason) {
	if u.placement.Primary && u.spec.NeedsPrimary {
		return
	}
	if reason == statement.Lagging {
		u.spec.LaggingReplicas = append(u.spec.LaggingReplicas, u.placement.Upstream)
		return
	}
	u.spec.FailedUpstreams = append(u.spec.FailedUpstreams, u.placement.Upstream)
}
