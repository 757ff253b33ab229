package textback

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/lines"
)

// Times of connections.
const (
	// dialTimeout bounds the opening of a connection and its first answer.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that have gone
	// silent while nothing is asked on them.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// checkAfter is the idle time after which a connection is asked for a sign
	// of life before work that must not be repeated goes to it.
	checkAfter = time.Second
	// checkTimeout bounds the wait for that sign.
	checkTimeout = 150 * time.Millisecond
)

// ErrRefused means that the upstream refused the connection.
type ErrRefused struct{ Reason statement.Reason }

// Error names the reason.
func (e *ErrRefused) Error() string {
	return "the upstream refused the connection: " + e.Reason.String()
}

// Pools holds the connections to all upstreams. It is safe for concurrent use.
type Pools struct {
	codec statement.UpstreamCodec
	// caller is the name under which connections are opened.
	caller string
	dialer *net.Dialer

	mu    sync.Mutex
	pools map[model.UpstreamID]*pool
}

// pool holds the connections to one upstream. It is guarded by Pools.mu.
type pool struct {
	upstream catalog.Upstream
	// idle is ordered by use, the newest last.
	idle []*Conn
	open int
}

// New returns pools without connections.
func New(codec statement.UpstreamCodec, caller string) *Pools {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &Pools{codec: codec, caller: caller, dialer: dialer, pools: make(map[model.UpstreamID]*pool)}
}

// Set names the upstreams in use. Connections to others, and to earlier
// processes of these, are closed when they are given back.
func (p *Pools) Set(upstreams map[model.UpstreamID]catalog.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, held := range p.pools {
		current, used := upstreams[id]
		if used && current.SameProcess(held.upstream) {
			continue
		}
		for _, idle := range held.idle {
			p.closed(idle)
		}
		held.idle = nil
		delete(p.pools, id)
	}
	for id, upstream := range upstreams {
		if _, exists := p.pools[id]; !exists {
			p.pools[id] = &pool{upstream: upstream}
		}
	}
}

// Get returns a connection to the upstream, opening one if none is idle. opened
// is true for a new one. checked asks for a sign of life of a connection that
// has long been idle.
func (p *Pools) Get(ctx context.Context, id model.UpstreamID, checked bool) (conn *Conn, opened bool, err error) {
	for {
		idle, upstream, err := p.takeIdle(id)
		if err != nil {
			return nil, false, err
		}
		if idle == nil {
			conn, err := p.open(ctx, upstream)
			return conn, true, err
		}
		if idle.isUsable() && (!checked || idle.isAlive()) {
			return idle, false, nil
		}
		p.drop(idle)
	}
}

// isAlive reports whether the upstream still answers on the connection.
func (c *Conn) isAlive() bool {
	if time.Since(c.usedAt) < checkAfter {
		return true
	}
	clear(c.values)
	clear(c.prepared)
	answer, err := c.Exchange(c.codec.AppendOrder(nil, statement.OrderReset, 0), time.Now().Add(checkTimeout))
	return err == nil && answer.Reason == statement.Succeeded
}

// errNoUpstream means that the upstream is no longer in use.
var errNoUpstream = errors.New("upstream is not in use")

func (p *Pools) takeIdle(id model.UpstreamID) (*Conn, catalog.Upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[id]
	if held == nil {
		return nil, catalog.Upstream{}, errNoUpstream
	}
	if len(held.idle) == 0 {
		held.open++
		return nil, held.upstream, nil
	}
	return held.takeIdle(), held.upstream, nil
}

// lendIdle takes an idle connection to this process of the upstream; nil if
// there is none. It is given back with Put.
func (p *Pools) lendIdle(upstream catalog.Upstream) *Conn {
	for {
		conn := p.popIdle(upstream)
		if conn == nil || conn.isUsable() {
			return conn
		}
		p.drop(conn)
	}
}

func (p *Pools) popIdle(upstream catalog.Upstream) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[upstream.ID]
	if held == nil || len(held.idle) == 0 || !held.upstream.SameProcess(upstream) {
		return nil
	}
	return held.takeIdle()
}

// takeIdle takes the connection that was used last. There must be one.
func (h *pool) takeIdle() *Conn {
	last := len(h.idle) - 1
	taken := h.idle[last]
	h.idle = h.idle[:last]
	return taken
}

// open opens a connection that is already counted.
func (p *Pools) open(ctx context.Context, upstream catalog.Upstream) (*Conn, error) {
	conn, err := p.Dial(ctx, upstream)
	if err == nil {
		telemetry.UpstreamOpened.With(string(upstream.ID)).Inc()
		return conn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.pools[upstream.ID]; held != nil && held.upstream.SameProcess(upstream) {
		held.open--
	}
	return nil, err
}

// Dial opens a connection outside the pools. The caller closes it.
func (p *Pools) Dial(ctx context.Context, upstream catalog.Upstream) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := p.dialer.DialContext(ctx, "tcp", upstream.Address)
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	conn := &Conn{
		upstream: upstream,
		codec:    p.codec,
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, readBufferBytes),
		quiet:    lines.NewProbe(socket),
		values:   make(map[string]string),
		prepared: make(map[string]bool),
	}
	deadline, _ := ctx.Deadline()
	answer, err := conn.Exchange(p.codec.AppendStart(nil, upstream.Group, p.caller, upstream.ID), deadline)
	if err != nil {
		conn.close()
		return nil, startFailed(err)
	}
	if answer.Reason != statement.Succeeded {
		conn.close()
		return nil, &ErrRefused{Reason: answer.Reason}
	}
	return conn, nil
}

// startFailed tells a connection that was taken and closed at once, which is
// how an upstream refuses one above its limit, from one without an answer.
func startFailed(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return &ErrRefused{Reason: statement.TooManyConnections}
	}
	return err
}

// Put gives a connection back. One that is broken, or that has left a
// transaction open, is closed.
func (p *Pools) Put(conn *Conn, reusable bool) {
	if !reusable || conn.broken {
		p.drop(conn)
		return
	}
	conn.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[conn.upstream.ID]
	if held == nil || !held.upstream.SameProcess(conn.upstream) {
		p.closed(conn)
		return
	}
	held.idle = append(held.idle, conn)
}

func (p *Pools) drop(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.pools[conn.upstream.ID]; held != nil && held.upstream.SameProcess(conn.upstream) {
		held.open--
	}
	p.closed(conn)
}

// closed closes a connection and counts it.
func (p *Pools) closed(conn *Conn) {
	conn.close()
	telemetry.UpstreamClosed.With(string(conn.upstream.ID)).Inc()
}

// Open returns the number of connections to the upstream.
func (p *Pools) Open(id model.UpstreamID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.pools[id]; held != nil {
		return held.open
	}
	return 0
}

// Close closes all idle connections.
func (p *Pools) Close() { p.Set(nil) }
