// Package share lets many callers share one answer of a slow source, where an
// answer counts only for those who asked before the source was asked.
package share

import (
	"context"
	"sync"
)

// Call shares the answers of a source. One question is under way at a time; all
// who ask meanwhile share the next one. The zero value is not usable; see New.
// It is safe for concurrent use.
type Call[T any] struct {
	ask func() T

	mu      sync.Mutex
	asking  bool
	waiting []chan T
}

// New returns a Call of the source ask, which must end by itself.
func New[T any](ask func() T) *Call[T] { return &Call[T]{ask: ask} }

// Do returns an answer to a question that started after Do was called, or
// false when ctx ends before.
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

// join waits for the next question, and starts it if none is under way.
func (c *Call[T]) join() <-chan T {
	answer := make(chan T, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, answer)
	if !c.asking {
		c.asking = true
		go c.run()
	}
	return answer
}

// run asks until nobody waits.
func (c *Call[T]) run() {
	for {
		waiting := c.take()
		if len(waiting) == 0 {
			return
		}
		got := c.ask()
		for _, answer := range waiting {
			answer <- got
		}
	}
}

// take returns those who wait, and ends the run if there are none.
func (c *Call[T]) take() []chan T {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting
	c.waiting = nil
	c.asking = len(waiting) > 0
	return waiting
}
