// Package trial decides how a server or an upstream that was avoided gets work
// again: single units at first, and after each success at half the interval. It is
// deterministic: the time is an argument.
package trial

import "time"

const (
	// firstInterval is the time to the first trial. It doubles with each failed
	// trial, up to maxInterval.
	firstInterval = 500 * time.Millisecond
	maxInterval   = 4 * time.Second
	// steps is the number of successes in a row that end the trials. A candidate
	// that fails 40% of its work ends them by chance with a probability of 5%.
	steps = 6
)

// Trial is the state of one candidate. Its zero value admits all work.
type Trial struct {
	active    bool
	startedAt time.Duration
	nextAt    time.Duration
	first     time.Duration
	passed    int
}

// Active reports whether the candidate gets trials only.
func (t *Trial) Active() bool { return t.active }

// StartedAt returns when the trials began. Results of work that was sent before
// say nothing about the candidate's present state.
func (t *Trial) StartedAt() time.Duration { return t.startedAt }

// Start begins the trials. It has no effect on trials that are in progress.
func (t *Trial) Start(now time.Duration) {
	if t.active {
		return
	}
	*t = Trial{active: true, startedAt: now, nextAt: now + firstInterval, first: firstInterval}
}

// Admits reports whether a unit may be sent now.
func (t *Trial) Admits(now time.Duration) bool { return !t.active || now >= t.nextAt }

// Sent records that a unit was sent.
func (t *Trial) Sent(now time.Duration) {
	if t.active {
		t.nextAt = now + t.first>>t.passed
	}
}

// Passed records a success. It reports whether the trials have ended with it.
func (t *Trial) Passed(now time.Duration) bool {
	if !t.active {
		return false
	}
	t.passed++
	if t.passed >= steps {
		t.active = false
		return true
	}
	t.nextAt = min(t.nextAt, now+t.first>>t.passed)
	return false
}

// Failed records a failure. The count of successes restarts, and the first
// interval doubles up to maxInterval.
func (t *Trial) Failed(now time.Duration) {
	if !t.active {
		return
	}
	t.passed = 0
	t.first = min(2*t.first, maxInterval)
	t.nextAt = now + t.first
}
