// Package pgback pools the connections to PostgreSQL upstreams: it opens them,
// assigns each to one unit of work at a time, resets them between uses and keeps
// their number within the limit granted for each upstream.
package pgback

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Reuse tells the pool what to do with a connection after a unit of work.
type Reuse uint8

// The kinds of reuse. The zero value is the safe one.
const (
	// ReuseNever closes the connection, as its state is unknown.
	ReuseNever Reuse = iota
	// ReuseAfterReset runs DISCARD ALL before the next use.
	ReuseAfterReset
	// ReuseClean makes the connection available without a reset.
	ReuseClean
)

// PreparedState is the state of a prepared statement on a connection.
type PreparedState struct {
	// Known is true when the statement is already prepared on the connection.
	Known bool
	// Evicted is the name of a statement that must be closed to stay within the
	// connection's limit; empty when none.
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
	// or used; it sends nothing. The caller must close and parse a statement that
	// is not Known, and close Evicted.
	UsePrepared(name string) PreparedState
	// ForgetPrepared records that the statement named name is not prepared.
	ForgetPrepared(name string)
	// Cancel asks the upstream to cancel the running statement. It returns nil
	// once the upstream has processed the request; after an error the request
	// may still arrive later.
	Cancel(ctx context.Context) error
	// Release ends the ownership. The Backend must not be used afterwards.
	Release(reuse Reuse)
}
