package pgfront

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// stoppingStartupTimeout replaces Config.StartupTimeout once the server is stopping.
const stoppingStartupTimeout = time.Second

// acceptRetryDelay is the wait after Accept failed, for example because the process
// has too many open files.
const acceptRetryDelay = 10 * time.Millisecond

// Server serves callers. It is safe for concurrent use.
type Server struct {
	config   Config
	counters counters
	// mockSecret replaces the key that mockKey derives from the bundle if the bundle
	// has no callers.
	mockSecret []byte
	baseCtx    context.Context
	cancelBase context.CancelFunc
	stopping   atomic.Bool

	mu       sync.Mutex
	sessions map[uint32]*session
	// startingConns are the connections that have no session yet.
	startingConns     map[net.Conn]struct{}
	sessionsPerCaller map[model.CallerName]int
	openConns         int
	nextID            uint32
	// drained is closed once the server is stopping and all connections are closed.
	drained chan struct{}
}

const mockSecretBytes = 32

// New returns a server that does not accept callers until Serve is called. It
// returns an error if the listener, the engine or the backends are missing.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if config.Listener == nil || config.Engine == nil || config.Backends == nil {
		return nil, errors.New("Config.Listener, Config.Engine and Config.Backends must be set")
	}
	secret := make([]byte, mockSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generate mock secret")
	}
	baseCtx, stop := context.WithCancel(context.Background())
	return &Server{
		config:            config,
		mockSecret:        secret,
		baseCtx:           baseCtx,
		cancelBase:        stop,
		sessions:          make(map[uint32]*session),
		startingConns:     make(map[net.Conn]struct{}),
		sessionsPerCaller: make(map[model.CallerName]int),
		drained:           make(chan struct{}),
	}, nil
}

// Serve accepts callers until Shutdown ends or ctx is cancelled. Cancelling ctx
// closes all connections at once, also during requests. Serve returns nil after a stop.
func (s *Server) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, s.closeAll)
	defer release()
	for {
		connection, err := s.config.Listener.Accept()
		if err == nil {
			s.accept(connection)
			continue
		}
		if errors.Is(err, net.ErrClosed) || s.baseCtx.Err() != nil {
			return nil
		}
		time.Sleep(acceptRetryDelay)
	}
}

// closeAll closes the listener and all connections at once.
func (s *Server) closeAll() {
	s.stopping.Store(true)
	s.cancelBase()
	_ = s.config.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		_ = session.conn.Close()
	}
	for connection := range s.startingConns {
		_ = connection.Close()
	}
}

// accept starts to serve a connection in a goroutine of its own.
func (s *Server) accept(connection net.Conn) {
	s.counters.accepted.Add(1)
	s.mu.Lock()
	s.openConns++
	full := s.openConns > s.config.MaxSessions
	s.startingConns[connection] = struct{}{}
	err := connection.SetDeadline(time.Now().Add(s.startupTimeout()))
	s.mu.Unlock()
	if err != nil {
		_ = connection.Close()
	}
	go s.serveConn(connection, full)
}

func (s *Server) startupTimeout() time.Duration {
	if s.stopping.Load() {
		return stoppingStartupTimeout
	}
	return s.config.StartupTimeout
}

func (s *Server) serveConn(connection net.Conn, full bool) {
	established := s.startup(connection, full)
	s.mu.Lock()
	delete(s.startingConns, connection)
	s.mu.Unlock()
	if established == nil {
		s.closeConn(connection)
		return
	}
	// The startup has grown this goroutine's stack. The session gets a new goroutine
	// to save that memory.
	go func() {
		established.run()
		s.removeSession(established)
		s.closeConn(established.conn)
	}()
}

func (s *Server) closeConn(connection net.Conn) {
	_ = connection.Close()
	s.counters.closed.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
	s.signalDrained()
}

// signalDrained closes drained once if the server is stopping and no connection is
// open. s.mu must be held.
func (s *Server) signalDrained() {
	if s.openConns > 0 || !s.stopping.Load() {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// addSession registers session under a new process ID. It fails if the client
// account already has limit sessions; a limit of zero means no limit.
func (s *Server) addSession(session *session, limit int) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return stoppingError()
	}
	name := session.caller
	if limit > 0 && s.sessionsPerCaller[name] >= limit {
		return verdict.New(verdict.Overloaded, verdict.NotRun, "too many connections of this user").
			WithRetryAfter(retryAfterFull)
	}
	s.sessionsPerCaller[name]++
	s.nextID++
	for s.sessions[s.nextID] != nil || s.nextID == 0 {
		s.nextID++
	}
	session.id = s.nextID
	s.sessions[session.id] = session
	return nil
}

func (s *Server) removeSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.id)
	s.sessionsPerCaller[session.caller]--
	if s.sessionsPerCaller[session.caller] == 0 {
		delete(s.sessionsPerCaller, session.caller)
	}
}

// SessionCount returns the number of authenticated sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Shutdown refuses new sessions, closes those that are idle outside a
// transaction, lets the others finish their requests and transactions, and returns
// once all connections are closed. If ctx ends first, it closes the remaining
// connections and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.startDraining()
	select {
	case <-s.drained:
		s.cancelBase()
		return s.closeListener()
	case <-ctx.Done():
		s.closeAll()
		return ctx.Err()
	}
}

func (s *Server) closeListener() error {
	err := s.config.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for _, session := range s.sessions {
		session.input.interrupt()
	}
	for connection := range s.startingConns {
		_ = connection.SetDeadline(time.Now().Add(stoppingStartupTimeout))
	}
	s.signalDrained()
}

// Retry advice to callers that are refused.
const (
	retryAfterStop = 100 * time.Millisecond
	retryAfterFull = time.Second
)

func stoppingError() *verdict.Error {
	return verdict.New(verdict.Stopping, verdict.NotRun, "the proxy is stopping").WithRetryAfter(retryAfterStop)
}
