package textfront

import (
	"bufio"
	"log/slog"
	"net"
	"strings"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
	"gypsumdock/pkg/transport/textforward"
)

const (
	// unitStartTimeout bounds the wait for the first request of a forwarded unit,
	// and unitReplyTimeout the write of a reply.
	unitStartTimeout = 2 * time.Second
	unitReplyTimeout = 10 * time.Second
	// maxUnitTime bounds the times that a peer can ask for.
	maxUnitTime = time.Minute
)

// ServeForwarded executes a unit of work that a peer forwards, and closes its
// stream. The unit runs in a session of its own, so that the same rules apply as
// to a caller of this instance.
func (s *Server) ServeForwarded(from model.InstanceID, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(unitStartTimeout))
	request := &meshpb.UnitRequest{}
	if err := textforward.ReadFrame(reader, request); err != nil {
		s.refuseUnit(from, conn, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED, err.Error())
		return
	}
	unit, refusal := s.openUnit(conn, request)
	if refusal != meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED {
		s.refuseUnit(from, conn, refusal, request.GetUnit().GetGroup())
		return
	}
	defer s.endUnit(unit)
	unit.serveUnit(reader, request)
}

// refuseUnit tells the peer that nothing of its unit has run.
func (s *Server) refuseUnit(from model.InstanceID, conn net.Conn, refusal meshpb.UnitRefusal, detail string) {
	s.unitRefused.Log(s.ctx, s.config.Logger, slog.String("from", string(from)),
		slog.String("refusal", refusal.String()), slog.String("detail", detail))
	// A peer that does not read the refusal sees the stream end.
	_ = textforward.WriteFrame(conn, &meshpb.UnitReply{Refusal: refusal}, time.Now().Add(unitReplyTimeout))
}

// openUnit returns a session for a forwarded unit, or why it is not taken.
func (s *Server) openUnit(conn net.Conn, request *meshpb.UnitRequest) (*session, meshpb.UnitRefusal) {
	open := request.GetUnit()
	if !isValidUnit(open) || !isValidStatement(request) {
		return nil, meshpb.UnitRefusal_UNIT_REFUSAL_MALFORMED
	}
	route := decodeRoute(open)
	if !s.config.Dispatch.Serves(route.Group) {
		return nil, meshpb.UnitRefusal_UNIT_REFUSAL_NOT_SERVED
	}
	unit := &session{server: s, number: s.lastSession.Add(1), socket: conn, prepared: make(map[string]prepared), forwarded: route}
	if refusal := unit.admitUnit(request); refusal != meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	unit.mark = model.Position{Term: open.GetMarkTerm(), LSN: model.LSN(open.GetMarkLsn())}
	unit.markAt = s.config.Dispatch.Now() - boundedTime(open.GetMarkAgeMs(), time.Millisecond)
	if open.GetTransaction() {
		unit.tx = newTransaction(unit, route, open.GetReadOnly())
		unit.state = statement.InTransaction
	}
	if !s.addUnit(unit) {
		return nil, meshpb.UnitRefusal_UNIT_REFUSAL_STOPPING
	}
	return unit, meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED
}

// addUnit counts a forwarded unit, unless the server is stopping.
func (s *Server) addUnit(unit *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.drain.Load(); current != nil && current.stopping {
		return false
	}
	s.group.Add(1)
	s.units[unit] = struct{}{}
	return true
}

// endUnit rolls back what a forwarded unit has not committed.
func (s *Server) endUnit(unit *session) {
	unit.rollBackOpen()
	s.mu.Lock()
	delete(s.units, unit)
	s.mu.Unlock()
	s.group.Done()
}

// serveUnit answers the first request, and the others of a transaction until it
// has ended.
func (s *session) serveUnit(reader *bufio.Reader, request *meshpb.UnitRequest) {
	for {
		reply := s.answerUnit(request)
		if textforward.WriteFrame(s.socket, reply, time.Now().Add(unitReplyTimeout)) != nil || s.tx == nil {
			return
		}
		if !s.awaitUnitRequest(reader) {
			return
		}
		_ = s.socket.SetReadDeadline(s.server.boundByStop(time.Now().Add(lineTimeout)))
		request = &meshpb.UnitRequest{}
		if textforward.ReadFrame(reader, request) != nil || !isValidStatement(request) {
			return
		}
	}
}

