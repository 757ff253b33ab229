// Package verdict says what is known of a request that was given up: whether
// it cannot have run, may have run, or ran. Every error that reaches a caller
// is made from a verdict.
package verdict

import (
	"fmt"
	"time"
)

// Outcome is what is known of a request's execution.
type Outcome uint8

// The outcomes. The zero value claims least.
const (
	// MayHaveRun means that the upstream may have executed the request.
	MayHaveRun Outcome = iota
	// NotRun means that no byte of the request can have been executed. Only
	// then may it be sent again without asking the caller.
	NotRun
	// Ran means that the upstream executed the request.
	Ran
)

// String returns the outcome as it stands in error details and logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Code is the cause of a failure, from the closed list below.
type Code uint8

// The causes of failure.
const (
	Internal Code = iota
	Overloaded
	Stopping
	NoPermit
	NoUpstream
	PermitLapsed
	UpstreamLost
	AnswerCut
	DeadlineExceeded
	WriteLost
	MarkNotStored
	Unsupported
	TooLarge
	BadMessage
	AuthFailed
	UnknownDatabase
	PeerLost
	Cancelled
	TransactionAborted
)

// Error is a failure with its verdict. It implements error.
type Error struct {
	Code    Code
	Outcome Outcome
	// RetryAfter says when the caller may come back; zero gives no advice.
	RetryAfter time.Duration
	// Reason is a short cause for people, without secrets.
	Reason string
	// Cause is the wrapped error, or nil.
	Cause error
}

// New returns an Error of the given cause and outcome.
func New(code Code, outcome Outcome, reason string) *Error {
	return &Error{Code: code, Outcome: outcome, Reason: reason}
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	advised := *e
	advised.RetryAfter = wait
	return &advised
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	wrapped := *e
	wrapped.Cause = cause
	return &wrapped
}

// Error describes the failure and its verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// SafeToRetry reports whether the request can be sent again without the risk
// of running twice.
func (e *Error) SafeToRetry() bool { return e.Outcome == NotRun }
