package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/retry"
	"gypsumdock/pkg/verdict"
)

// retries holds the retry budget for the goroutines of traffic.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetries() *retries {
	return &retries{budget: retry.New(retry.DefaultConfig())}
}

// request counts a first try.
func (r *retries) request(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(now)
}

// retry returns the delay before another try, or false if there may be none.
func (r *retries) retry(now time.Duration, a retry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(now, a)
}

// mayTry admits the try of a unit to the retry budget, and waits for the
// backoff before a further one. The path asks only for units that were not
// run, and for reads of which nothing was answered.
func (e *Engine) mayTry(ctx context.Context, s traffic.Statement, deadline time.Time) *verdict.Error {
	now := e.config.Clock.Now()
	if s.Attempt == 0 {
		e.retries.request(now)
		return nil
	}
	failure := verdict.New(verdict.UpstreamLost, verdict.NotRun, "the upstream was lost")
	delay, allowed := e.retries.retry(now, retry.Attempt{
		Failure:  failure,
		Number:   s.Attempt,
		TimeLeft: time.Until(deadline),
		Rand:     e.config.Random(),
	})
	if !allowed {
		return verdict.New(verdict.Overloaded, verdict.NotRun,
			"the upstream was lost, and too many requests are being retried").WithRetryAfter(e.advice())
	}
	e.stats.retries.Add(1)
	return pause(ctx, delay, failure.WithRetryAfter(e.advice()))
}

// pause waits for delay, or returns interrupted when ctx ends before.
func pause(ctx context.Context, delay time.Duration, interrupted *verdict.Error) *verdict.Error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return interrupted
	}
}
