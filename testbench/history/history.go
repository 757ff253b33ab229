// Package history records what callers asked for and were told, and checks it
// against what the upstreams executed. The checks are session guarantees:
// read-your-writes, at most once, and the truth of what callers were told.
package history

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of an operation.
type Kind string

// The kinds of operation.
const (
	// KindWrite may be repeated by its caller; KindOnce may not.
	KindWrite Kind = "write"
	KindOnce  Kind = "once"
	// KindFresh is a read that accepts no stated age, KindAged one that does.
	KindFresh Kind = "fresh"
	KindAged  Kind = "aged"
)

// IsWrite reports whether the kind writes.
func (k Kind) IsWrite() bool { return k == KindWrite || k == KindOnce }

// Outcome is what the caller was told.
type Outcome string

// The outcomes.
const (
	// OutcomeOK means that the caller got its answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun means that the caller was told that the request was not
	// run, or that no connection for it could be made.
	OutcomeNotRun Outcome = "not run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "may have run"
	// OutcomeLost means that the caller was told that an earlier write of its
	// session did not survive.
	OutcomeLost Outcome = "write lost"
)

// Value is the content of a record: it names its key, so that a crossed answer
// shows, its session, and the number of the session's write. Each attempt of a
// request has a value of its own.
type Value struct {
	Key     string
	Session string
	Number  int
}

const valueParts = 3

// String returns the form that is stored.
func (v Value) String() string { return fmt.Sprintf("%s|%s|%d", v.Key, v.Session, v.Number) }

// ParseValue reads the stored form.
func ParseValue(text string) (Value, bool) {
	parts := strings.Split(text, "|")
	if len(parts) != valueParts {
		return Value{}, false
	}
	number, err := strconv.Atoi(parts[2])
	return Value{Key: parts[0], Session: parts[1], Number: number}, err == nil
}

// Op is an operation of a session.
type Op struct {
	Session string  `json:"session"`
	Kind    Kind    `json:"kind"`
	Group   string  `json:"group"`
	Key     string  `json:"key"`
	Via     string  `json:"via"`
	Value   string  `json:"value"`
	Outcome Outcome `json:"outcome"`
	// Code is the SQLSTATE of a failure, empty for a broken connection.
	Code string `json:"code,omitempty"`
	// Error is the text of a failure.
	Error string `json:"error,omitempty"`
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Start and End bound the operation.
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

// Log collects operations; its methods are safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	ops []Op
}

// Add appends an operation. Operations of a session are added in their order.
func (l *Log) Add(op Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
}

// Ops returns the operations so far.
func (l *Log) Ops() []Op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Op(nil), l.ops...)
}
