package pgback

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/verdict"
)

// waiter is a unit of work that waits for a connection.
type waiter struct {
	want origin
	// ready takes exactly one offer.
	ready chan offer
}

// offer is a connection, or with none the right to open one.
type offer struct {
	conn *conn
}

// pool holds the connections to one upstream.
type pool struct {
	dialer  *dialer
	minIdle int
	logger  *slog.Logger
	stats   *counters

	mu      sync.Mutex
	limit   int // connections up to which more may be opened
	keep    int // connections beyond which some are closed
	open    int // connections that are being opened, open or being closed
	closing int // connections that are being closed
	idle    []*conn
	waiters []*waiter
	warm    warmer
	closed  bool
}

// get returns an idle connection, opens one, or waits for one.
func (p *pool) get(ctx context.Context, want origin, deadline time.Time) (*conn, *verdict.Error) {
	p.mu.Lock()
	p.warm.note(want)
	if c := p.takeIdle(want); c != nil {
		p.mu.Unlock()
		p.keepWarm()
		return c, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, verdict.New(verdict.Stopping, verdict.NotRun, "the proxy is stopping")
	}
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return p.openConn(ctx, want, deadline)
	}
	w := &waiter{want: want, ready: make(chan offer, 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	return p.wait(ctx, w, deadline)
}

// takeIdle returns a connection that serves want; others that are out of date
// or broken are closed. The caller holds mu.
func (p *pool) takeIdle(want origin) *conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.serves(want) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// serves reports whether c can be lent for want.
func (c *conn) serves(want origin) bool {
	return c.origin.matches(want) && !c.probe.hasInput()
}

// openConn opens a connection whose place in open is already taken.
func (p *pool) openConn(ctx context.Context, want origin, deadline time.Time) (*conn, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := p.dial(ctx, want)
	if err != nil {
		return nil, refuseOpen(ctx, err)
	}
	return c, nil
}

func refuseOpen(ctx context.Context, err error) *verdict.Error {
	code := verdict.NoUpstream
	reason := "the database can't be reached"
	if ctx.Err() != nil {
		code = verdict.DeadlineExceeded
		reason = "no connection to the database within the deadline"
	}
	return verdict.New(code, verdict.NotRun, reason).WithCause(err).WithRetryAfter(retryAfterOpen)
}

// dial opens a connection whose place in open is already taken, and gives the
// place back when it fails.
func (p *pool) dial(ctx context.Context, want origin) (*conn, error) {
	c, err := p.dialer.dial(ctx, want.group, want.upstream)
	if err != nil {
		p.logFailed(err)
		p.stats.failed.Add(1)
		p.mu.Lock()
		p.open--
		p.passOn()
		p.mu.Unlock()
		return nil, err
	}
	p.stats.opened.Add(1)
	events.Log(ctx, p.logger, events.UpstreamConnected)
	c.pool = p
	c.origin = want
	return c, nil
}

// invalidPassword and invalidAuthorization are SQLSTATEs of a refused login.
const (
	invalidPassword      = "28P01"
	invalidAuthorization = "28000"
)

func (p *pool) logFailed(err error) {
	event := events.UpstreamConnectFailed
	var refused *pgconn.PgError
	if errors.As(err, &refused) && (refused.Code == invalidPassword || refused.Code == invalidAuthorization) {
		event = events.UpstreamAuthFailed
	}
	events.Log(context.Background(), p.logger, event, slog.String("reason", err.Error()))
}

func (p *pool) wait(ctx context.Context, w *waiter, deadline time.Time) (*conn, *verdict.Error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-w.ready:
		return p.accept(ctx, w, o, deadline)
	case <-ctx.Done():
	case <-timer.C:
	}
	p.abandon(w)
	return nil, verdict.New(verdict.Overloaded, verdict.NotRun, "no connection to the database is free").
		WithRetryAfter(retryAfterWait)
}

func (p *pool) accept(ctx context.Context, w *waiter, o offer, deadline time.Time) (*conn, *verdict.Error) {
	if o.conn == nil {
		return p.openConn(ctx, w.want, deadline)
	}
	return o.conn, nil
}

// abandon takes w out of the queue and passes on what it was offered.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	o := <-w.ready
	if o.conn != nil {
		p.putLocked(o.conn)
		return
	}
	p.open--
	p.passOn()
}

// put takes back a connection that is ready for its next use.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

func (p *pool) putLocked(c *conn) {
	outdated := c.origin.generation < p.warm.want.generation
	if p.closed || p.isOver() || outdated {
		p.closeLocked(c)
		return
	}
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	if !c.serves(p.waiters[0].want) {
		p.closeLocked(c)
		return
	}
	p.popWaiter().ready <- offer{conn: c}
}

// discard closes a connection that is in use.
func (p *pool) discard(c *conn) {
	events.Log(context.Background(), p.logger, events.UpstreamDiscarded)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// isOver reports whether more connections are open than may be kept, apart
// from those that are being closed.
func (p *pool) isOver() bool { return p.open-p.closing > p.keep }

// closeLocked closes c. Its place is free once the upstream has closed its
// side, so that the upstream never counts more connections than the limit.
func (p *pool) closeLocked(c *conn) {
	p.closing++
	go p.finishClose(c)
}

func (p *pool) finishClose(c *conn) {
	c.close()
	p.stats.closed.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing--
	p.open--
	p.passOn()
}

// passOn lets waiters open connections while there is room.
func (p *pool) passOn() {
	for len(p.waiters) > 0 && p.open < p.limit && !p.closed {
		p.open++
		p.popWaiter().ready <- offer{}
	}
}

func (p *pool) popWaiter() *waiter {
	w := p.waiters[0]
	p.waiters[0] = nil
	p.waiters = p.waiters[1:]
	return w
}

// setLimits changes the number of connections up to which more may be opened,
// and the number beyond which some are closed.
func (p *pool) setLimits(limit, keep int) {
	p.mu.Lock()
	p.limit = limit
	p.keep = keep
	for p.isOver() && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.closeLocked(c)
	}
	p.passOn()
	p.mu.Unlock()
	p.keepWarm()
}

// shut closes idle connections and refuses new ones; those in use are closed
// when they are released.
func (p *pool) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}
