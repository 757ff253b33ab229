package textback

import (
	"bufio"
	"context"
	"io"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/lines"
)

// Timeouts and intervals of connections.
const (
	// dialTimeout bounds the opening of a connection including its first
	// answer.
	dialTimeout = 400 * time.Millisecond
	// TCP keep-alive detects dead connections while no statement is
	// outstanding.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// RefusedError means that the upstream refused the connection.
type RefusedError struct {
	Reason statement.Reason
	// AfterLoss is set if an idle connection to the upstream turned out to be
	// lost just before.
	AfterLoss bool
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "the upstream refused the connection: " + e.Reason.String()
}

// dialReserved opens a connection that takeIdleOrReserve has counted.
func (p *Pools) dialReserved(ctx context.Context, pl *pool, caller model.CallerName) (*Conn, error) {
	conn, err := p.dial(ctx, pl.upstream, caller)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		pl.uncount(caller)
		return nil, err
	}
	pl.own(p.now(), conn)
	telemetry.UpstreamOpened.With(string(pl.upstream.ID)).Inc()
	telemetry.UpstreamOpenedNoneIdle.With(string(pl.upstream.ID)).Inc()
	return conn, nil
}

// dial opens a connection for a caller outside the pools. Without addDialed it is
// closed by whoever called dial.
func (p *Pools) dial(ctx context.Context, upstream catalog.Upstream, caller model.CallerName) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := p.dialer.DialContext(ctx, "tcp", upstream.Address)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil, startError(err)
	}
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	conn := &Conn{
		upstream: upstream,
		caller:   caller,
		codec:    p.codec,
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, readBufferBytes),
		input:    lines.NewInputProbe(socket),
		values:   make(map[string]string),
		prepared: make(map[string]bool),
	}
	deadline, _ := ctx.Deadline()
	answer, err := conn.Exchange(p.codec.AppendStart(nil, upstream.Group, p.startName(caller), upstream.ID), deadline)
	if err != nil {
		conn.close()
		return nil, startError(err)
	}
	if answer.Reason != statement.Succeeded {
		conn.close()
		return nil, &RefusedError{Reason: answer.Reason}
	}
	return conn, nil
}

// startName returns the name under which a connection for the caller is opened.
func (p *Pools) startName(caller model.CallerName) string {
	if caller == "" {
		return p.selfName
	}
	return string(caller)
}

// startError returns the error for a connection whose start was not answered.
// An upstream refuses a connection above its limit by closing it at once, which
// becomes a RefusedError.
func startError(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return &RefusedError{Reason: statement.TooManyConnections}
	}
	return err
}
