package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"gypsumdock/testbench/history"
)

// Policy is how a client treats failures.
type Policy struct {
	// Deadline bounds a request with all its attempts.
	Deadline time.Duration
	// FirstPause is the pause before the second attempt; it doubles up to
	// LongestPause. A time to come back from the answer goes first.
	FirstPause   time.Duration
	LongestPause time.Duration
}

// DefaultPolicy is that of a usual client.
func DefaultPolicy() Policy {
	return Policy{
		Deadline:     10 * time.Second,
		FirstPause:   20 * time.Millisecond,
		LongestPause: time.Second,
	}
}

// Request is a request of a caller with all its attempts.
type Request struct {
	Kind    history.Kind
	Group   string
	Key     string
	Start   time.Time
	End     time.Time
	Outcome history.Outcome
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Last is the last attempt.
	Last history.Op
}

// Do runs a request as a client does: what was not run is tried again, through
// the next target; a write that may have run is tried again unless it runs at
// most once; a read is tried again in any case.
func (s *Session) Do(
	ctx context.Context, kind history.Kind, key string, policy Policy, target func(attempt int) (Target, bool),
) Request {
	ctx, cancel := context.WithTimeout(ctx, policy.Deadline)
	defer cancel()
	request := Request{Kind: kind, Key: key, Start: time.Now(), Outcome: history.OutcomeNotRun}
	pause := policy.FirstPause
	for {
		to, found := target(request.Attempts)
		if found {
			request.Group = to.Group
			request.Last = s.attempt(ctx, kind, to, key)
			request.Outcome = request.Last.Outcome
			request.Attempts++
		}
		if found && !mayRepeat(kind, request.Outcome) {
			break
		}
		if !wait(ctx, max(jittered(pause), request.Last.RetryAfter)) {
			break
		}
		pause = min(2*pause, policy.LongestPause)
	}
	request.End = time.Now()
	return request
}

func (s *Session) attempt(ctx context.Context, kind history.Kind, to Target, key string) history.Op {
	switch kind {
	case history.KindWrite:
		return s.Write(ctx, to, key)
	case history.KindOnce:
		return s.Once(ctx, to, key)
	case history.KindAged:
		return s.Aged(ctx, to, key)
	default:
		return s.Fresh(ctx, to, key)
	}
}

// mayRepeat reports whether a client tries again after the outcome.
func mayRepeat(kind history.Kind, outcome history.Outcome) bool {
	switch outcome {
	case history.OutcomeOK, history.OutcomeLost:
		return false
	case history.OutcomeNotRun:
		return true
	default:
		return kind != history.KindOnce
	}
}

// jittered returns a time between half and one and a half of pause.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)))
}

// wait pauses; false means that ctx ended first.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
