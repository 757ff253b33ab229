// Package retry decides whether a failed unit of work, a statement or a whole
// transaction, may be sent again, and after which delay. Retries are limited by
// a budget, so that an outage does not multiply the load. The package is
// deterministic: times and random numbers are arguments.
package retry

import (
	"time"

	"gypsumdock/pkg/verdict"
)

// Config limits the retries of one instance.
type Config struct {
	// Ratio is the number of retries allowed for each request of the last
	// Window.
	Ratio float64
	// Window is the time for which a request adds to the budget, and a retry
	// counts against it.
	Window time.Duration
	// MinRetries is the number of retries in a Window that are allowed in
	// addition to Ratio, even without any request.
	MinRetries int
	// MaxAttempts bounds the attempts at one unit, including the first.
	MaxAttempts int
	// BaseDelay is the mean delay before the second attempt. It doubles with
	// each further attempt. MaxDelay bounds the random delay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultConfig returns the default limits.
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

// bucketCount is the number of buckets into which the window is divided.
const bucketCount = 10

// Budget counts the requests and retries of the last Config.Window. It is owned
// by one goroutine.
type Budget struct {
	config Config
	// buckets is a ring. Bucket number n is at n modulo bucketCount, and begins
	// at the time n * Window / bucketCount.
	buckets [bucketCount]bucketCounts
	// newestBucket is the number of the newest bucket.
	newestBucket int64
}

// bucketCounts holds the numbers of requests and retries in a bucket.
type bucketCounts struct{ requests, retries int }

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config} }

// Attempt describes a failed attempt at a unit of work.
type Attempt struct {
	Failure *verdict.Error
	// Number is the number of the attempt; the first is 1.
	Number int
	// AtMostOnce is set if the route forbids to send a unit twice.
	AtMostOnce bool
	// Sent is set if a byte of the unit was sent to an upstream in any attempt.
	Sent bool
	// TimeLeft is the time to the unit's deadline.
	TimeLeft time.Duration
	// Rand is a random number for the jitter.
	Rand uint64
}

// RecordRequest counts a new unit of work, whose first attempt is not a retry.
func (b *Budget) RecordRequest(now time.Duration) { b.currentBucket(now).requests++ }

// AllowRetry returns the delay before the next attempt, or false if the unit
// must not be tried again. It counts an allowed retry against the budget.
func (b *Budget) AllowRetry(now time.Duration, a Attempt) (time.Duration, bool) {
	bucket := b.currentBucket(now)
	switch {
	case !a.Failure.SafeToRetry() || a.AtMostOnce && a.Sent:
		return 0, false
	case a.Number >= b.config.MaxAttempts:
		return 0, false
	}
	delay := b.backoff(a)
	if delay >= a.TimeLeft || !b.allowsRetry() {
		return 0, false
	}
	bucket.retries++
	return delay, true
}

// allowsRetry reports whether the budget allows another retry.
func (b *Budget) allowsRetry() bool {
	var total bucketCounts
	for _, c := range b.buckets {
		total.requests += c.requests
		total.retries += c.retries
	}
	allowed := b.config.MinRetries + int(b.config.Ratio*float64(total.requests))
	return total.retries < allowed
}

// backoff returns the retry delay of the failure plus an exponential backoff
// with full jitter.
func (b *Budget) backoff(a Attempt) time.Duration {
	limit := b.config.BaseDelay << min(a.Number, 16)
	limit = max(min(limit, b.config.MaxDelay), 1)
	return a.Failure.RetryAfter + time.Duration(a.Rand%uint64(limit))
}

// currentBucket returns the bucket of the time now, and clears the buckets that
// it reuses.
func (b *Budget) currentBucket(now time.Duration) *bucketCounts {
	number := int64(now / max(b.config.Window/bucketCount, 1))
	passed := min(number-b.newestBucket, bucketCount)
	for i := int64(1); i <= passed; i++ {
		b.buckets[(b.newestBucket+i)%bucketCount] = bucketCounts{}
	}
	b.newestBucket = max(b.newestBucket, number)
	return &b.buckets[b.newestBucket%bucketCount]
}
