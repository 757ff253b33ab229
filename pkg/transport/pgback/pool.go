package pgback

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/verdict"
)

// maxDials bounds the connections to one upstream that are opened at the same
// time, so that a burst of work does not cause a burst of logins. Units that wait
// meanwhile are often served by a connection that is released.
const maxDials = 2

// waiter is a unit of work that waits for a connection.
type waiter struct {
	want connectionKey
	// result receives exactly one value unless the waiter leaves the queue.
	result chan acquireResult
}

// acquireResult is a connection, or the error why there is none.
type acquireResult struct {
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
	limit   int // further connections are opened while open is less
	maxKept int // connections are closed while more than this are open
	open    int // connections, with those being opened or closed
	opening int // connections that are being opened
	closing int // connections that are being closed
	idle    []*conn
	waiters []*waiter
	// newestKey is the last requested key of the newest generation.
	newestKey connectionKey
	closed    bool
}

// get returns an idle connection, or waits for one to be opened or released,
// until deadline or the end of ctx.
func (p *pool) get(ctx context.Context, want connectionKey, deadline time.Time) (*conn, *verdict.Error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, verdict.New(verdict.Stopping, verdict.NotRun, "the proxy is stopping")
	}
	p.recordKey(want)
	if c := p.takeIdle(want); c != nil {
		p.grow()
		p.mu.Unlock()
		return c, nil
	}
	w := &waiter{want: want, result: make(chan acquireResult, 1)}
	p.waiters = append(p.waiters, w)
	p.grow()
	p.mu.Unlock()
	return p.wait(ctx, w, deadline)
}

// recordKey records a requested key unless its generation is older than that of
// newestKey. The caller holds mu.
func (p *pool) recordKey(want connectionKey) {
	if want.generation >= p.newestKey.generation {
		p.newestKey = want
	}
}

// takeIdle returns the most recently used idle connection that can serve want, or
// nil. It closes those that it finds outdated or broken. The caller holds mu.
func (p *pool) takeIdle(want connectionKey) *conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.isUsableFor(want) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// isUsableFor reports whether c can serve want. Unread input means that the
// upstream has closed the connection or sent an unexpected message.
func (c *conn) isUsableFor(want connectionKey) bool {
	return c.key.canServe(want) && !c.probe.HasInput()
}

// wait waits for the result of w, until deadline or the end of ctx.
func (p *pool) wait(ctx context.Context, w *waiter, deadline time.Time) (*conn, *verdict.Error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-w.result:
		if o.err != nil {
			return nil, verdict.New(verdict.NoUpstream, verdict.NotRun, "the database can't be reached").
				WithCause(o.err).WithRetryAfter(retryAfterOpen)
		}
		return o.conn, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	p.removeWaiter(w)
	return nil, verdict.New(verdict.Overloaded, verdict.NotRun, "no connection to the database is free").
		WithRetryAfter(retryAfterWait)
}

// removeWaiter removes w from the queue. If w has already left it with a
// connection, the connection goes back to the pool.
func (p *pool) removeWaiter(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	if o := <-w.result; o.conn != nil {
		p.putLocked(o.conn)
	}
}

// put returns a connection that is ready for its next use to the pool.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

// putLocked gives c to the unit of work that has waited longest, or makes it idle,
// or closes it if it is no longer needed. The caller holds mu.
func (p *pool) putLocked(c *conn) {
	outdated := c.key.generation < p.newestKey.generation
	if p.closed || p.isAboveMaxKept() || outdated {
		p.closeLocked(c)
		return
	}
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	if !c.isUsableFor(p.waiters[0].want) {
		p.closeLocked(c)
		return
	}
	p.popWaiter().result <- acquireResult{conn: c}
}

// discard closes a connection that cannot be used again.
func (p *pool) discard(c *conn) {
	events.Log(context.Background(), p.logger, events.UpstreamDiscarded)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// isAboveMaxKept reports whether more connections are open than may be kept, not
// counting those that are being closed. The caller holds mu.
func (p *pool) isAboveMaxKept() bool { return p.open-p.closing > p.maxKept }

// closeLocked starts to close c. c counts as open until the upstream has closed
// its side, so that the upstream never sees more connections than the limit. The
// caller holds mu.
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

// popWaiter removes the first waiter from the queue. The caller holds mu.
func (p *pool) popWaiter() *waiter {
	w := p.waiters[0]
	p.waiters[0] = nil
	p.waiters = p.waiters[1:]
	return w
}

// setLimits sets the number of connections up to which further ones are opened,
// and the number above which connections are closed.
func (p *pool) setLimits(limit, maxKept int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.maxKept = maxKept
	for p.isAboveMaxKept() && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.closeLocked(c)
	}
	p.grow()
}

// close closes idle connections and refuses new ones; those in use are closed
// when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}
