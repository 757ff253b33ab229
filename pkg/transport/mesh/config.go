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

// ProtocolVersion is sent in the Hello. Peers with another version are refused.
const ProtocolVersion = 2

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

// ErrPeerUnreachable is returned while there is no session with the peer, and
// for a call whose session ended before the answer. Only in the first case has
// nothing been sent.
var ErrPeerUnreachable = errors.New("peer unreachable")

// ErrQueueFull is returned when the queue of messages to a peer is full, because
// the peer reads too slowly. The message has not been sent.
var ErrQueueFull = errors.New("queue to peer full")

// Handler handles the messages and forwarded units of work of peers.
type Handler interface {
	// HandleMessage handles one message. It is called for the messages of a
	// session in order and must not block on the network. A call is answered
	// through reply, at most once and from any goroutine; for a message that is
	// not a call, reply does nothing.
	HandleMessage(from model.InstanceID, message *meshpb.Envelope, reply func(*meshpb.Envelope))
	// HandleForward serves a forwarded unit of work on conn, and owns conn.
	HandleForward(ctx context.Context, from model.InstanceID, open *meshpb.ForwardOpen, conn net.Conn)
}

// Config holds the settings of a Node. Zero durations and sizes take the
// defaults.
type Config struct {
	// Self describes this instance to its peers.
	Self model.Member
	// Region must be the same on both sides of a session.
	Region   string
	Listener net.Listener
	Handler  Handler
	Logger   *slog.Logger
	// ServerTLS is used for accepted connections and ClientTLS for dialled ones;
	// nil means no TLS.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// MaxFrameBytes bounds the size of one message.
	MaxFrameBytes     int64
	HandshakeTimeout  time.Duration
	WriteTimeout      time.Duration
	KeepAliveInterval time.Duration
	// QueueCapacity is the number of messages that may wait to be written to one
	// connection.
	QueueCapacity int
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

// hello returns the message that introduces this instance to a peer.
func (c Config) hello() *meshpb.Hello {
	return &meshpb.Hello{
		Version:    ProtocolVersion,
		Instance:   string(c.Self.ID),
		Region:     c.Region,
		DataCentre: string(c.Self.DataCentre),
		Address:    c.Self.Address,
	}
}
