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

// serverVersion is the version that is reported to callers.
const serverVersion = "16.0"

// maxAuthMessage bounds a message of the authentication, in bytes.
const maxAuthMessage = 8 << 10

// maxEncryptionRequests bounds the requests for encryption before the startup
// message: one for TLS and one for GSSAPI.
const maxEncryptionRequests = 2

// greeter carries out the startup of one connection.
type greeter struct {
	server *Server
	conn   net.Conn
	secure bool
}

// startup brings connection to the state of an idle session, within the
// deadline that the connection has. It returns nil when the connection is to
// be closed.
func (s *Server) startup(connection net.Conn, full bool) *session {
	g := &greeter{server: s, conn: connection}
	message, err := g.receive()
	if err != nil {
		g.refuseMalformed(err)
		return nil
	}
	switch message := message.(type) {
	case *pgproto3.CancelRequest:
		s.cancel(message.ProcessID, message.SecretKey)
		return nil
	case *pgproto3.StartupMessage:
		return g.greet(message, full)
	}
	return nil
}

// receive reads startup packets until one that asks for no encryption.
func (g *greeter) receive() (pgproto3.FrontendMessage, error) {
	for range maxEncryptionRequests + 1 {
		message, err := g.receivePacket()
		if err != nil {
			return nil, err
		}
		switch message.(type) {
		case *pgproto3.SSLRequest:
			err = g.answerTLS()
		case *pgproto3.GSSEncRequest:
			err = g.write([]byte{'N'})
		default:
			return message, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many requests for encryption")
}

// receivePacket reads exactly one packet, so that nothing sent before the TLS
// handshake is taken as part of what follows it.
func (g *greeter) receivePacket() (pgproto3.FrontendMessage, error) {
	var header [pgwire.StartupHeaderLen]byte
	if _, err := io.ReadFull(g.conn, header[:]); err != nil {
		return nil, err
	}
	length, err := pgwire.StartupBodyLen(header)
	if err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(g.conn, body); err != nil {
		return nil, err
	}
	return pgwire.ParseStartup(body)
}

func (g *greeter) answerTLS() error {
	if g.server.config.TLS == nil || g.secure {
		return g.write([]byte{'N'})
	}
	if err := g.write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(g.conn, g.server.config.TLS)
	if err := secured.HandshakeContext(g.server.base); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	g.conn = secured
	g.secure = true
	return nil
}

func (g *greeter) write(data []byte) error {
	_, err := g.conn.Write(data)
	return err
}

// refuseMalformed answers a packet that can't be read; a caller that sent
// nothing gets no answer.
func (g *greeter) refuseMalformed(err error) {
	g.log(events.CallerStartupBad, err)
	var network net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &network) {
		return
	}
	g.refuse(verdict.New(verdict.BadMessage, verdict.NotRun, err.Error()))
}

// refuse sends a fatal error and closes the connection in a way that lets it
// arrive.
func (g *greeter) refuse(e *verdict.Error) {
	if e.Code == verdict.Overloaded {
		g.log(events.CallerLimitReached, e)
	}
	g.server.counters.countError(e)
	packet, err := pgwire.ErrorResponse(pgwire.SeverityFatal, e).Encode(nil)
	if err != nil {
		return
	}
	if g.write(packet) == nil {
		linger(g.conn)
	}
}

func (g *greeter) greet(message *pgproto3.StartupMessage, full bool) *session {
	startup, err := pgwire.ReadStartup(message, g.server.config.SessionParameter)
	if err != nil {
		g.log(events.CallerUnsupported, err)
		g.refuse(verdict.New(verdict.Unsupported, verdict.NotRun, err.Error()))
		return nil
	}
	if refused := g.mayStart(full); refused != nil {
		g.refuse(refused)
		return nil
	}
	session := newSession(g.server, g.conn, startup)
	if startup.Negotiate != nil {
		session.output.send(startup.Negotiate)
	}
	config := g.server.config.Engine.Bundle()
	caller, known := config.Caller(model.CallerName(startup.User))
	if !known {
		caller = &bundle.Caller{}
	}
	if refused := g.authenticate(session, startup.User, caller); refused != nil {
		g.server.counters.authFailed.Add(1)
		g.log(events.CallerAuthFailed, refused.Cause)
		g.refuse(refused)
		return nil
	}
	if refused := g.establish(session, config, caller, startup); refused != nil {
		g.refuse(refused)
		return nil
	}
	return session
}

func (g *greeter) mayStart(full bool) *verdict.Error {
	switch {
	case g.server.stopping.Load():
		return stoppingError()
	case full:
		return verdict.New(verdict.Overloaded, verdict.NotRun, "too many connections").WithRetryAfter(retryAfterFull)
	case g.server.config.RequireTLS && !g.secure:
		return verdict.New(verdict.AuthFailed, verdict.NotRun, "TLS is required")
	}
	return nil
}

// establish checks the database, registers the session and tells the caller
// that it may send queries.
func (g *greeter) establish(
	s *session, config *bundle.Bundle, caller *bundle.Caller, startup pgwire.Startup,
) *verdict.Error {
	if _, found := config.GroupOfDatabase(startup.Database); !found {
		return verdict.New(verdict.UnknownDatabase, verdict.NotRun, "the database does not exist")
	}
	if _, err := rand.Read(s.secret[:]); err != nil {
		return verdict.New(verdict.Internal, verdict.NotRun, "no random numbers").WithCause(err)
	}
	if refused := g.server.addSession(s, caller.MaxConnections); refused != nil {
		return refused
	}
	s.sendParameters(startup)
	s.output.send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: s.secret[:]})
	s.sendReady()
	if err := g.conn.SetDeadline(time.Time{}); err != nil {
		s.broken = true
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

// linger lets a last message arrive: it ends the sending side and reads what
// the caller still sends, so that the connection is not reset.
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
