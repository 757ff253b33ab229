package pgback

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Defaults of Config.
const (
	defaultDialTimeout   = 3 * time.Second
	defaultMaxMessage    = 64 << 20 // bytes
	defaultMaxStatements = 100
)

// Time after which callers are told to retry a unit of work that got no
// connection.
const (
	retryAfterOpen = 500 * time.Millisecond
	retryAfterWait = 100 * time.Millisecond
)

// Config holds the settings of Pools. Zero values take the defaults.
type Config struct {
	// TLS is used for connections to upstreams; nil means no TLS.
	TLS *tls.Config
	// DialTimeout bounds opening a connection, including the login.
	DialTimeout time.Duration
	// MaxMessageBytes bounds one message of an upstream.
	MaxMessageBytes int
	// MaxStatements bounds the prepared statements of a connection.
	MaxStatements int
	// ApplicationName is the application_name of connections.
	ApplicationName string
	// DefaultLimit is the limit of an upstream until SetLimit is called.
	DefaultLimit int
	// MinIdle is the number of idle connections to keep open to each upstream,
	// within its limit.
	MinIdle int
	// Logger receives the events of connections; nil discards them.
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = defaultMaxMessage
	}
	if c.MaxStatements == 0 {
		c.MaxStatements = defaultMaxStatements
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// Pools holds the connections to all upstreams. It is safe for concurrent use.
type Pools struct {
	config Config
	dialer *dialer

	mu     sync.RWMutex
	pools  map[model.UpstreamID]*pool
	closed bool
}

// New returns an empty set of pools.
func New(config Config) (*Pools, error) {
	config = config.withDefaults()
	dialer, err := newDialer(config)
	if err != nil {
		return nil, err
	}
	return &Pools{config: config, dialer: dialer, pools: make(map[model.UpstreamID]*pool)}, nil
}

// Acquire returns a connection to the ticket's upstream. It waits for one until
// the ticket's deadline or the end of ctx. The outcome of an error is always
// verdict.NotRun. The caller must release the connection.
func (p *Pools) Acquire(ctx context.Context, t *traffic.Ticket) (Backend, *verdict.Error) {
	want := connectionKey{group: t.Group, upstream: t.Upstream, generation: t.Generation}
	c, refused := p.pool(t.Upstream.ID).get(ctx, want, t.Deadline)
	if refused != nil {
		return nil, refused
	}
	return c, nil
}

// SetLimit sets the number of connections that may be open to an upstream. If
// more are open, idle ones are closed at once and others when they are released.
func (p *Pools) SetLimit(upstream model.UpstreamID, limit int) {
	p.pool(upstream).setLimits(limit, limit)
}

// SetLimits sets the number of connections up to which further ones are opened,
// and the number above which connections are closed. maxKept must not be less than
// limit.
func (p *Pools) SetLimits(upstream model.UpstreamID, limit, maxKept int) {
	p.pool(upstream).setLimits(limit, maxKept)
}

// Warm tells the pool of upstream for which group and generation connections will
// be requested, so that it can open MinIdle of them in advance.
func (p *Pools) Warm(group *bundle.Group, upstream *bundle.Upstream, generation model.Generation) {
	pool := p.pool(upstream.ID)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.recordKey(connectionKey{group: group, upstream: upstream, generation: generation})
	pool.grow()
}

// Close closes idle connections at once and those in use when they are released.
// It does not wait. Acquire fails afterwards.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pool := range p.pools {
		pool.close()
	}
}

// pool returns the pool of an upstream, and creates it if needed.
func (p *Pools) pool(id model.UpstreamID) *pool {
	p.mu.RLock()
	found := p.pools[id]
	p.mu.RUnlock()
	if found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := p.pools[id]; found != nil {
		return found
	}
	created := &pool{
		dialer:  p.dialer,
		minIdle: p.config.MinIdle,
		logger:  p.config.Logger.With(slog.String("upstream", string(id))),
		stats:   &counters{},
		limit:   p.config.DefaultLimit,
		maxKept: p.config.DefaultLimit,
		closed:  p.closed,
	}
	p.pools[id] = created
	return created
}

// counters are the counts of a pool since its start.
type counters struct {
	opened atomic.Uint64
	closed atomic.Uint64
	failed atomic.Uint64
}

// Stats counts the connections to one upstream. Opened equals Closed plus Open
// whenever no connection is being opened or closed.
type Stats struct {
	Upstream model.UpstreamID
	// Opened, Closed and Failed count since the start of the process.
	Opened uint64
	Closed uint64
	Failed uint64
	// Open includes connections that are being opened or closed.
	Open int
	Idle int
	// Waiting is the number of units of work that wait and for which no
	// connection is being opened.
	Waiting int
	Limit   int
}

// StatsOf returns the counts of one upstream.
func (p *Pools) StatsOf(upstream model.UpstreamID) Stats {
	return p.pool(upstream).snapshot(upstream)
}

// Stats returns the counts of each upstream, in no particular order.
func (p *Pools) Stats() []Stats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]Stats, 0, len(p.pools))
	for id, pool := range p.pools {
		all = append(all, pool.snapshot(id))
	}
	return all
}

func (p *pool) snapshot(id model.UpstreamID) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Upstream: id,
		Opened:   p.stats.opened.Load(),
		Closed:   p.stats.closed.Load(),
		Failed:   p.stats.failed.Load(),
		Open:     p.open,
		Idle:     len(p.idle),
		Waiting:  max(len(p.waiters)-p.opening, 0),
		Limit:    p.limit,
	}
}
