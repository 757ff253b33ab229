// Package hedge repeats a read that has not been answered yet, beside the attempts
// that are still in progress. It serves reads of a source that may lose requests
// without an error: an attempt that was sent while the source did not listen gets
// no answer, while one that is sent after its return does.
package hedge

import (
	"context"
	"time"
)

// Policy says when further attempts start.
type Policy struct {
	// Interval is the time between the starts of two attempts.
	Interval time.Duration
	// MaxAttempts bounds the number of attempts of one read.
	MaxAttempts int
}

// result is the result of an attempt.
type result[T any] struct {
	value T
	err   error
}

// Do calls read until an attempt succeeds, and returns its result. Attempts run
// at the same time, in goroutines of their own; read must be idempotent and end with
// its context, which is cancelled when Do returns. An attempt that fails is not
// repeated before its time. If all attempts that were started have failed, Do returns
// the last error; if ctx ends first, that of ctx.
func Do[T any](ctx context.Context, policy Policy, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], policy.MaxAttempts)
	start := func() {
		go func() {
			value, err := read(ctx)
			results <- result[T]{value: value, err: err}
		}()
	}
	start()
	started, failed := 1, 0
	next := time.NewTicker(policy.Interval)
	defer next.Stop()
	for {
		select {
		case got := <-results:
			if got.err == nil {
				return got.value, nil
			}
			failed++
			if failed == started {
				return got.value, got.err
			}
		case <-next.C:
			if started < policy.MaxAttempts {
				start()
				started++
			}
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
