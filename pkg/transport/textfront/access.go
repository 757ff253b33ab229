package textfront

import (
	"log/slog"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// deniedFailure is the answer to a caller whose key is not valid. It does not say
// why, so that it tells nothing about accounts.
var deniedFailure = statement.Failure{Code: statement.FailDenied, Text: "not run: the access key is not valid"}

// decide makes the decision on a statement that arrived at the given time.
func (s *session) decide(kind statement.Kind, arrived time.Duration) access.Decision {
	current, confirmedAt := s.server.config.Dispatch.ConfirmedCatalog()
	if !current.Authenticates && s.caller == "" {
		return access.Decision{}
	}
	request := access.Request{
		Catalog: current, Route: s.accessRoute(current), Key: s.start.Key, Caller: s.caller, Sender: s.sender,
	}
	if !s.checksAge(kind) {
		return access.Identify(request)
	}
	return access.Decide(request, arrived, confirmedAt, s.server.config.RevocationTime)
}

// isConfirmed reports whether this instance may execute a statement of the session
// that arrived at the given time, by its key and the age of the confirmation.
func (s *session) isConfirmed(arrived time.Duration) bool {
	current, confirmedAt := s.server.config.Dispatch.ConfirmedCatalog()
	if !current.Authenticates && s.caller == "" {
		return true
	}
	decision := access.Decide(access.Request{
		Catalog: current, Route: s.accessRoute(current), Key: s.start.Key, Caller: s.caller, Sender: s.sender,
	}, arrived, confirmedAt, s.server.config.RevocationTime)
	return decision.Reason == access.Allowed
}

// accessRoute returns the session's route in the active configuration, or nil if
// it has none. A peer sends the name of the route, not that of the database.
func (s *session) accessRoute(current *catalog.Catalog) *catalog.Route {
	if s.forwarded == nil {
		route, _ := current.Route(s.start.Database)
		return route
	}
	for i := range current.Routes {
		if route := &current.Routes[i]; route.Name == s.forwarded.Name && route.Group == s.forwarded.Group {
			return route
		}
	}
	return nil
}

// checksAge reports whether this instance decides by the age of its confirmation:
// it does for what it executes itself, and leaves the rest to the server.
func (s *session) checksAge(kind statement.Kind) bool {
	switch kind {
	case statement.Begin, statement.Read, statement.Write, statement.Execute, statement.Commit:
	default:
		return false
	}
	if s.tx != nil {
		_, local := s.tx.(*transaction)
		return local
	}
	if s.forwarded != nil {
		return true
	}
	route, found := s.route()
	return found && s.server.config.Dispatch.Serves(route.Group)
}

// admit decides whether a statement may run by the session's access key, and sets
// the account. It returns false if the statement was answered.
func (s *session) admit(request statement.Request, arrived time.Duration) bool {
	s.unconfirmed = false
	s.refusal = access.Allowed
	decision := s.decide(request.Kind, arrived)
	switch {
	case decision.Reason == access.Allowed:
		s.caller = decision.Caller
		return true
	case decision.Reason.IsUnconfirmed() && s.forwarded == nil && s.tx == nil && s.server.config.Forwarder != nil:
		s.caller = decision.Caller
		s.unconfirmed = true
		return true
	}
	s.refuseAccess(request, arrived, decision.Reason)
	return false
}

// refuseAccess answers a statement that may not run, and rolls back the open
// transaction.
func (s *session) refuseAccess(request statement.Request, arrived time.Duration, reason access.Reason) {
	failure := deniedFailure
	switch {
	case reason.IsUnconfirmed() && s.tx != nil:
		failure = statement.Failure{Code: statement.FailAborted, Text: "the transaction was rolled back: " + reason.String()}
	case reason.IsUnconfirmed():
		failure = statement.Failure{Code: statement.FailOverloaded, Text: notRunText(reason.String(), unconfirmedRetryAfter)}
	}
	s.server.recorder.accessRefused(s, request, arrived, failure.Code, reason)
	s.refusal = reason
	s.out = s.codec().AppendFailure(s.out, failure)
	s.failTransaction()
	if request.Kind == statement.Commit || request.Kind == statement.Rollback {
		s.state = statement.Idle
	}
}

// keyStillValid reports whether the access key of a unit that has its connection
// is still valid. It may have been removed while the unit waited. Otherwise
// nothing of the unit runs, and the connection is given back.
func (u *unit) keyStillValid() bool {
	s := u.session
	current := u.dispatch().Catalog()
	if s.caller == "" {
		return true
	}
	decision := access.Identify(access.Request{
		Catalog: current, Route: s.accessRoute(current), Key: s.start.Key, Caller: s.caller, Sender: s.sender,
	})
	if !decision.Reason.IsDenial() {
		return true
	}
	telemetry.AccessRefused.With(decision.Reason.String()).Inc()
	u.denied = decision.Reason
	s.refusal = decision.Reason
	u.returnConn()
	return false
}

// admitUnit takes over the account of a forwarded unit, and decides whether the
// unit may run.
func (s *session) admitUnit(request *meshpb.UnitRequest) meshpb.UnitRefusal {
	open := request.GetUnit()
	s.caller = model.CallerName(open.GetCaller())
	s.sender = catalog.Version(open.GetConfiguration())
	copy(s.start.Key[:], open.GetKeyDigest())
	arrived := s.server.config.Dispatch.Now() - boundedTime(request.GetAgeUs(), time.Microsecond)
	decision := s.decide(statement.Kind(request.GetKind()), arrived)
	if decision.Reason != access.Allowed {
		described := statement.Request{ID: request.GetId(), Kind: statement.Kind(request.GetKind())}
		s.server.recorder.accessRefused(s, described, arrived, accessCode(decision.Reason), decision.Reason)
		return unitRefusal(decision.Reason)
	}
	s.caller = decision.Caller
	return meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED
}

// hasValidDigest reports whether a peer sent a digest of the right size, or none.
func hasValidDigest(open *meshpb.UnitOpen) bool {
	size := len(open.GetKeyDigest())
	return size == 0 || size == len(model.KeyDigest{})
}

// unitRefusal returns the refusal that the peer gets.
func unitRefusal(reason access.Reason) meshpb.UnitRefusal {
	switch {
	case reason.IsDenial():
		return meshpb.UnitRefusal_UNIT_REFUSAL_DENIED
	case reason.IsUnconfirmed():
		return meshpb.UnitRefusal_UNIT_REFUSAL_UNCONFIRMED
	default:
		return meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED
	}
}

func accessCode(reason access.Reason) statement.FailureCode {
	if reason.IsDenial() {
		return statement.FailDenied
	}
	return statement.FailOverloaded
}

// isRefusalFinal reports whether the access check makes further attempts useless:
// the key is not valid, or neither the servers nor this instance can confirm that
// their configuration is the newest.
func (f *forwarding) isRefusalFinal() bool {
	bound := f.session.server.config.RevocationTime
	if f.denied || !f.unconfirmed || bound == 0 {
		return f.denied
	}
	_, confirmedAt := f.session.server.config.Dispatch.ConfirmedCatalog()
	return confirmedAt == 0 || f.arrived-confirmedAt > access.UsableAge(bound)
}

// refuseAccess tells the caller that its key was denied or, if no server could
// tell whether it is valid, when to come back.
func (f *forwarding) refuseAccess(request statement.Request) {
	if f.denied {
		f.deny(request)
		return
	}
	f.recorder().forwardFailed(f, request, statement.FailOverloaded, "not_run", "no server can confirm the access key")
	s := f.session
	s.out = s.codec().AppendFailure(s.out, unconfirmedFailure)
}

// deny tells the caller that a server found its key invalid.
func (f *forwarding) deny(request statement.Request) {
	f.recorder().forwardFailed(f, request, statement.FailDenied, "not_run", "access key denied by the server")
	s := f.session
	s.out = s.codec().AppendFailure(s.out, deniedFailure)
}

// isRefused answers a statement of an open transaction that the server has refused
// and rolled back. It returns false if the server did not refuse it.
func (tx *forwardedTransaction) isRefused(request statement.Request, reply *meshpb.UnitReply) bool {
	switch reply.GetRefusal() {
	case meshpb.UnitRefusal_UNIT_REFUSAL_UNSPECIFIED:
		return false
	case meshpb.UnitRefusal_UNIT_REFUSAL_DENIED:
		tx.deny(request)
		return true
	}
	text := "the server has rolled the transaction back"
	tx.recorder().forwardFailed(tx.forwarding, request, statement.FailAborted, "not_run", reply.GetRefusal().String())
	s := tx.session
	s.out = s.codec().AppendFailure(s.out, statement.Failure{Code: statement.FailAborted, Text: text})
	return true
}

// accessRefused records a statement that was refused by its access key.
func (r *recorder) accessRefused(s *session, request statement.Request, arrived time.Duration, code statement.FailureCode, reason access.Reason) {
	telemetry.AccessRefused.With(reason.String()).Inc()
	dispatch := s.server.config.Dispatch
	current, confirmedAt := dispatch.ConfirmedCatalog()
	attrs := []slog.Attr{
		slog.String("request", request.ID), slog.String("kind", request.Kind.String()),
		slog.String("code", code.String()), slog.String("outcome", "not_run"), slog.String("cause", reason.String()),
		slog.Uint64("configuration", uint64(current.Version)), slog.Duration("age", dispatch.Now()-arrived),
		slog.String("caller", string(s.caller)),
	}
	if s.sender != 0 {
		attrs = append(attrs, slog.Uint64("sender_configuration", uint64(s.sender)))
	}
	if confirmedAt != 0 {
		attrs = append(attrs, slog.Duration("confirmation_age", dispatch.Now()-confirmedAt))
	}
	r.log(events.RequestFailed, &r.failedLines, attrs...)
}
