package pgfront

import (
	"context"
	"crypto/subtle"
	"sync"
	"time"

	"gypsumdock/pkg/transport/pgback"
)

// cancelTimeout bounds a cancel request to an upstream.
const cancelTimeout = 2 * time.Second

// cancellation coordinates a session's statement with cancel requests. A cancel
// request holds the lock until the upstream has accepted it, and the session
// takes the lock before it goes on. A cancel request thus can't hit a later
// statement on the same connection.
type cancellation struct {
	mu      sync.Mutex
	backend pgback.Backend
	// waiting is true while the statement waits for a ticket and a connection.
	waiting bool
	// ctx is the parent context of the waits, and stop cancels it. A new ctx
	// is made only after a cancel request has cancelled this one.
	ctx  context.Context
	stop context.CancelFunc
	// cancelled is true when a cancel request has ended a wait.
	cancelled bool
	// mayArriveLate is true when sending a cancel request to the upstream
	// failed, so that it may still take effect later.
	mayArriveLate bool
}

// requestContext returns the parent context of the next request. It is cancelled
// with base, or when a cancel request ends the wait for a ticket or a connection.
func (c *cancellation) requestContext(base context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.cancelled {
		c.ctx, c.stop = context.WithCancel(base)
	}
	c.cancelled = false
	return c.ctx
}

// beginWait marks the start of the wait for a ticket and a connection.
func (c *cancellation) beginWait() {
	c.mu.Lock()
	c.waiting = true
	c.mu.Unlock()
}

// endWait marks the end of the wait and reports whether a cancel request ended it.
func (c *cancellation) endWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.cancelled
}

// release cancels the context of the waits.
func (c *cancellation) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil {
		c.stop()
	}
}

// attach ends a wait and directs cancel requests to backend. It returns false
// and leaves backend unset if a cancel request came during the wait.
func (c *cancellation) attach(backend pgback.Backend) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.cancelled {
		return false
	}
	c.backend = backend
	return true
}

// detach waits for a cancel request in progress, directs no further ones to the
// backend, and reports whether a cancel request may still take effect late.
func (c *cancellation) detach() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backend = nil
	c.waiting = false
	lateCancel := c.mayArriveLate
	c.mayArriveLate = false
	return lateCancel
}

// cancel sends a cancel request to the upstream where a statement is running, or
// ends the wait of a statement that has not been sent. It returns false if there
// is neither.
func (c *cancellation) cancel(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.cancelled = true
		c.stop()
		return true
	}
	if c.backend == nil {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if c.backend.Cancel(ctx) != nil {
		c.mayArriveLate = true
	}
	return true
}

// Cancel cancels the running statement, if any, of the session with this process
// ID and secret key. It reports whether the key is that of a session of this server.
func (s *Server) Cancel(ctx context.Context, processID uint32, secret []byte) bool {
	s.mu.Lock()
	session := s.sessions[processID]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secret[:], secret) != 1 {
		return false
	}
	if session.cancellation.cancel(ctx) {
		s.counters.cancels.Add(1)
	}
	return true
}

// handleCancelRequest handles a caller's cancel request, which gets no answer.
func (s *Server) handleCancelRequest(processID uint32, secret []byte) {
	if s.Cancel(s.baseCtx, processID, secret) || s.config.ForwardCancel == nil {
		return
	}
	ctx, stop := context.WithTimeout(s.baseCtx, cancelTimeout)
	defer stop()
	s.config.ForwardCancel(ctx, processID, secret)
}
