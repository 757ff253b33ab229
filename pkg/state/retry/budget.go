// Package retry decides whether a unit of work that was not run may be sent
// again, and when. It is deterministic: times and random numbers are given.
package retry

import (
	"time"

	"gypsumdock/pkg/verdict"
)

// Config bounds the retries of one instance.
type Config struct {
	// Ratio is the number of retries allowed for each request seen.
	Ratio float64
	// Window is how long a request adds to the budget.
	Window time.Duration
	// MinRetries is the number of retries allowed in a Window without any request.
	MinRetries int
	// MaxAttempts bounds the attempts at one unit, the first included.
	MaxAttempts int
	// BaseDelay is the mean delay before the second attempt; it doubles with
	// each further one up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultConfig returns the bounds in use.
func DefaultConfig() Config {
	return Config{
		Ratio:       0.1,
		Window:      10 * time.Second,
		MinRetries:  10,
		MaxAttempts: 3,
		BaseDelay:   5 * time.Millisecond,
		MaxDelay:    200 * time.Millisecond,
	}
}

// buckets is the number of parts into which the window is divided.
const buckets = 10

// Budget counts the requests and retries of the last seconds. It is owned by
// one goroutine.
type Budget struct {
	config  Config
	counts  [buckets]count
	current int64
}

type count struct{ requests, retries int }

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config} }

// Attempt describes a failed attempt at a unit of work.
type Attempt struct {
	Failure *verdict.Error
	// Number is 1 for the first attempt.
	Number int
	// AtMostOnce and Sent are the route's rule and whether a byte of the
	// unit has gone to an upstream in any attempt.
	AtMostOnce bool
	Sent       bool
	// TimeLeft is the time to the unit's deadline.
	TimeLeft time.Duration
	// Rand is a random number for the jitter.
	Rand uint64
}

// RecordRequest counts a new unit of work.
func (b *Budget) RecordRequest(now time.Duration) { b.bucket(now).requests++ }

// AllowRetry returns the delay before the next attempt, or false if there may be
// none. An allowed retry is taken from the budget.
func (b *Budget) AllowRetry(now time.Duration, a Attempt) (time.Duration, bool) {
	bucket := b.bucket(now)
	switch {
	case !a.Failure.SafeToRetry() || a.AtMostOnce && a.Sent:
		return 0, false
	case a.Number >= b.config.MaxAttempts:
		return 0, false
	}
	delay := b.delay(a)
	if delay >= a.TimeLeft || !b.hasRoom() {
		return 0, false
	}
	bucket.retries++
	return delay, true
}

// hasRoom reports whether the budget allows one more retry.
func (b *Budget) hasRoom() bool {
	var total count
	for _, c := range b.counts {
		total.requests += c.requests
		total.retries += c.retries
	}
	allowed := b.config.MinRetries + int(b.config.Ratio*float64(total.requests))
	return total.retries < allowed
}

// delay returns the backoff with full jitter, but no less than the failure's
// own advice.
func (b *Budget) delay(a Attempt) time.Duration {
	limit := b.config.BaseDelay << min(a.Number, 16)
	limit = max(min(limit, b.config.MaxDelay), 1)
	return a.Failure.RetryAfter + time.Duration(a.Rand%uint64(limit))
}

// bucket returns the present part of the window, and clears those that passed.
func (b *Budget) bucket(now time.Duration) *count {
	number := int64(now / max(b.config.Window/buckets, 1))
	passed := min(number-b.current, buckets)
	for i := int64(1); i <= passed; i++ {
		b.counts[(b.current+i)%buckets] = count{}
	}
	b.current = max(b.current, number)
	return &b.counts[b.current%buckets]
}
