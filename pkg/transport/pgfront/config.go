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
	defaultMaxMessageBytes  = 16 << 20 // bytes
	defaultMaxSessions      = 10_000
	defaultMaxHeldBytes     = 1 << 20 // bytes
	defaultMaxStatements    = 1_000
)

// Backends provides connections to upstreams. pgback.Pools implements it.
type Backends interface {
	// Acquire returns a connection for the ticket. The outcome of its errors is
	// verdict.NotRun.
	Acquire(ctx context.Context, t *traffic.Ticket) (pgback.Backend, *verdict.Error)
}

// Tracer starts trace spans for requests and their steps.
type Tracer interface {
	// Join returns ctx with the remote span of a W3C traceparent as its parent span.
	Join(ctx context.Context, traceparent string) context.Context
	// Start starts a span; end ends it.
	Start(ctx context.Context, name string) (started context.Context, end func())
}

// noTracer is the Tracer that records nothing.
type noTracer struct{}

func (noTracer) Join(ctx context.Context, _ string) context.Context { return ctx }

func (noTracer) Start(ctx context.Context, _ string) (context.Context, func()) {
	return ctx, endNothing
}

func endNothing() {}

// Config holds the settings of a Server. Zero values take the defaults, except
// that Listener, Engine and Backends are required.
type Config struct {
	// Listener accepts callers' connections. The Server closes it.
	Listener net.Listener
	Engine   traffic.Engine
	Backends Backends
	Logger   *slog.Logger
	Tracer   Tracer
	// TLS is the configuration offered to callers; if nil, TLS is refused.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// SessionParameter is the startup parameter that names a caller's session.
	SessionParameter string
	// StartupTimeout bounds the time from accepting a caller to the end of its
	// authentication.
	StartupTimeout time.Duration
	// MessageTimeout bounds reading the rest of a message after its first byte,
	// and writing the end of an answer.
	MessageTimeout time.Duration
	// MaxMessageBytes bounds the body of a caller's message.
	MaxMessageBytes int
	// MaxSessions bounds the connections of all callers, including those that
	// are not authenticated yet.
	MaxSessions int
	// MaxHeldBytes bounds the part of a write's answer that is held back until
	// the engine allows the acknowledgement.
	MaxHeldBytes int
	// MaxStatements bounds the named prepared statements of a session.
	MaxStatements int
	// ForwardCancel is called with cancel requests for sessions of other
	// instances; if nil, they are dropped.
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
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.MaxSessions, defaultMaxSessions)
	setDefault(&c.MaxHeldBytes, defaultMaxHeldBytes)
	setDefault(&c.MaxStatements, defaultMaxStatements)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
