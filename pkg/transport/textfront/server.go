package textfront

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/dispatcher"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/textback"
)

// Config is what a Server needs.
type Config struct {
	Listener net.Listener
	Codec    statement.CallerCodec
	Dispatch *dispatcher.Dispatcher
	Links    Links
	Logger   *slog.Logger
	Stop     StopTimes
}

// Links gives out connections to upstreams.
type Links interface {
	// Get returns a link to an upstream. opened is true for a new connection.
	// After an error nothing was sent.
	Get(ctx context.Context, use textback.GetOptions) (link textback.Link, opened bool, err error)
	// Put gives a link back; one that is not reusable is closed.
	Put(link textback.Link, reusable bool)
	// OpenConnections returns the number of this instance's connections to an upstream.
	OpenConnections(id model.UpstreamID) int
}

// StopTimes are the times of a graceful stop, from its start.
type StopTimes struct {
	// IdleCloseStart is when idle sessions begin to be closed: by then callers are
	// led to other instances.
	IdleCloseStart time.Duration
	// IdleCloseEnd is when the last idle session is closed.
	IdleCloseEnd time.Duration
	// AnswerBy is when the last statement has its answer; zero for no bound.
	AnswerBy time.Duration
	// RollbackAfter is when open transactions are rolled back.
	RollbackAfter time.Duration
}

// Server serves callers on a listener.
type Server struct {
	config Config
	record *recorder
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// departure is set while callers are led to other instances.
	departure atomic.Pointer[departure]

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// departure is a time in which callers are led to other instances: a graceful
// stop, or while this instance is cut off.
type departure struct {
	begun time.Time
	// final is set for a stop.
	final bool
}

// New returns a server that does not accept yet.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:   config,
		record:   newRecorder(config.Logger),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*session]struct{}),
	}
}

// acceptPause is the pause after an error of the listener that may pass.
const acceptPause = 20 * time.Millisecond

// Serve accepts callers until the listener is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.config.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			events.Log(s.ctx, s.config.Logger, events.AcceptFailed, slog.Any("error", err))
			time.Sleep(acceptPause)
			continue
		}
		created := newSession(s, conn)
		s.add(created)
		s.group.Go(func() {
			created.serve()
			s.remove(created)
		})
	}
}

func (s *Server) add(created *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[created] = struct{}{}
	telemetry.CallerConnections.With().Set(float64(len(s.sessions)))
}

func (s *Server) remove(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ended)
	telemetry.CallerConnections.With().Set(float64(len(s.sessions)))
}

// SessionCount returns the number of callers' connections.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Shutdown stops gracefully: new callers are served until the sessions begin
// to be closed, each session ends between two statements, and those that are
// left when ctx ends are cut. It returns ctx's error if there were such.
func (s *Server) Shutdown(ctx context.Context) error {
	s.depart(&departure{begun: time.Now(), final: true})
	ended := make(chan struct{})
	go func() {
		sleep(ctx, s.config.Stop.IdleCloseEnd)
		_ = s.config.Listener.Close()
		s.group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		s.cancel()
		return nil
	case <-ctx.Done():
	}
	_ = s.config.Listener.Close()
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for open := range s.sessions {
		_ = open.socket.Close()
	}
	return ctx.Err()
}

// SetDraining leads callers to other instances while away is true: idle sessions
// are closed as in a stop, but new ones go on to be served.
func (s *Server) SetDraining(away bool) {
	present := s.departure.Load()
	switch {
	case present != nil && present.final:
	case away && present == nil:
		s.depart(&departure{begun: time.Now()})
	case !away && present != nil:
		s.departure.Store(nil)
	}
}

// depart begins a departure, and lets the sessions that wait learn of it.
func (s *Server) depart(begun *departure) {
	s.departure.Store(begun)
	s.mu.Lock()
	defer s.mu.Unlock()
	for open := range s.sessions {
		open.wake()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// closeTime returns when an idle session is closed in a departure. The times of
// the sessions are spread, so that their callers do not come back all at once.
func (s *Server) closeTime(from *departure) time.Time {
	window := s.config.Stop.IdleCloseEnd - s.config.Stop.IdleCloseStart
	spread := time.Duration(rand.Float64() * float64(window))
	return from.begun.Add(s.config.Stop.IdleCloseStart + spread)
}

// transactionEnd returns when open transactions are rolled back, if a stop is
// under way.
func (s *Server) transactionEnd() (time.Time, bool) {
	present := s.departure.Load()
	if present == nil || !present.final {
		return time.Time{}, false
	}
	return present.begun.Add(s.config.Stop.RollbackAfter), true
}

// answerBy bounds the deadline of a statement by the end of a stop, so that it is
// answered before its session is cut.
func (s *Server) answerBy(deadline time.Time) time.Time {
	present := s.departure.Load()
	if present == nil || !present.final || s.config.Stop.AnswerBy == 0 {
		return deadline
	}
	end := present.begun.Add(s.config.Stop.AnswerBy)
	if end.Before(deadline) {
		return end
	}
	return deadline
}

// isClosing reports whether sessions are closed as soon as they are idle.
func (s *Server) isClosing() bool {
	present := s.departure.Load()
	return present != nil && time.Since(present.begun) >= s.config.Stop.IdleCloseStart
}