// awaitUnitRequest waits for the next statement of a transaction. It returns
// false if the peer has ended the unit, or if the transaction was idle for too
// long.
func (s *session) awaitUnitRequest(reader *bufio.Reader) bool {
	defer s.wait.end()
	for {
		until := s.readDeadline()
		s.wait.begin(s.socket, until)
		if s.server.drain.Load() != s.closeDrain {
			s.closeDrain = s.server.drain.Load()
			continue
		}
		if _, err := reader.Peek(1); err == nil {
			return true
		} else if !textback.IsTimeout(err) {
			return false
		}
		if !until.IsZero() && !time.Now().Before(until) {
			return false
		}
	}
}

// answerUnit answers one request.
func (s *session) answerUnit(request *meshpb.UnitRequest) *meshpb.UnitReply {
	age := boundedTime(request.GetAgeUs(), time.Microsecond)
	s.forwarded.Timeout = age + boundedTime(request.GetTimeLeftMs(), time.Millisecond)
	s.values = request.GetValues()
	if prep := request.GetPrepared(); prep != nil {
		s.prepared[request.GetName()] = prepared{
			readOnly:     prep.GetReadOnly(),
			shape:        prep.GetShape(),
			upstreamName: sharedPreparedName(prep.GetReadOnly(), prep.GetShape()),
		}
	}
	before := s.mark
	s.out = nil
	s.answer(statement.Request{
		ID:    request.GetId(),
		Kind:  statement.Kind(request.GetKind()),
		Text:  request.GetText(),
		Name:  request.GetName(),
		Value: request.GetValue(),
	}, s.server.config.Dispatch.Now()-age)
	if s.refusal != access.Allowed {
		return &meshpb.UnitReply{Refusal: unitRefusal(s.refusal)}
	}
	if s.noPermit {
		return &meshpb.UnitReply{Refusal: meshpb.UnitRefusal_UNIT_REFUSAL_NO_PERMIT}
	}
	reply := &meshpb.UnitReply{Output: s.out, State: uint32(s.state), Load: s.server.load(s.forwarded.Group)}
	if s.mark != before {
		reply.MarkTerm = s.mark.Term
		reply.MarkLsn = uint64(s.mark.LSN)
	}
	return reply
}

// boundedTime converts a time that a peer sent.
func boundedTime(value uint64, unit time.Duration) time.Duration {
	return time.Duration(min(value, uint64(maxUnitTime/unit))) * unit
}

func decodeRoute(open *meshpb.UnitOpen) *catalog.Route {
	return &catalog.Route{
		Name:        open.GetRoute(),
		Group:       model.GroupID(open.GetGroup()),
		Consistency: catalog.Consistency(open.GetConsistency()),
		Target:      boundedTime(open.GetTargetMs(), time.Millisecond),
		Priority:    int(open.GetPriority()),
		MaxAge:      boundedTime(open.GetMaxAgeMs(), time.Millisecond),
	}
}

func isValidUnit(open *meshpb.UnitOpen) bool {
	return open.GetGroup() != "" && hasValidDigest(open) && open.GetConsistency() <= uint32(catalog.ReadYourWrites)
}

// isValidStatement reports whether a request holds a statement that an upstream
// executes. A line end in it would add statements that no caller has sent.
func isValidStatement(request *meshpb.UnitRequest) bool {
	switch statement.Kind(request.GetKind()) {
	case statement.Read, statement.Write, statement.Execute, statement.Commit, statement.Rollback:
	default:
		return false
	}
	parts := []string{request.GetId(), request.GetText(), request.GetName(), request.GetValue(), request.GetPrepared().GetShape()}
	for name, value := range request.GetValues() {
		parts = append(parts, name, value)
	}
	for _, part := range parts {
		if strings.ContainsAny(part, "\r\n") {
			return false
		}
	}
	return true
}

// unitRefusedInterval is the minimum time between two log lines about refused
// units.
const unitRefusedInterval = time.Second

func newUnitRefusedLog() *events.Throttle {
	return events.NewThrottle(events.UnitRefused, unitRefusedInterval)
}
