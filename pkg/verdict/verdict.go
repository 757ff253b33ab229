// Package verdict describes the failure of a request: the cause, and what is
// known about its execution at the upstream, which tells the caller whether a
// retry is safe. Every error that is sent to a PostgreSQL caller is built from a
// verdict.
package verdict

import (
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The zero value, MayHaveRun, makes the weakest claim.
const (
	// MayHaveRun means that the upstream may have executed the request.
	MayHaveRun Outcome = iota
	// NotRun means that no part of the request can have been executed. Only
	// then may the proxy retry it on its own.
	NotRun
	// Ran means that the upstream executed the request.
	Ran
)

// String returns the outcome as it is written in error details and logs.
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

// Code is the cause of a failure.
type Code uint8

const (
	// Internal is a failure of the proxy that no other code describes.
	Internal Code = iota
	// Overloaded means that a queue, connection or retry limit was reached.
	Overloaded
	// Stopping means that the instance is shutting down.
	Stopping
	// NoPermit means that the instance has no permit to send requests to the
	// group's current primary.
	NoPermit
	// NoUpstream means that no upstream can take the request.
	NoUpstream
	// PermitLapsed means that the permit expired while the request ran, so that
	// its write must not be acknowledged.
	PermitLapsed
	// UpstreamLost means that the connection to the upstream was lost.
	UpstreamLost
	// AnswerCut means that the answer could not be relayed completely: the
	// upstream broke the protocol, or the caller did not read it.
	AnswerCut
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded
	// WriteLost means that an acknowledged write of the session, or the write
	// of the request, was lost when the primary was replaced.
	WriteLost
	// MarkNotStored means that the log position of a completed write could not
	// be determined, or not be stored for the session's later reads.
	MarkNotStored
	// Unsupported means that the proxy does not support the request.
	Unsupported
	// TooLarge means that a message or an answer exceeds a size limit.
	TooLarge
	// BadMessage means that the caller broke the protocol.
	BadMessage
	// AuthFailed means that the caller did not authenticate itself.
	AuthFailed
	// UnknownDatabase means that no group serves the database.
	UnknownDatabase
	// PeerLost means that the instance to which the request was forwarded
	// cannot be reached.
	PeerLost
	// Cancelled means that the caller cancelled the request or disconnected
	// while the request waited.
	Cancelled
	// TransactionAborted means that an earlier request of the transaction
	// failed, so that it can only be rolled back.
	TransactionAborted
)

// Error is the failure of a request. It implements error. Treat it as
// immutable; the With methods return changed copies.
type Error struct {
	Code    Code
	Outcome Outcome
	// RetryAfter is the time after which the caller should retry; zero gives
	// no advice.
	RetryAfter time.Duration
	// Reason describes the cause in a few words for people. It holds no secrets.
	Reason string
	// Cause is the wrapped error, or nil.
	Cause error
}

// New returns an Error without a cause and without advice on a retry.
func New(code Code, outcome Outcome, reason string) *Error {
	return &Error{Code: code, Outcome: outcome, Reason: reason}
}

// WithRetryAfter returns a copy of e that advises the caller to retry after wait.
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

// Error returns the reason and the outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
}

func (e *Error) Unwrap() error { return e.Cause }

// SafeToRetry reports whether the request can be retried without the risk that it
// runs twice.
func (e *Error) SafeToRetry() bool { return e.Outcome == NotRun }
