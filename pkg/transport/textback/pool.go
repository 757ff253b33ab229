package textback

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

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

	// startedAt is the origin of the clock of the callers' rates.
	startedAt time.Time

	mu    sync.Mutex
	pools map[model.UpstreamID]*pool
	// groups holds the pools of each group, ordered by the ID of the upstream.
	groups map[model.GroupID][]*pool
}

// New returns pools without upstreams. selfName is sent to upstreams when a
// connection is opened.
func New(codec statement.UpstreamCodec, selfName string) *Pools {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &Pools{codec: codec, selfName: selfName, dialer: dialer, startedAt: time.Now(), pools: make(map[model.UpstreamID]*pool)}
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
			pl = newPool(upstream)
			p.pools[id] = pl
		}
		pl.maxOpen = maxOpen[id]
		p.closeExcessIdle(pl)
	}
	p.groups = make(map[model.GroupID][]*pool)
	for _, id := range slices.Sorted(maps.Keys(p.pools)) {
		pl := p.pools[id]
		p.groups[pl.upstream.Group] = append(p.groups[pl.upstream.Group], pl)
	}
}

// Get returns a connection of the caller to an upstream, and opens one if none is
// idle; opened is true then.
func (p *Pools) Get(ctx context.Context, options GetOptions) (conn *Conn, opened bool, err error) {
	p.mu.Lock()
	pl := p.pools[options.Upstream]
	if pl != nil {
		pl.callers.Record(p.now(), options.Caller)
	}
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
		idle := p.takeIdleOrReserve(pl, options.Caller)
		if idle == nil {
			break
		}
		if idle.isUsable() && (!options.CheckAlive || idle.isAlive()) {
			return idle, false, nil
		}
		lost = true
		p.discard(idle)
	}
	conn, err = p.dialReserved(ctx, pl, options.Caller)
	var refused *RefusedError
	if errors.As(err, &refused) {
		err = &RefusedError{Reason: refused.Reason, AfterLoss: lost}
	}
	return conn, true, err
}

// errNoUpstream means that the upstream is not in use.
var errNoUpstream = errors.New("upstream is not in use")

// Put returns a connection. It is closed unless it is reusable and not broken.
func (p *Pools) Put(conn *Conn, reusable bool) {
	// What a unit required and did not send must not reach the next one.
	conn.setup = setup{}
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
	pl := conn.pool
	if p.pools[conn.upstream.ID] != pl {
		pl.uncount(conn.caller)
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
	conn.pool.uncount(conn.caller)
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
