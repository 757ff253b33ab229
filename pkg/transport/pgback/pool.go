package pgback

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/verdict"
)

// maxDials bounds the connections to one upstream that are opened at once, so
// that a burst of work does not become a burst of logins. Work that comes
// meanwhile is often served by a connection that is given back.
const maxDials = 2

// waiter is a unit of work that waits for a connection.
type waiter struct {
	want origin
	// ready takes exactly one offer.
	ready chan offer
}

// offer is a connection, or the reason that there is none.
type offer struct {
	conn *conn
	err  error
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
	opening int // connections that are being opened
	closing int // connections that are being closed
	idle    []*conn
	waiters []*waiter
	// want is what the pool was last asked for.
	want   origin
	closed bool
}

// get returns an idle connection, or waits for one to be opened or given back.
func (p *pool) get(ctx context.Context, want origin, deadline time.Time) (*conn, *verdict.Error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, verdict.New(verdict.Stopping, verdict.NotRun, "the proxy is stopping")
	}
	p.note(want)
	if c := p.takeIdle(want); c != nil {
		p.grow()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{want: want, ready: make(chan offer, 1)}
	p.waiters = append(p.waiters, w)
	p.grow()
	p.mu.Unlock()
	return p.wait(ctx, w, deadline)
}

// note records what the pool is asked for, unless it is older than what is
// known. The caller holds mu.
func (p *pool) note(want origin) {
	if want.generation >= p.want.generation {
		p.want = want
	}
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
	return c.origin.matches(want) && !c.probe.HasInput()
}

func (p *pool) wait(ctx context.Context, w *waiter, deadline time.Time) (*conn, *verdict.Error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-w.ready:
		if o.err != nil {
			return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the database can't be reached").
				WithCause(o.err).WithRetryAfter(retryAfterOpen)
		}
		return o.conn, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	p.abandon(w)
	return nil, verdict.New(verdict.Overloaded, verdict.NotRun, "no connection to the database is free").
		WithRetryAfter(retryAfterWait)
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
	if o := <-w.ready; o.conn != nil {
		p.putLocked(o.conn)
	}
}

// put takes back a connection that is ready for its next use.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

func (p *pool) putLocked(c *conn) {
	outdated := c.origin.generation < p.want.generation
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
	p.grow()
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
	defer p.mu.Unlock()
	p.limit = limit
	p.keep = keep
	for p.isOver() && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.closeLocked(c)
	}
	p.grow()
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
