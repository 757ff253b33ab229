package textfront

import (
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/lines"
)

const (
	// startTimeout bounds the wait for the first line of a session to begin, and the
	// wait for its rest.
	startTimeout = 5 * time.Second
	// catalogTimeout bounds the wait for the first configuration. Callers
	// abandon a session that is not answered within two seconds.
	catalogTimeout      = 1200 * time.Millisecond
	catalogPollInterval = 20 * time.Millisecond
	// discardTimeout and maxDiscardBytes bound what is read of a caller whose first
	// line is too long.
	discardTimeout  = time.Second
	maxDiscardBytes = 8 << 20
)

// handshake reads the first line, which starts the session, and answers it. It
// returns false if the session was refused.
func (s *session) handshake() bool {
	if !s.awaitStart() {
		return false
	}
	_ = s.socket.SetReadDeadline(s.server.boundByStop(time.Now().Add(startTimeout)))
	line, err := lines.Read(s.reader, statement.MaxMessageBytes)
	if err != nil {
		s.refuseFirstLine(err)
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
		failure := s.unknownDatabase()
		s.refuse(failure.Code, failure.Text)
		return false
	}
	if !s.admitStart() {
		return false
	}
	s.out = s.codec().AppendReady(s.out[:0], statement.Idle)
	return s.flush()
}

// awaitStart waits for the first line to begin. It returns false if it has not begun
// in time, or before a drain closes the session.
func (s *session) awaitStart() bool {
	s.startBy = time.Now().Add(startTimeout)
	defer func() { s.startBy = time.Time{} }()
	return s.awaitInput()
}

// awaitCatalog waits for the first configuration, without which the routes of a
// database are not known. It returns false if none has arrived in time.
func (s *session) awaitCatalog() bool {
	for end := time.Now().Add(catalogTimeout); s.server.config.Dispatch.Catalog().Version == 0; {
		if time.Now().After(end) || s.server.ctx.Err() != nil {
			return false
		}
		sleep(s.server.ctx, catalogPollInterval)
	}
	return true
}

// refuseFirstLine answers a first line that could not be read.
func (s *session) refuseFirstLine(err error) {
	switch {
	case errors.Is(err, lines.ErrTooLong):
		s.refuse(statement.FailTooLarge, "message too large")
		s.discardInput()
	case errors.Is(err, lines.ErrMissingCRLF):
		s.refuse(statement.FailMalformed, "lines end with CR LF")
	}
}

// discardInput reads what the caller still sends. If a connection is closed with
// unread input, the answer before that may be lost.
func (s *session) discardInput() {
	if half, ok := s.socket.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = s.socket.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, s.reader, maxDiscardBytes)
}

// admitStart decides whether a session may start by its access key, and sets its
// account. It returns false if the session was refused.
func (s *session) admitStart() bool {
	current := s.server.config.Dispatch.Catalog()
	route, _ := current.Route(s.start.Database)
	if route != nil && s.start.KeyFault != "" && current.NeedsKey(route) {
		s.server.recorder.startDenied(s.start, statement.FailDenied, access.KeyUnknown, current.Version)
		s.sendRefusal(statement.Failure{Code: statement.FailDenied, Text: s.start.KeyFault})
		return false
	}
	decision := access.Identify(access.Request{Catalog: current, Route: route, Key: s.start.Key})
	if decision.Reason != access.Allowed {
		failure := s.orUnconfirmed(deniedFailure)
		s.server.recorder.startDenied(s.start, failure.Code, decision.Reason, current.Version)
		s.sendRefusal(failure)
		return false
	}
	s.caller = decision.Caller
	return true
}

// refuse sends a failure after which the connection is closed.
func (s *session) refuse(code statement.FailureCode, text string) {
	s.server.recorder.startRefused(s.loggedDatabase(), code)
	s.sendRefusal(statement.Failure{Code: code, Text: text})
}

// loggedDatabase returns the name of the database for the log. A caller that gives
// its access key in the place of the name must not have it logged.
func (s *session) loggedDatabase() string {
	if _, isKey := s.server.config.Dispatch.Catalog().CallerByKey(model.DigestKey(s.start.Database)); isKey {
		return "an access key"
	}
	return s.start.Database
}

// sendRefusal sends a failure after which the connection is closed.
func (s *session) sendRefusal(failure statement.Failure) {
	s.out = s.codec().AppendFailure(s.out[:0], failure)
	s.flush()
}

// startDenied records a session that was refused by its access key.
func (r *recorder) startDenied(start statement.Start, code statement.FailureCode, reason access.Reason, version catalog.Version) {
	telemetry.AccessRefused.With(reason.String()).Inc()
	r.log(events.RequestFailed, &r.failedLines,
		slog.String("database", start.Database), slog.String("kind", "start"),
		slog.String("code", code.String()), slog.String("outcome", "not_run"),
		slog.String("cause", reason.String()), slog.Uint64("configuration", uint64(version)))
}
