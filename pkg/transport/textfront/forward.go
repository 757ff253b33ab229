package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/breaker"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textforward"
)

// noServerRetryAfter is when a caller may come back after no server answered. By
// then an instance that restarts or takes over serves the group.
const noServerRetryAfter = 500 * time.Millisecond

// serverWait is how long a unit waits for a server to take it if none does but one
// is expected soon.
const serverWait = 600 * time.Millisecond

// forwarding is a caller's unit of work that a server of its group executes.
type forwarding struct {
	session *session
	route   *catalog.Route
	// server is the instance that was asked last.
	server   model.InstanceID
	attempts int
	// class is what distinguishes the unit from others of its group that a server
	// may refuse.
	class breaker.Class
	// denied is set if a server found the access key invalid, and unconfirmed if one
	// could not tell whether it is valid.
	denied      bool
	unconfirmed bool
	arrived     time.Duration
	// deadline is when the caller must be answered.
	deadline time.Time
}

func newForwarding(s *session, route *catalog.Route) *forwarding {
	return &forwarding{session: s, route: route}
}

func (f *forwarding) forwarder() *textforward.Forwarder { return f.session.server.config.Forwarder }

func (f *forwarding) recorder() *recorder { return f.session.server.recorder }

// setDeadline sets the deadline of a statement that arrived at the given time.
func (f *forwarding) setDeadline(arrived time.Duration) {
	f.arrived = arrived
	timeout := f.route.Timeout
	if timeout == 0 {
		timeout = catalog.DefaultTimeout
	}
	age := f.session.server.config.Dispatch.Now() - arrived
	f.deadline = f.session.server.boundByStop(time.Now().Add(timeout - age))
}

func (f *forwarding) isPastDeadline() bool { return !time.Now().Before(f.deadline) }

// request returns the message for a statement. open is nil unless it is the
// first of its unit.
func (f *forwarding) request(stmt boundStatement, open *meshpb.UnitOpen) *meshpb.UnitRequest {
	age := f.session.server.config.Dispatch.Now() - f.arrived
	request := &meshpb.UnitRequest{
		Unit:       open,
		Values:     f.session.values,
		Kind:       uint32(stmt.request.Kind),
		Id:         stmt.request.ID,
		Text:       stmt.request.Text,
		Name:       stmt.request.Name,
		Value:      stmt.request.Value,
		AgeUs:      uint64(max(age, 0).Microseconds()),
		TimeLeftMs: uint64(max(time.Until(f.deadline), 0).Milliseconds()),
	}
	if stmt.request.Kind == statement.Execute {
		request.Prepared = &meshpb.UnitPrepared{ReadOnly: stmt.prepared.readOnly, Shape: stmt.prepared.shape}
	}
	return request
}

// open returns the description of the unit.
func (f *forwarding) open() *meshpb.UnitOpen {
	s := f.session
	open := &meshpb.UnitOpen{
		Route:       f.route.Name,
		Group:       string(f.route.Group),
		Consistency: uint32(f.route.Consistency),
		TargetMs:    uint64(f.route.Target.Milliseconds()),
		Priority:    int32(f.route.Priority),
		MaxAgeMs:    uint64(f.route.MaxAge.Milliseconds()),

		Configuration: uint64(s.server.config.Dispatch.Catalog().Version),
	}
	if s.caller != "" {
		open.Caller = string(s.caller)
		open.KeyDigest = s.start.Key[:]
	}
	if !s.mark.IsZero() {
		open.MarkTerm = s.mark.Term
		open.MarkLsn = uint64(s.mark.LSN)
		open.MarkAgeMs = uint64(max(s.server.config.Dispatch.Now()-s.markAt, 0).Milliseconds())
	}
	return open
}

// need describes the unit to the forwarder.
func (f *forwarding) need() textforward.Need {
	need := textforward.Need{Group: f.route.Group, Caller: f.session.caller, Route: f.route.Name}
	if f.route.Target > 0 {
		age := f.session.server.config.Dispatch.Now() - f.arrived
		need.TimeToTarget = max(f.route.Target-age, time.Millisecond)
	}
	return need
}

// begin sends the first statement of a unit to the servers of its group. If none
// takes it but one is expected soon, the unit waits for news of the servers, until
// serverWait has passed.
func (f *forwarding) begin(stmt boundStatement, open *meshpb.UnitOpen, mayRepeat bool) (*textforward.Stream, *meshpb.UnitReply, bool) {
	f.class = unitClass(f.route, stmt, open)
	waitUntil := time.Now().Add(serverWait)
	for {
		stream, reply, sent := f.beginOnce(stmt, open, mayRepeat)
		if sent || f.isRefusalFinal() || f.isPastDeadline() || f.servesItself() || !f.forwarder().ExpectsServer() {
			return stream, reply, sent
		}
		if !f.forwarder().AwaitServer(f.session.server.ctx, f.breakerKey(""), f.servers(), waitUntil) {
			return nil, nil, false
		}
	}
}

