package pgfront

import (
	"crypto/rand"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/pgwire"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// serverVersion is the PostgreSQL version that is reported to callers.
const serverVersion = "16.0"

// maxAuthMessageBytes bounds the body of an authentication message.
const maxAuthMessageBytes = 8 << 10

// maxEncryptionRequests bounds the requests for encryption before the startup
// message: one for TLS and one for GSSAPI.
const maxEncryptionRequests = 2

// startupHandler handles the startup of one connection, up to an authenticated
// session.
type startupHandler struct {
	server *Server
	conn   net.Conn
	secure bool
}

// startup handles the startup of connection within the deadline that is set on it.
// full means that MaxSessions is exceeded. It returns nil if the connection is to be
// closed.
func (s *Server) startup(connection net.Conn, full bool) *session {
	h := &startupHandler{server: s, conn: connection}
	message, err := h.receive()
	if err != nil {
		h.refuseMalformed(err)
		return nil
	}
	switch message := message.(type) {
	case *pgproto3.CancelRequest:
		s.handleCancelRequest(message.ProcessID, message.SecretKey)
		return nil
	case *pgproto3.StartupMessage:
		return h.startSession(message, full)
	}
	return nil
}

// receive reads and answers requests for encryption, and returns the first other
// startup packet.
func (h *startupHandler) receive() (pgproto3.FrontendMessage, error) {
	for range maxEncryptionRequests + 1 {
		message, err := h.receivePacket()
		if err != nil {
			return nil, err
		}
		switch message.(type) {
		case *pgproto3.SSLRequest:
			err = h.answerTLS()
		case *pgproto3.GSSEncRequest:
			err = h.write([]byte{'N'})
		default:
			return message, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many requests for encryption")
}

// receivePacket reads exactly one packet, so that data that was sent before the TLS
// handshake is not taken for a part of the encrypted session.
func (h *startupHandler) receivePacket() (pgproto3.FrontendMessage, error) {
	var header [pgwire.StartupHeaderLen]byte
	if _, err := io.ReadFull(h.conn, header[:]); err != nil {
		return nil, err
	}
	length, err := pgwire.StartupBodyLen(header)
	if err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(h.conn, body); err != nil {
		return nil, err
	}
	return pgwire.ParseStartup(body)
}

func (h *startupHandler) answerTLS() error {
	if h.server.config.TLS == nil || h.secure {
		return h.write([]byte{'N'})
	}
	if err := h.write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(h.conn, h.server.config.TLS)
	if err := secured.HandshakeContext(h.server.baseCtx); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	h.conn = secured
	h.secure = true
	return nil
}

func (h *startupHandler) write(data []byte) error {
	_, err := h.conn.Write(data)
	return err
}

// refuseMalformed answers an invalid startup packet. There is no answer if
// the caller sent nothing, or after a network error or timeout.
func (h *startupHandler) refuseMalformed(err error) {
	h.log(events.CallerStartupRefused, err)
	var network net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &network) {
		return
	}
	h.refuse(verdict.New(verdict.BadMessage, verdict.NotRun, err.Error()))
}

// refuse sends a fatal error and waits until it has probably arrived.
func (h *startupHandler) refuse(e *verdict.Error) {
	if e.Code == verdict.Overloaded {
		h.log(events.CallerLimitReached, e)
	}
	h.server.counters.countError(e)
	packet, err := pgwire.ErrorResponse(pgwire.SeverityFatal, e).Encode(nil)
	if err != nil {
		return
	}
	if h.write(packet) == nil {
		linger(h.conn)
	}
}

func (h *startupHandler) startSession(message *pgproto3.StartupMessage, full bool) *session {
	startup, err := pgwire.ReadStartup(message, h.server.config.SessionParameter)
	if err != nil {
		h.log(events.CallerUnsupported, err)
		h.refuse(verdict.New(verdict.Unsupported, verdict.NotRun, err.Error()))
		return nil
	}
	if refused := h.startRefusal(full); refused != nil {
		h.refuse(refused)
		return nil
	}
	session := newSession(h.server, h.conn, startup)
	if startup.Negotiate != nil {
		session.output.send(startup.Negotiate)
	}
	config := h.server.config.Engine.Bundle()
	caller, known := config.Caller(model.CallerName(startup.User))
	if !known {
		caller = &bundle.Caller{}
	}
	if refused := h.authenticate(session, startup.User, caller); refused != nil {
		h.server.counters.authFailed.Add(1)
		h.log(events.CallerAuthFailed, refused.Cause)
		h.refuse(refused)
		return nil
	}
	if refused := h.establish(session, config, caller, startup); refused != nil {
		h.refuse(refused)
		return nil
	}
	return session
}

func (h *startupHandler) startRefusal(full bool) *verdict.Error {
	switch {
	case h.server.stopping.Load():
		return stoppingError()
	case full:
		return verdict.New(verdict.Overloaded, verdict.NotRun, "too many connections").WithRetryAfter(retryAfterFull)
	case h.server.config.RequireTLS && !h.secure:
		return verdict.New(verdict.AuthFailed, verdict.NotRun, "TLS is required")
	}
	return nil
}

// establish checks the database, registers the session and sends the caller the
// first ReadyForQuery.
func (h *startupHandler) establish(
	s *session, config *bundle.Bundle, caller *bundle.Caller, startup pgwire.Startup,
) *verdict.Error {
	if _, found := config.GroupOfDatabase(startup.Database); !found {
		return verdict.New(verdict.UnknownDatabase, verdict.NotRun, "the database does not exist")
	}
	if _, err := rand.Read(s.secret[:]); err != nil {
		return verdict.New(verdict.Internal, verdict.NotRun, "no random numbers").WithCause(err)
	}
	if refused := h.server.addSession(s, caller.MaxConnections); refused != nil {
		return refused
	}
	s.sendParameters(startup)
	s.output.send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret[:]})
	s.sendReady()
	if err := h.conn.SetDeadline(time.Time{}); err != nil {
		s.mustClose = true
	}
	return nil
}

func (s *session) sendParameters(startup pgwire.Startup) {
	parameters := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: startup.Application},
		{Name: "is_superuser", Value: "off"},
		{Name: "session_authorization", Value: startup.User},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
	for i := range parameters {
		s.output.send(&parameters[i])
	}
}

// Bounds of what is read from a caller after a fatal error.
const (
	lingerTimeout = 250 * time.Millisecond
	lingerBytes   = 64 << 20
)

// linger half-closes connection and discards what the caller still sends. Closing
// it with unread data would reset the connection, and the caller could lose the
// last message.
func linger(connection net.Conn) {
	half, ok := connection.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if connection.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, connection, lingerBytes)
}
