// Package pgback keeps the connections to the upstreams: it opens them, lends
// each to one unit of work at a time, resets them between uses and holds their
// number within the limit that was granted for each upstream.
package pgback

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Reuse says what may happen to a connection after its use.
type Reuse uint8

// The kinds of reuse. The zero value claims least.
const (
	// ReuseNever closes the connection: its state is not known.
	ReuseNever Reuse = iota
	// ReuseAfterReset runs DISCARD ALL before the next use.
	ReuseAfterReset
	// ReuseClean gives the connection to the next use as it is.
	ReuseClean
)

// PreparedState is the state of a prepared statement on a connection.
type PreparedState struct {
	// Known is true when the connection has the statement.
	Known bool
	// Evicted names a statement that must be closed; empty when none.
	Evicted string
}

// Backend is a connection to an upstream, owned by one unit of work from
// Acquire to Release. Only Cancel may be called from another goroutine.
type Backend interface {
	// Send appends message to the output buffer. The message is copied.
	Send(message pgproto3.FrontendMessage)
	// Flush writes the output buffer.
	Flush() error
	// Receive returns the next message, which is valid until the next call.
	Receive() (pgproto3.BackendMessage, error)
	// SetDeadline bounds Flush and Receive; the zero time removes the bound.
	SetDeadline(at time.Time) error
	// UsePrepared records that the statement named name is about to be prepared
	// or used. A statement that is not known must be closed and parsed by the
	// user, and Evicted closed.
	UsePrepared(name string) PreparedState
	// ForgetPrepared records that the statement named name was not prepared.
	ForgetPrepared(name string)
	// Cancel asks the upstream to cancel the running statement. It returns
	// nil once the upstream has taken the request in; after an error the
	// request may still arrive.
	Cancel(ctx context.Context) error
	// Release ends the ownership.
	Release(reuse Reuse)
}
