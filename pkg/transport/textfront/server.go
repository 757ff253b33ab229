package textfront

import (
	"context"
	"log/slog"
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
	"gypsumdock/pkg/transport/textforward"
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Self is this instance, to which no unit is forwarded.
	Self     model.InstanceID
	Listener net.Listener
	Codec    statement.CallerCodec
	Dispatch *dispatcher.Dispatcher
	// Pools holds the connections to the upstreams of the groups that this
	// instance serves.
	Pools *textback.Pools
	// Forwarder reaches the servers of groups that this instance does not serve.
	Forwarder *textforward.Forwarder
	Logger    *slog.Logger
	Stop      StopTimes
	// Busy returns the part of its processor share that this instance uses, in
	// thousandths; zero if it is unknown. It may be nil.
	Busy func() uint32
	// ApplyTime is the time within which a new configuration must be in force; 0 if
	// that is not required.
	ApplyTime time.Duration
	// RevocationTime is the time after which an access key that was removed from
	// the configuration must have no effect; 0 if that is not required.
	RevocationTime time.Duration
	// Rates limits the units of work of callers; nil for no limits.
	Rates Rates
}

// StopTimes holds the schedule of a graceful stop. All times count from its
// start.
type StopTimes struct {
	// IdleCloseStart is when the server begins to close idle sessions. By then
	// new callers are directed to other instances.
	IdleCloseStart time.Duration
	// IdleCloseEnd is when the last idle session is closed.
	IdleCloseEnd time.Duration
	// AnswerBy is when the last statement must have been answered; zero for no
	// bound.
	AnswerBy time.Duration
	// RollbackAfter is when open transactions are rolled back.
	RollbackAfter time.Duration
}

// Server serves the callers that connect to a listener.
type Server struct {
	config   Config
	recorder *recorder
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	// drain is nil unless idle sessions are being closed.
	drain atomic.Pointer[drain]

	unitRefused *events.Throttle

	mu       sync.Mutex
	sessions map[*session]struct{}
	// units holds the units of work that peers forward.
	units map[*session]struct{}
	// lastSession is the number of the session that was created last.
	lastSession atomic.Uint64
}

// New returns a server. It accepts no callers before Serve.
func New(config Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:   config,
		recorder: newRecorder(config.Logger),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*session]struct{}),
		units:    make(map[*session]struct{}),

		unitRefused: newUnitRefusedLog(),
	}
}

// acceptRetryDelay is the delay after a failed accept, for example for lack of
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts callers until the listener is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.config.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			events.Log(s.ctx, s.config.Logger, events.AcceptFailed, slog.Any("error", err))
			time.Sleep(acceptRetryDelay)
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

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Shutdown stops the server gracefully. New callers are accepted until
// StopTimes.IdleCloseEnd, and each session ends between two statements.
// Sessions that are still open when ctx ends are closed, and Shutdown returns
// ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.startDrain(&drain{startedAt: time.Now(), stopping: true})
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
	for unit := range s.units {
		_ = unit.socket.Close()
	}
	return ctx.Err()
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
