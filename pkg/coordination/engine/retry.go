package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/state/retry"
	"gypsumdock/pkg/verdict"
)

// retryBudget is a retry budget that is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: retry.New(retry.DefaultConfig())}
}

// recordRequest counts a first attempt.
func (r *retryBudget) recordRequest(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(now)
}

// allowRetry returns the delay before another attempt, or false if the budget
// allows none.
func (r *retryBudget) allowRetry(now time.Duration, a retry.Attempt) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(now, a)
}

// checkRetryBudget counts a first attempt, and checks further ones against the
// retry budget and waits for their backoff. The statement path retries only units
// that were not run, and reads of which the caller has received nothing.
func (e *Engine) checkRetryBudget(ctx context.Context, s traffic.Statement, deadline time.Time) *verdict.Error {
	now := e.config.Clock.Now()
	if s.Attempt == 0 {
		e.retryBudget.recordRequest(now)
		return nil
	}
	failure := verdict.New(verdict.UpstreamLost, verdict.NotRun, "the upstream was lost")
	delay, allowed := e.retryBudget.allowRetry(now, retry.Attempt{
		Failure:  failure,
		Number:   s.Attempt,
		TimeLeft: time.Until(deadline),
		Rand:     e.config.Random(),
	})
	if !allowed {
		return verdict.New(verdict.Overloaded, verdict.NotRun,
			"the upstream was lost, and too many requests are being retried").WithRetryAfter(e.retryDelay())
	}
	e.stats.retries.Add(1)
	return pause(ctx, delay, failure.WithRetryAfter(e.retryDelay()))
}

// pause waits for delay, and returns interrupted if ctx ends first.
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
