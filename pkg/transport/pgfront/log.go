package pgfront

import (
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/verdict"
)

// log writes an event with the session's attributes.
func (s *session) log(event events.Event, attrs ...slog.Attr) {
	own := []slog.Attr{slog.String("caller", string(s.caller)), slog.String("database", s.database)}
	events.Log(s.baseContext(), s.server.config.Logger, event, append(own, attrs...)...)
}

// logError writes the log event for an error that the proxy raised, if there is one.
func (s *session) logError(e *verdict.Error) {
	attrs := []slog.Attr{slog.String("reason", e.Reason)}
	if e.Cause != nil {
		attrs = append(attrs, slog.String("cause", e.Cause.Error()))
	}
	switch e.Code {
	case verdict.Unsupported:
		s.log(events.CallerUnsupported, attrs...)
	case verdict.TooLarge:
		s.log(events.StatementTooLarge, attrs...)
	case verdict.BadMessage:
		s.log(events.CallerProtocolError, attrs...)
	}
	if e.Outcome == verdict.MayHaveRun {
		s.log(events.RequestMayHaveRun, attrs...)
	}
}

// logLost writes the event for an upstream connection that failed during the
// unit of work.
func (s *session) logLost(e *verdict.Error) {
	event := events.UpstreamLost
	if e.Code == verdict.AnswerCut {
		event = events.UpstreamAnswerCut
	}
	s.log(event, slog.String("upstream", string(s.unit.ticket.Upstream.ID)), slog.String("reason", e.Error()))
}

// log writes an event of a connection that has no session yet.
func (h *startupHandler) log(event events.Event, err error) {
	attrs := []slog.Attr{slog.String("address", h.conn.RemoteAddr().String())}
	if err != nil {
		attrs = append(attrs, slog.String("reason", err.Error()))
	}
	events.Log(h.server.baseCtx, h.server.config.Logger, event, attrs...)
}
