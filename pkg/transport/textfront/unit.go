package textfront

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textback"
)

const (
	// maxTries bounds the tries of one statement.
	maxTries = 8
	// busyPause is the pause before a statement is tried again that found all
	// slots of its upstream taken.
	busyPause = 8 * time.Millisecond
)

// sharedName returns the name under which all sessions prepare the same
// statement.
func sharedName(readOnly bool, shape string) string {
	access := "w"
	if readOnly {
		access = "r"
	}
	return access + strconv.FormatUint(xxhash.Sum64String(shape), 36)
}

// unit is a unit of work: its place and its connection. It belongs to the
// goroutine of the session.
type unit struct {
	session *session
	route   *catalog.Route
	ask     dispatch.Unit
	// deadline is that of the statement in progress.
	deadline time.Duration
	tries    int
	// impatient is set once a try was given up.
	impatient bool

	placement *dispatch.Placement
	conn      textback.Link
	// refusal is why the last acquire failed.
	refusal *dispatch.Refusal
}

func newUnit(s *session, route *catalog.Route, needsPrimary bool) *unit {
	u := &unit{session: s, route: route}
	u.ask = dispatch.Unit{
		Route:        route.Name,
		NeedsPrimary: needsPrimary || route.Consistency == catalog.Strong,
		Priority:     route.Priority,
		MaxAge:       route.MaxAge,
	}
	u.ask.Mark, u.ask.MarkAt = s.currentMark(route)
	return u
}

func (u *unit) dispatch() *dispatcher.Dispatcher { return u.session.server.config.Dispatch }

func (u *unit) links() Links { return u.session.server.config.Links }

// arrive sets the times of the next statement.
func (u *unit) arrive(arrived time.Duration) {
	timeout := u.route.Timeout
	if timeout == 0 {
		timeout = catalog.DefaultTimeout
	}
	wanted := u.until(arrived + timeout)
	timeout -= wanted.Sub(u.session.server.answerBy(wanted))
	u.ask.Arrived = arrived
	u.ask.Deadline = arrived + timeout
	u.deadline = u.ask.Deadline
	if u.route.Target > 0 {
		u.ask.Target = arrived + u.route.Target
	}
}

// until turns a time of the dispatcher into one of the wall clock, which only
// sockets use.
func (u *unit) until(at time.Duration) time.Time { return time.Now().Add(at - u.dispatch().Now()) }

func (u *unit) isLate() bool { return u.dispatch().Now() >= u.deadline }

// acquire gets a place and a connection with the session's values. It tries
// other upstreams until the deadline; after it has returned false nothing of
// the unit has run, and refusal says why.
func (u *unit) acquire(checked bool) bool {
	for u.tries < maxTries && !u.isLate() {
		u.tries++
		placement, refusal := u.dispatch().Acquire(u.session.server.ctx, u.route.Group, &u.ask)
		if refusal != nil {
			u.refusal = refusal
			return false
		}
		u.placement = placement
		if u.connect(checked) {
			return true
		}
	}
	if u.refusal == nil {
		u.refusal = &dispatch.Refusal{Reason: dispatch.RefusedNoUpstream}
	}
	return false
}

// connect gets a connection for the placement.
func (u *unit) connect(checked bool) bool {
	conn, opened, err := u.links().Get(u.session.server.ctx, textback.GetOptions{
		Upstream: u.placement.Upstream, CheckAlive: checked, Deadline: u.until(u.deadline),
	})
	if err != nil {
		u.connectFailed(err)
		return false
	}
	if opened {
		u.dispatch().Connected(u.route.Group, u.placement)
	}
	u.conn = conn
	if err := conn.SetSessionValues(u.session.values, u.until(u.deadline)); err != nil {
		u.drop()
		return false
	}
	return true
}

func (u *unit) connectFailed(err error) {
	switch {
	case textback.IsTooManyConnections(err):
		u.refusedConnection(err)
	case errors.Is(err, textback.ErrNoFreeConnection):
		u.avoid(statement.Busy)
	default:
		u.dispatch().ConnectFailed(u.route.Group, u.placement)
		u.ask.FailedUpstreams = append(u.ask.FailedUpstreams, u.placement.Upstream)
	}
	u.release()
}

// refusedConnection records an upstream that takes no further connection.
func (u *unit) refusedConnection(err error) {
	var refused *textback.RefusedError
	afterLoss := errors.As(err, &refused) && refused.AfterLoss
	u.dispatch().ConnectRefused(u.route.Group, u.placement, dispatch.ConnectRefusal{
		Open: u.links().OpenConnections(u.placement.Upstream), AfterLoss: afterLoss,
	})
}

// release gives the place back.
func (u *unit) release() {
	u.dispatch().Release(u.route.Group, u.placement)
	u.placement = nil
}

// drop closes the connection and gives the place back.
func (u *unit) drop() {
	u.links().Put(u.conn, false)
	u.conn = nil
	u.release()
}

// finish gives connection and place back.
func (u *unit) finish() {
	u.links().Put(u.conn, true)
	u.conn = nil
	u.release()
}

// exchange sends a statement and waits for its answer until the deadline.
func (u *unit) exchange(data []byte, deadline time.Duration) (*statement.Answer, error) {
	sentAt := u.dispatch().Now()
	u.dispatch().Sent(u.route.Group, u.placement)
	answer, err := u.conn.Exchange(data, u.until(deadline))
	if err != nil && !textback.IsTimeout(err) && !errors.Is(err, textback.ErrNotSent) {
		u.dispatch().ConnectionLost(u.route.Group, u.placement)
		return nil, err
	}
	if err != nil {
		u.dispatch().Abandoned(u.route.Group, u.placement)
		return nil, err
	}
	u.dispatch().Answered(u.route.Group, u.placement, dispatcher.Answer{
		Route: u.route.Name, SentAt: sentAt, Position: answer.Position,
	})
	telemetry.UpstreamSeconds.With(string(u.placement.Upstream)).Update((u.dispatch().Now() - sentAt).Seconds())
	return answer, nil
}

// prepare makes sure that what a statement executes is prepared.
func (u *unit) prepare(w work) error {
	if w.request.Kind != statement.Execute {
		return nil
	}
	return u.conn.Prepare(w.prepared.name, w.prepared.readOnly, w.prepared.shape, u.until(u.deadline))
}

// message returns the bytes of a statement.
func (u *unit) message(w work, since model.Position) []byte {
	codec := u.conn.Codec()
	if w.request.Kind == statement.Execute {
		return codec.AppendExecute(nil, w.request, w.prepared.name, since)
	}
	return codec.AppendRequest(nil, w.request, since)
}

// patience returns when a read is tried elsewhere. Only its first try is given
// up: work that takes long takes as long at the next upstream.
func (u *unit) patience() time.Duration {
	if u.impatient {
		return u.deadline
	}
	patience := u.dispatch().AnswerTimeout(u.route.Group, u.route.Name)
	return min(u.deadline, u.dispatch().Now()+patience)
}

// avoid keeps the unit's next try away from the upstream that just failed it.
func (u *unit) avoid(reason statement.Reason) {
	if u.placement.Primary && u.ask.NeedsPrimary {
		return
	}
	if reason == statement.Lagging {
		u.ask.LaggingReplicas = append(u.ask.LaggingReplicas, u.placement.Upstream)
		return
	}
	u.ask.FailedUpstreams = append(u.ask.FailedUpstreams, u.placement.Upstream)
}
