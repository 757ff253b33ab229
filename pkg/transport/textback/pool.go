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
	// checkAliveAfter is the idle time after which a connection must answer
	// before work is sent on it that must not be retried.
	checkAliveAfter = time.Second
	// checkAliveTimeout bounds the wait for that answer.
	checkAliveTimeout = 150 * time.Millisecond
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

// GetOptions says which connection is wanted.
type GetOptions struct {
	Upstream model.UpstreamID
	// Caller is the client account that the connection is for; empty if there is
	// none.
	Caller model.CallerName
	// CheckAlive requests that a connection which has been idle for long must
	// answer the upstream's reset before it is used.
	CheckAlive bool
}

// Pools holds the connections to all upstreams. It is safe for concurrent use.
type Pools struct {
	codec statement.UpstreamCodec
	// selfName is the name of this instance's machine, which is sent when a
	// connection is opened.
	selfName string
	dialer   *net.Dialer

	mu    sync.Mutex
	pools map[model.UpstreamID]*pool
}

// pool holds the connections to one upstream. Pools.mu guards it.
type pool struct {
	upstream catalog.Upstream
	// idle is ordered by the time of last use, the latest last.
	idle []*Conn
	// open counts the connections that are idle, in use or being opened.
	open int
	// maxOpen is the number of connections above which idle ones are closed;
	// zero sets no bound.
	maxOpen int
}

// New returns pools without upstreams. selfName is sent to upstreams when a
// connection is opened.
func New(codec statement.UpstreamCodec, selfName string) *Pools {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &Pools{codec: codec, selfName: selfName, dialer: dialer, pools: make(map[model.UpstreamID]*pool)}
}

// SetUpstreams replaces the upstreams in use, and the numbers of connections to
// each above which idle ones are closed; an upstream without an entry in maxOpen
// has no bound. Connections to other upstreams, and to earlier processes of
// these, are closed at once if they are idle and otherwise when they are
// returned.
func (p *Pools) SetUpstreams(upstreams map[model.UpstreamID]catalog.Upstream, maxOpen map[model.UpstreamID]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pl := range p.pools {
		current, used := upstreams[id]
		if used && current.SameProcess(pl.upstream) {
			continue
		}
		for _, idle := range pl.idle {
			p.closeConn(idle)
		}
		pl.idle = nil
		delete(p.pools, id)
	}
	for id, upstream := range upstreams {
		pl := p.pools[id]
		if pl == nil {
			pl = &pool{upstream: upstream}
			p.pools[id] = pl
		}
		pl.maxOpen = maxOpen[id]
		p.closeExcessIdle(pl)
	}
}

// closeExcessIdle closes the idle connections that exceed the bound, the longest
// idle first. p.mu is held.
func (p *Pools) closeExcessIdle(pl *pool) {
	for len(pl.idle) > 0 && pl.maxOpen > 0 && pl.open > pl.maxOpen {
		p.closeConn(pl.idle[0])
		pl.open--
		pl.idle = pl.idle[1:]
	}
}

// Get returns a connection to an upstream, and opens one if none is idle;
// opened is true then.
func (p *Pools) Get(ctx context.Context, options GetOptions) (conn *Conn, opened bool, err error) {
	p.mu.Lock()
	pl := p.pools[options.Upstream]
	p.mu.Unlock()
	if pl == nil {
		return nil, false, errNoUpstream
	}
	return p.takeOrDial(ctx, options, pl)
}

// takeOrDial takes an idle connection that is usable, or opens one.
func (p *Pools) takeOrDial(ctx context.Context, options GetOptions, pl *pool) (conn *Conn, opened bool, err error) {
	lost := false
	for {
		idle := p.takeIdleOrReserve(pl)
		if idle == nil {
			break
		}
		if idle.isUsable() && (!options.CheckAlive || idle.isAlive()) {
			return idle, false, nil
		}
		lost = true
		p.discard(idle)
	}
	conn, err = p.dialReserved(ctx, pl)
	var refused *RefusedError
	if errors.As(err, &refused) {
		err = &RefusedError{Reason: refused.Reason, AfterLoss: lost}
	}
	return conn, true, err
}

// isAlive reports whether the upstream still answers on the connection. A
// connection that was used recently is not asked.
func (c *Conn) isAlive() bool {
	if time.Since(c.usedAt) < checkAliveAfter {
		return true
	}
	clear(c.values)
	clear(c.prepared)
	answer, err := c.Exchange(c.codec.AppendCommand(nil, statement.CommandReset, 0), time.Now().Add(checkAliveTimeout))
	return err == nil && answer.Reason == statement.Succeeded
}

