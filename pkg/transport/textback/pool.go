package textback

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
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

// RefusedError means that the upstream refused the connection.
type RefusedError struct {
	Reason statement.Reason
	// AfterLoss is set if the upstream had ended an idle connection before.
	AfterLoss bool
}

// Error names the reason.
func (e *RefusedError) Error() string {
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

// Limit bounds the connections to an upstream. The zero value sets no bound.
type Limit struct {
	// MaxInUse is the number of connections in use at once; zero for no bound.
	MaxInUse int
	// Temporary connections are closed after their use.
	Temporary bool
}

// pool holds the connections to one upstream. It is guarded by Pools.mu.
type pool struct {
	upstream catalog.Upstream
	// idle is ordered by use, the newest last.
	idle  []*Conn
	open  int
	limit Limit
	inUse int
	// waiting holds those that wait for one in use, the longest first.
	waiting []chan struct{}
}

// New returns pools without connections.
func New(codec statement.UpstreamCodec, caller string) *Pools {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &Pools{codec: codec, caller: caller, dialer: dialer, pools: make(map[model.UpstreamID]*pool)}
}

// SetUpstreams names the upstreams in use. Connections to others, and to earlier
// processes of these, are closed when they are given back. limits bounds the
// connections in use of those that it names.
func (p *Pools) SetUpstreams(upstreams map[model.UpstreamID]catalog.Upstream, limits map[model.UpstreamID]Limit) {
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
		held.limit = Limit{}
		held.wake()
		delete(p.pools, id)
	}
	for id, upstream := range upstreams {
		held := p.pools[id]
		if held == nil {
			held = &pool{upstream: upstream}
			p.pools[id] = held
		}
		held.limit = limits[id]
		p.trim(held)
		held.wake()
	}
}

// trim closes idle connections beyond the limit. p.mu is held.
func (p *Pools) trim(held *pool) {
	for len(held.idle) > 0 && held.isOverLimit() {
		p.closed(held.idle[0])
		held.open--
		held.idle = held.idle[1:]
	}
}

// isOverLimit reports whether an idle connection is one too many.
func (h *pool) isOverLimit() bool {
	return h.limit.Temporary || h.limit.MaxInUse > 0 && h.open > h.limit.MaxInUse
}

// wake lets those go on that wait and now find room. Pools.mu is held.
func (h *pool) wake() {
	for len(h.waiting) > 0 && h.hasRoom() {
		h.inUse++
		close(h.waiting[0])
		h.waiting = h.waiting[1:]
	}
}

func (h *pool) hasRoom() bool { return h.limit.MaxInUse == 0 || h.inUse < h.limit.MaxInUse }

// free ends the use of a connection. Pools.mu is held.
func (h *pool) free() {
	h.inUse--
	h.wake()
}

// Get returns a connection to the upstream, opening one if none is idle. opened
// is true for a new one. It waits while as many are in use as the limit allows,
// and returns ErrNoRoom if that does not end in time.
func (p *Pools) Get(ctx context.Context, use GetOptions) (conn *Conn, opened bool, err error) {
	held, err := p.enter(ctx, use)
	if err != nil {
		return nil, false, err
	}
	conn, opened, err = p.take(ctx, use, held)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		held.free()
		return nil, false, err
	}
	conn.pool = held
	return conn, opened, nil
}

// enter waits for room in the pool of the upstream.
func (p *Pools) enter(ctx context.Context, use GetOptions) (*pool, error) {
	p.mu.Lock()
	held := p.pools[use.Upstream]
	if held == nil {
		p.mu.Unlock()
		return nil, errNoUpstream
	}
	if len(held.waiting) == 0 && held.hasRoom() {
		held.inUse++
		p.mu.Unlock()
		return held, nil
	}
	turn := make(chan struct{})
	held.waiting = append(held.waiting, turn)
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(use.Deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return held, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return held, p.stopWaiting(held, turn)
}

// stopWaiting gives up a wait, which may just have ended well: the error is nil
// then.
func (p *Pools) stopWaiting(held *pool, turn chan struct{}) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(held.waiting, turn)
	if at < 0 {
		return nil
	}
	held.waiting = slices.Delete(held.waiting, at, at+1)
	return ErrNoFreeConnection
}

