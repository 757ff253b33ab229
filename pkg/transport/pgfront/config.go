package pgfront

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/verdict"
)

// Defaults of Config.
const (
	defaultSessionParameter = "gypsumdock.session"
	defaultStartupTimeout   = 10 * time.Second
	defaultMessageTimeout   = 30 * time.Second
	defaultMaxMessage       = 16 << 20 // bytes
	defaultMaxSessions      = 10_000
	defaultMaxHeld          = 1 << 20 // bytes
	defaultMaxStatements    = 1_000
)

// Backends lends connections to upstreams. pgback.Pools implements it.
type Backends interface {
	// Acquire returns a connection for the ticket. A refusal is not run.
	Acquire(ctx context.Context, t *traffic.Ticket) (pgback.Backend, *verdict.Error)
}

// Tracer starts the spans of a statement's path.
type Tracer interface {
	// Join returns ctx with the remote span of a W3C traceparent as parent.
	Join(ctx context.Context, traceparent string) context.Context
	// Start starts a span; end ends it.
	Start(ctx context.Context, name string) (started context.Context, end func())
}

// noTracer starts no spans.
type noTracer struct{}

func (noTracer) Join(ctx context.Context, _ string) context.Context { return ctx }

func (noTracer) Start(ctx context.Context, _ string) (context.Context, func()) {
	return ctx, endNothing
}

func endNothing() {}

// Config holds the settings of a Server. Zero values take the defaults.
type Config struct {
	// Listener accepts callers. The Server closes it.
	Listener net.Listener
	Engine   traffic.Engine
	Backends Backends
	Logger   *slog.Logger
	Tracer   Tracer
	// TLS is offered to callers; nil offers none.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// SessionParameter is the startup parameter that names a caller's session.
	SessionParameter string
	// StartupTimeout bounds the time from accepting a caller to the end of its
	// authentication.
	StartupTimeout time.Duration
	// MessageTimeout bounds reading the rest of a message once it has begun,
	// and writing the end of an answer.
	MessageTimeout time.Duration
	// MaxMessageBytes bounds a caller's message.
	MaxMessageBytes int
	// MaxSessions bounds the connections of all callers, those in their
	// startup included.
	MaxSessions int
	// MaxHeldBytes bounds what is held back of an answer after the first
	// CommandComplete of a write.
	MaxHeldBytes int
	// MaxStatements bounds the prepared statements of a session.
	MaxStatements int
	// ForwardCancel is called with cancel requests for sessions that are not
	// of this server; nil drops them.
	ForwardCancel func(ctx context.Context, processID uint32, secret []byte)
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Tracer == nil {
		c.Tracer = noTracer{}
	}
	if c.SessionParameter == "" {
		c.SessionParameter = defaultSessionParameter
	}
	setDefault(&c.StartupTimeout, defaultStartupTimeout)
	setDefault(&c.MessageTimeout, defaultMessageTimeout)
	setDefault(&c.MaxMessageBytes, defaultMaxMessage)
	setDefault(&c.MaxSessions, defaultMaxSessions)
	setDefault(&c.MaxHeldBytes, defaultMaxHeld)
	setDefault(&c.MaxStatements, defaultMaxStatements)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