// errNoUpstream means that the upstream is not in use.
var errNoUpstream = errors.New("upstream is not in use")

// takeIdleOrReserve takes an idle connection. If there is none it counts one as
// open, which must then be opened with dialReserved, and returns nil.
func (p *Pools) takeIdleOrReserve(pl *pool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(pl.idle) == 0 {
		pl.open++
		return nil
	}
	return pl.takeIdle()
}

// borrowIdle takes an idle connection to this process of the upstream; nil if
// there is none. It is returned with Put.
func (p *Pools) borrowIdle(upstream catalog.Upstream) *Conn {
	for {
		conn := p.popIdle(upstream)
		if conn == nil || conn.isUsable() {
			return conn
		}
		p.Put(conn, false)
	}
}

// popIdle is borrowIdle for a single connection, which may be unusable.
func (p *Pools) popIdle(upstream catalog.Upstream) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[upstream.ID]
	if pl == nil || len(pl.idle) == 0 || !pl.upstream.SameProcess(upstream) {
		return nil
	}
	return pl.takeIdle()
}

// addDialed adds a connection that was opened with Dial to its pool, if the
// pool has none yet. It reports whether it did.
func (p *Pools) addDialed(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[conn.upstream.ID]
	if pl == nil || pl.open > 0 || !pl.upstream.SameProcess(conn.upstream) {
		return false
	}
	conn.usedAt = time.Now()
	pl.open++
	pl.idle = append(pl.idle, conn)
	telemetry.UpstreamOpened.With(string(conn.upstream.ID)).Inc()
	return true
}

// takeIdle takes the idle connection that was used last. There must be one.
func (pl *pool) takeIdle() *Conn {
	last := len(pl.idle) - 1
	taken := pl.idle[last]
	pl.idle = pl.idle[:last]
	return taken
}

// dialReserved opens a connection that takeIdleOrReserve has counted.
func (p *Pools) dialReserved(ctx context.Context, pl *pool) (*Conn, error) {
	conn, err := p.Dial(ctx, pl.upstream)
	if err == nil {
		telemetry.UpstreamOpened.With(string(pl.upstream.ID)).Inc()
		return conn, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.open--
	return nil, err
}

// Dial opens a connection outside the pools. It is closed by whoever called
// Dial.
func (p *Pools) Dial(ctx context.Context, upstream catalog.Upstream) (*Conn, error) {
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
		codec:    p.codec,
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, readBufferBytes),
		input:    lines.NewInputProbe(socket),
		values:   make(map[string]string),
		prepared: make(map[string]bool),
	}
	deadline, _ := ctx.Deadline()
	answer, err := conn.Exchange(p.codec.AppendStart(nil, upstream.Group, p.selfName, upstream.ID), deadline)
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

// startError returns the error for a connection whose start was not answered.
// An upstream refuses a connection above its limit by closing it at once, which
// becomes a RefusedError.
func startError(err error) error {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return &RefusedError{Reason: statement.TooManyConnections}
	}
	return err
}

// Put returns a connection. It is closed unless it is reusable and not broken.
func (p *Pools) Put(conn *Conn, reusable bool) {
	if !reusable || conn.broken {
		p.discard(conn)
		return
	}
	p.putIdle(conn)
}

// putIdle keeps a connection for the next use if its upstream is still in use.
func (p *Pools) putIdle(conn *Conn) {
	conn.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[conn.upstream.ID]
	if pl == nil || !pl.upstream.SameProcess(conn.upstream) {
		p.closeConn(conn)
		return
	}
	pl.idle = append(pl.idle, conn)
	p.closeExcessIdle(pl)
}

// discard closes a connection and no longer counts it as open.
func (p *Pools) discard(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[conn.upstream.ID]; pl != nil && pl.upstream.SameProcess(conn.upstream) {
		pl.open--
	}
	p.closeConn(conn)
}

// closeConn closes a connection and counts that in the metrics.
func (p *Pools) closeConn(conn *Conn) {
	conn.close()
	telemetry.UpstreamClosed.With(string(conn.upstream.ID)).Inc()
}

// OpenConnections returns the number of connections to an upstream.
func (p *Pools) OpenConnections(id model.UpstreamID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[id]; pl != nil {
		return pl.open
	}
	return 0
}

// Close closes all idle connections. Those in use are closed when they are
// returned.
func (p *Pools) Close() { p.SetUpstreams(nil, nil) }
