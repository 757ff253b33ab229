// Package hedge repeats a read that has not been answered yet, beside the attempts
// that are still in progress. It serves reads of a source that may lose requests
// without an error: an attempt that was sent while the source did not listen gets
// no answer, while one that is sent after its return does.
package hedge

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
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
	attempt int
	value   T
	err     error
}

// answeringKey is the context key of the function that Answering calls.
type answeringKey struct{}

// Answering tells Do that the answer to the attempt with this context has begun to
// arrive. It does nothing in other contexts.
func Answering(ctx context.Context) {
	if report, hedged := ctx.Value(answeringKey{}).(func()); hedged {
		report()
	}
}

// Do calls read until an attempt succeeds, and returns its result. Attempts run
// at the same time, in goroutines of their own; read must be idempotent and end with
// its context, which is cancelled when Do returns. An attempt that fails is not
// repeated before its time. Once an attempt has called Answering, the others are
// cancelled and no further ones start, so that a large answer is sent only once. If
// all attempts that were started have failed, Do returns an error of one that was not
// cancelled; if ctx ends first, that of ctx.
func Do[T any](ctx context.Context, policy Policy, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := newAttempts(ctx, policy, read)
	attempts.start()
	next := time.NewTicker(policy.Interval)
	defer next.Stop()
	var none T
	for {
		select {
		case got := <-attempts.results:
			if got.err == nil {
				return got.value, nil
			}
			if attempts.fail(got) {
				return none, attempts.err
			}
		case attempt := <-attempts.answering:
			attempts.follow(attempt)
		case <-next.C:
			attempts.startNext()
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
}

// noAttempt stands for no attempt.
const noAttempt = -1

// attempts holds the attempts of one read. Its methods are called by one goroutine.
type attempts[T any] struct {
	ctx    context.Context
	policy Policy
	read   func(context.Context) (T, error)

	results   chan result[T]
	answering chan int
	// cancels holds a function for each attempt that was started.
	cancels []context.CancelFunc
	failed  int
	// followed is the attempt whose answer is arriving, or noAttempt.
	followed int
	err      error
}

func newAttempts[T any](ctx context.Context, policy Policy, read func(context.Context) (T, error)) *attempts[T] {
	return &attempts[T]{
		ctx: ctx, policy: policy, read: read, followed: noAttempt,
		results:   make(chan result[T], policy.MaxAttempts),
		answering: make(chan int, policy.MaxAttempts),
	}
}

// start starts an attempt.
func (a *attempts[T]) start() {
	attempt := len(a.cancels)
	report := sync.OnceFunc(func() { a.answering <- attempt })
	ctx, cancel := context.WithCancel(context.WithValue(a.ctx, answeringKey{}, report))
	a.cancels = append(a.cancels, cancel)
	go func() {
		value, err := a.read(ctx)
		a.results <- result[T]{attempt: attempt, value: value, err: err}
	}()
}

// startNext starts an attempt, unless an answer is arriving or too many were started.
func (a *attempts[T]) startNext() {
	if a.followed == noAttempt && len(a.cancels) < a.policy.MaxAttempts {
		a.start()
	}
}

// follow cancels the attempts besides the one whose answer is arriving.
func (a *attempts[T]) follow(attempt int) {
	if a.followed != noAttempt {
		return
	}
	a.followed = attempt
	for other, cancel := range a.cancels {
		if other != attempt {
			cancel()
		}
	}
}

// fail records the failure of an attempt, and reports whether none is left.
func (a *attempts[T]) fail(got result[T]) bool {
	a.failed++
	if a.err == nil || !errors.Is(got.err, context.Canceled) {
		a.err = got.err
	}
	if got.attempt == a.followed {
		a.followed = noAttempt
	}
	return a.failed == len(a.cancels)
}
