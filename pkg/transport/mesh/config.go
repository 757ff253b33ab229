package mesh

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// ProtocolVersion is sent in the Hello; peers of another version are refused.
const ProtocolVersion = 1

// Defaults of Config.
const (
	DefaultMaxFrameBytes     = 1 << 20
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultWriteTimeout      = 2 * time.Second
	DefaultKeepAliveInterval = time.Second
	DefaultQueueCapacity     = 4096
	redialMin                = 50 * time.Millisecond
	redialMax                = time.Second
)

// ErrPeerUnreachable is returned for a peer without a session. Nothing has
// been sent.
var ErrPeerUnreachable = errors.New("peer unreachable")

// ErrQueueFull is returned when a peer reads too slowly. Nothing has been sent.
var ErrQueueFull = errors.New("queue to peer full")

// Handler receives what peers send. HandleMessage is called from the session's
// goroutine, in order, and must not block on the network.
type Handler interface {
	// HandleMessage takes one message. A call is answered through reply, at
	// most once and from any goroutine; messages without an answer ignore it.
	HandleMessage(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope))
	// HandleForward serves a forwarded unit of work on conn, and owns conn.
	HandleForward(ctx context.Context, from model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn)
}

// Config is what a Node needs. Zero durations and sizes take the defaults.
type Config struct {
	Self              model.Member
	Region            string
	Listener          net.Listener
	Handler           Handler
	Logger            *slog.Logger
	ServerTLS         *tls.Config
	ClientTLS         *tls.Config
	MaxFrameBytes     int64
	HandshakeTimeout  time.Duration
	WriteTimeout      time.Duration
	KeepAliveInterval time.Duration
	QueueCapacity     int
}

func (c Config) withDefaults() Config {
	c.MaxFrameBytes = orDefault(c.MaxFrameBytes, DefaultMaxFrameBytes)
	c.HandshakeTimeout = orDefault(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, DefaultWriteTimeout)
	c.KeepAliveInterval = orDefault(c.KeepAliveInterval, DefaultKeepAliveInterval)
	c.QueueCapacity = orDefault(c.QueueCapacity, DefaultQueueCapacity)
	return c
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func (c Config) hello() *meshpb.Hello {
	return &meshpb.Hello{
		Version:    ProtocolVersion,
		Instance:   string(c.Self.ID),
		Region:     c.Region,
		DataCentre: string(c.Self.DataCentre),
		Address:    c.Self.Address,
	}
}