// unitClass returns the class of a unit that starts with the statement.
func unitClass(route *catalog.Route, stmt boundStatement, open *meshpb.UnitOpen) breaker.Class {
	switch {
	case stmt.writes || route.Consistency == catalog.Strong || open.GetTransaction() && !open.GetReadOnly():
		return breaker.NeedsPrimary
	case route.Consistency == catalog.ReadYourWrites:
		return breaker.ReadsOwnWrites
	default:
		return breaker.ReadsStale
	}
}

// breakerKey names a server and the units that it may refuse as it refuses this one.
func (f *forwarding) breakerKey(server model.InstanceID) breaker.Key {
	return breaker.Key{Server: server, Group: f.route.Group, Class: f.class}
}

// beginOnce sends the first statement of a unit to the servers of its group in
// turn, until one answers. mayRepeat is set if the statement can be sent again after
// an answer was lost; otherwise a server must show that it is alive before the
// statement is sent. sent tells, if no server answered, whether the statement
// may have run.
func (f *forwarding) beginOnce(stmt boundStatement, open *meshpb.UnitOpen, mayRepeat bool) (stream *textforward.Stream, reply *meshpb.UnitReply, sent bool) {
	for _, server := range f.servers() {
		if f.isPastDeadline() {
			break
		}
		if server == f.session.server.config.Self || !f.forwarder().Allow(f.breakerKey(server)) {
			continue
		}
		f.server = server
		if !mayRepeat && !f.forwarder().IsAlive(server) {
			f.forwarder().Refused(f.breakerKey(server), "no answer to a ping")
			continue
		}
		stream, err := f.forwarder().Open(server)
		if err != nil {
			f.recorder().forwardRetried(f, stmt.request, err.Error())
			continue
		}
		f.attempts++
		telemetry.ForwardAttempts.With(string(f.route.Group)).Inc()
		reply, err := stream.Exchange(f.request(stmt, open), f.deadline, mayRepeat)
		if err == nil && reply.GetRefusal() == meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED {
			f.forwarder().Answered(f.breakerKey(server))
			return stream, reply, true
		}
		stream.Close()
		if err != nil && !mayRepeat {
			return nil, nil, true
		}
		cause := f.failure(err, reply)
		if f.denied {
			break
		}
		f.recorder().forwardRetried(f, stmt.request, cause)
	}
	return nil, nil, false
}

// failure returns the cause for the log of an attempt that failed, and records that
// the server refused the unit. One that lacks the permit of this group, or does not
// serve it, may well serve others.
func (f *forwarding) failure(err error, reply *meshpb.UnitReply) string {
	if err != nil {
		if !f.isPastDeadline() {
			f.forwarder().Refused(f.breakerKey(f.server), err.Error())
		}
		return err.Error()
	}
	switch reply.GetRefusal() {
	case meshpb.UnitRefusal_UNIT_REFUSAL_DENIED:
		f.denied = true
	case meshpb.UnitRefusal_UNIT_REFUSAL_UNCONFIRMED:
		// A server that has not got the newest configuration yet is able to serve
		// other callers, so that it is not avoided.
		f.unconfirmed = true
	case meshpb.UnitRefusal_UNIT_REFUSAL_NO_PERMIT, meshpb.UnitRefusal_UNIT_REFUSAL_NOT_SERVED:
		f.forwarder().Refused(f.breakerKey(f.server), reply.GetRefusal().String())
	default:
		f.forwarder().Refused(f.breakerKey(f.server), reply.GetRefusal().String())
		f.forwarder().Avoid(f.server, reply.GetRefusal().String())
	}
	return reply.GetRefusal().String()
}

// answer passes a reply on to the caller.
func (f *forwarding) answer(request statement.Request, reply *meshpb.UnitReply) {
	s := f.session
	s.out = append(s.out, reply.GetOutput()...)
	mark := model.Position{Term: reply.GetMarkTerm(), LSN: model.LSN(reply.GetMarkLsn())}
	if !mark.IsZero() {
		s.recordWrite(mark)
	}
	f.recorder().forwarded(f, request)
}

// refuse tells the caller that no server took the unit, so that it has not run.
func (f *forwarding) refuse(request statement.Request) {
	s := f.session
	if f.denied || f.unconfirmed {
		f.refuseAccess(request)
		return
	}
	f.recorder().forwardFailed(f, request, statement.FailOverloaded, "not_run", "no server answers")
	s.out = s.codec().AppendFailure(s.out, statement.Failure{
		Code: statement.FailOverloaded, Text: notRunText("no server of the group answers", noServerRetryAfter),
	})
}

// forwardSingle has a server answer a statement outside a transaction. A read is
// sent to the next server if the first one is lost; a write only if it certainly
// did not reach the first one.
func forwardSingle(s *session, route *catalog.Route, stmt boundStatement, arrived time.Duration) {
	f := newForwarding(s, route)
	f.setDeadline(arrived)
	stream, reply, sent := f.begin(stmt, f.open(), !stmt.writes)
	switch {
	case reply != nil:
		stream.Close()
		f.answer(stmt.request, reply)
	case sent:
		f.recorder().forwardFailed(f, stmt.request, statement.FailUnknown, "may_have_run", "no answer from the server")
		s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: statement.FailUnknown, Text: "no answer from the server"})
	case f.servesItself():
		runSingle(s, route, stmt, arrived)
	default:
		f.refuse(stmt.request)
	}
}