// take takes an idle connection, or opens one.
func (p *Pools) take(ctx context.Context, use GetOptions, held *pool) (conn *Conn, opened bool, err error) {
	lost := false
	for {
		idle := p.takeIdle(held)
		if idle == nil {
			break
		}
		if idle.isUsable() && (!use.CheckAlive || idle.isAlive()) {
			return idle, false, nil
		}
		lost = true
		p.drop(idle)
	}
	conn, err = p.open(ctx, held)
	var refused *RefusedError
	if errors.As(err, &refused) {
		err = &RefusedError{Reason: refused.Reason, AfterLoss: lost}
	}
	return conn, true, err
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

// takeIdle takes an idle connection, or counts one that is about to be opened.
func (p *Pools) takeIdle(held *pool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(held.idle) == 0 {
		held.open++
		return nil
	}
	return held.takeIdle()
}

// lendIdle takes an idle connection to this process of the upstream; nil if
// there is none. It is given back with Put.
func (p *Pools) lendIdle(upstream catalog.Upstream) *Conn {
	for {
		conn := p.popIdle(upstream)
		if conn == nil || conn.isUsable() {
			return conn
		}
		p.Put(conn, false)
	}
}

func (p *Pools) popIdle(upstream catalog.Upstream) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[upstream.ID]
	if held == nil || len(held.idle) == 0 || !held.upstream.SameProcess(upstream) {
		return nil
	}
	held.inUse++
	conn := held.takeIdle()
	conn.pool = held
	return conn
}

// adopt takes over a connection that was opened outside the pools, if there is
// none yet. It reports whether it did.
func (p *Pools) adopt(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[conn.upstream.ID]
	if held == nil || held.open > 0 || held.limit.Temporary || !held.upstream.SameProcess(conn.upstream) {
		return false
	}
	conn.usedAt = time.Now()
	held.open++
	held.idle = append(held.idle, conn)
	telemetry.UpstreamOpened.With(string(conn.upstream.ID)).Inc()
	return true
}

// takeIdle takes the connection that was used last. There must be one.
func (h *pool) takeIdle() *Conn {
	last := len(h.idle) - 1
	taken := h.idle[last]
	h.idle = h.idle[:last]
	return taken
}

// open opens a connection that is already counted.
func (p *Pools) open(ctx context.Context, held *pool) (*Conn, error) {
	conn, err := p.Dial(ctx, held.upstream)
	if err == nil {
		telemetry.UpstreamOpened.With(string(held.upstream.ID)).Inc()
		return conn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held.open--
	return nil, err
}

// Dial opens a connection outside the pools. The caller closes it.
func (p *Pools) Dial(ctx context.Context, upstream catalog.Upstream) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := p.dialer.DialContext(ctx, "tcp", upstream.Address)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil, startFailed(err)
	}
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	conn := &Conn{
		upstream: upstream,
		codec:    p.codec,
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, readBufferBytes),
		quiet:    lines.NewInputProbe(socket),
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
		return nil, &RefusedError{Reason: answer.Reason}
	}
	return conn, nil
}

// startFailed tells a connection that was taken and closed at once, which is
// how an upstream refuses one above its limit, from one without an answer.
func startFailed(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return &RefusedError{Reason: statement.TooManyConnections}
	}
	return err
}

// Put gives a connection back. One that is broken, or that has left a
// transaction open, is closed.
func (p *Pools) Put(conn *Conn, reusable bool) {
	held := conn.pool
	conn.pool = nil
	if !reusable || conn.broken {
		p.drop(conn)
	} else {
		p.putIdle(conn)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held.free()
}

// putIdle keeps a connection for the next use, if its upstream is still used.
func (p *Pools) putIdle(conn *Conn) {
	conn.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.pools[conn.upstream.ID]
	if held == nil || !held.upstream.SameProcess(conn.upstream) {
		p.closed(conn)
		return
	}
	held.idle = append(held.idle, conn)
	p.trim(held)
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

// OpenConnections returns the number of connections to the upstream.
func (p *Pools) OpenConnections(id model.UpstreamID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.pools[id]; held != nil {
		return held.open
	}
	return 0
}

// Close closes all idle connections.
func (p *Pools) Close() { p.SetUpstreams(nil, nil) }
