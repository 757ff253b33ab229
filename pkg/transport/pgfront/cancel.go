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

// running is the statement that a session has on an upstream, or that waits
// for one. A cancel request holds the lock until the upstream has taken it in,
// and the session takes the lock before it goes on, so that no later statement
// on the connection is hit.
type running struct {
	mu      sync.Mutex
	backend pgback.Backend
	// waiting is true while the statement waits for a ticket and a connection.
	waiting bool
	// ctx is the parent of waits; stop ends it. Both serve until a cancel
	// request has used them up.
	ctx  context.Context
	stop context.CancelFunc
	// cancelled is true when a wait was ended by a cancel request.
	cancelled bool
	// unsure is true when a cancel request may still arrive.
	unsure bool
}

// context returns the parent of the next request's work. It ends with base, or
// when a cancel request ends the wait for a ticket or a connection.
func (r *running) context(base context.Context) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.cancelled {
		r.ctx, r.stop = context.WithCancel(base)
	}
	r.cancelled = false
	return r.ctx
}

// wait begins the wait for a ticket and a connection.
func (r *running) wait() {
	r.mu.Lock()
	r.waiting = true
	r.mu.Unlock()
}

// endWait ends the wait and reports whether a cancel request came meanwhile.
func (r *running) endWait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = false
	return r.cancelled
}

// release frees the context of waits.
func (r *running) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
	}
}

func (r *running) set(backend pgback.Backend) {
	r.mu.Lock()
	r.backend = backend
	r.mu.Unlock()
}

// clear waits for a cancel request under way and reports whether one may
// still arrive.
func (r *running) clear() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backend = nil
	unsure := r.unsure
	r.unsure = false
	return unsure
}

// cancel passes a request on to the upstream where a statement is running, or
// ends the wait for one.
func (r *running) cancel(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting {
		r.cancelled = true
		r.stop()
		return true
	}
	if r.backend == nil {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if r.backend.Cancel(ctx) != nil {
		r.unsure = true
	}
	return true
}

// Cancel cancels the running statement of the session with this key, if any,
// and reports whether the key is of a session of this server.
func (s *Server) Cancel(ctx context.Context, processID uint32, secret []byte) bool {
	s.mu.Lock()
	session := s.sessions[processID]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secret[:], secret) != 1 {
		return false
	}
	if session.running.cancel(ctx) {
		s.counters.cancels.Add(1)
	}
	return true
}

// cancel serves a cancel request of a caller, which gets no answer.
func (s *Server) cancel(processID uint32, secret []byte) {
	if s.Cancel(s.base, processID, secret) || s.config.ForwardCancel == nil {
		return
	}
	ctx, stop := context.WithTimeout(s.base, cancelTimeout)
	defer stop()
	s.config.ForwardCancel(ctx, processID, secret)
}
