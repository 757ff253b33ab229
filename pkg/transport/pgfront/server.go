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

// stopStartup is the time that connections without a session have once the
// server is stopping.
const stopStartup = time.Second

// acceptPause is the wait after a failure to accept, such as one for want of
// descriptors.
const acceptPause = 10 * time.Millisecond

// Server serves callers. It is safe for concurrent use.
type Server struct {
	config   Config
	counters counters
	// mockSecret derives what unknown callers see in their authentication
	// where the bundle names no caller.
	mockSecret []byte
	base       context.Context
	stopBase   context.CancelFunc
	stopping   atomic.Bool

	mu       sync.Mutex
	sessions map[uint32]*session
	// starting are the connections that have no session yet.
	starting map[net.Conn]struct{}
	perName  map[model.CallerName]int
	open     int
	nextID   uint32
	// empty is closed by the last connection to end after stopping.
	empty chan struct{}
}

const secretLen = 32

// New returns a server that is not serving yet.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if config.Listener == nil || config.Engine == nil || config.Backends == nil {
		return nil, errors.New("a listener, an engine and backends are needed")
	}
	secret := make([]byte, secretLen)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "random secret")
	}
	base, stop := context.WithCancel(context.Background())
	return &Server{
		config:     config,
		mockSecret: secret,
		base:       base,
		stopBase:   stop,
		sessions:   make(map[uint32]*session),
		starting:   make(map[net.Conn]struct{}),
		perName:    make(map[model.CallerName]int),
		empty:      make(chan struct{}),
	}, nil
}

// Serve accepts callers until Shutdown ends or ctx is cancelled; cancelling
// ctx cuts what is in flight. It returns nil after a stop.
func (s *Server) Serve(ctx context.Context) error {
	release := context.AfterFunc(ctx, s.cut)
	defer release()
	for {
		connection, err := s.config.Listener.Accept()
		if err == nil {
			s.accept(connection)
			continue
		}
		if errors.Is(err, net.ErrClosed) || s.base.Err() != nil {
			return nil
		}
		time.Sleep(acceptPause)
	}
}

// cut ends all work at once.
func (s *Server) cut() {
	s.stopping.Store(true)
	s.stopBase()
	_ = s.config.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		_ = session.conn.Close()
	}
	for connection := range s.starting {
		_ = connection.Close()
	}
}

// accept starts the service of a connection.
func (s *Server) accept(connection net.Conn) {
	s.counters.accepted.Add(1)
	s.mu.Lock()
	s.open++
	full := s.open > s.config.MaxSessions
	s.starting[connection] = struct{}{}
	err := connection.SetDeadline(time.Now().Add(s.startupTimeout()))
	s.mu.Unlock()
	if err != nil {
		_ = connection.Close()
	}
	go s.serveConn(connection, full)
}

func (s *Server) startupTimeout() time.Duration {
	if s.stopping.Load() {
		return stopStartup
	}
	return s.config.StartupTimeout
}

func (s *Server) serveConn(connection net.Conn, full bool) {
	established := s.startup(connection, full)
	s.mu.Lock()
	delete(s.starting, connection)
	s.mu.Unlock()
	if established == nil {
		s.endConn(connection)
		return
	}
	// A new goroutine starts with a small stack; that of the startup has grown.
	go func() {
		established.run()
		s.removeSession(established)
		s.endConn(established.conn)
	}()
}

func (s *Server) endConn(connection net.Conn) {
	_ = connection.Close()
	s.counters.ended.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.signalEmpty()
}

// signalEmpty closes empty once. The caller holds mu.
func (s *Server) signalEmpty() {
	if s.open > 0 || !s.stopping.Load() {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// addSession gives session its cancel key, within the caller's limit.
func (s *Server) addSession(session *session, limit int) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return stoppingError()
	}
	name := session.caller
	if limit > 0 && s.perName[name] >= limit {
		return verdict.New(verdict.Overloaded, verdict.NotRun, "too many connections of this user").
			WithRetryAfter(retryAfterFull)
	}
	s.perName[name]++
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
	s.perName[session.caller]--
	if s.perName[session.caller] == 0 {
		delete(s.perName, session.caller)
	}
}

// SessionCount returns the number of authenticated sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Shutdown refuses new sessions, ends those that are idle outside a
// transaction, lets the others finish what is in flight, and returns when none
// is left. When ctx ends first, it cuts the rest and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	select {
	case <-s.empty:
		s.stopBase()
		return s.closeListener()
	case <-ctx.Done():
		s.cut()
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

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for _, session := range s.sessions {
		session.input.wake()
	}
	for connection := range s.starting {
		_ = connection.SetDeadline(time.Now().Add(stopStartup))
	}
	s.signalEmpty()
}

// Advice to callers that are refused.
const (
	retryAfterStop = 100 * time.Millisecond
	retryAfterFull = time.Second
)

func stoppingError() *verdict.Error {
	return verdict.New(verdict.Stopping, verdict.NotRun, "the proxy is stopping").WithRetryAfter(retryAfterStop)
}
