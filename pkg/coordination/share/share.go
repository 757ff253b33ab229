// Package share lets concurrent callers share one request to a slow source. Unlike
// with golang.org/x/sync/singleflight, a caller never joins a request that is
// already in progress, so that every result is newer than the call that gets it.
package share

import (
	"context"
	"sync"
)

// Call shares requests to a source. At most one request is in progress at a time;
// all callers that arrive meanwhile share the next one. The zero value is not
// usable; see New. It is safe for concurrent use.
type Call[T any] struct {
	ask func() T
	// pace runs before the callers that share a request are collected; nil for
	// none.
	pace func()

	mu sync.Mutex
	// asking is true while the goroutine of answerWaiting runs.
	asking bool
	// waiting holds the callers that share the next request.
	waiting []chan T
}

// New returns a Call of the source ask. ask is called without a context and must
// bound its own duration.
func New[T any](ask func() T) *Call[T] { return &Call[T]{ask: ask} }

// NewPaced returns a Call that calls pace, which may wait, before each request.
// Callers that arrive during the wait share the request that follows it.
func NewPaced[T any](pace func(), ask func() T) *Call[T] { return &Call[T]{ask: ask, pace: pace} }

// Do returns the result of a request that started after Do was called, or false if
// ctx ends first.
func (c *Call[T]) Do(ctx context.Context) (T, bool) {
	answer := c.join()
	select {
	case got := <-answer:
		return got, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// join adds a caller to the next request, which it starts if none is in progress.
func (c *Call[T]) join() <-chan T {
	answer := make(chan T, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, answer)
	if !c.asking {
		c.asking = true
		go c.answerWaiting()
	}
	return answer
}

// answerWaiting calls the source until no caller waits.
func (c *Call[T]) answerWaiting() {
	for c.hasWaiting() {
		if c.pace != nil {
			c.pace()
		}
		waiting := c.takeWaiting()
		got := c.ask()
		for _, answer := range waiting {
			answer <- got
		}
	}
}

// hasWaiting reports whether a caller waits. If none does, it clears asking, so
// that the next caller starts answerWaiting again.
func (c *Call[T]) hasWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = len(c.waiting) > 0
	return c.asking
}

// takeWaiting removes and returns the waiting callers.
func (c *Call[T]) takeWaiting() []chan T {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting
	c.waiting = nil
	return waiting
}
