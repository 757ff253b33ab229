// Package traffic is the seam between the path of a statement and the control
// state: the path asks an Engine where a statement may go, and whether an
// answer may be given. Nothing behind it waits for the control goroutine or
// the platform.
package traffic

import (
	"context"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Statement describes a unit of work: one statement outside a transaction, or
// a whole transaction.
type Statement struct {
	Caller  model.CallerName
	Session model.SessionID
	// Connection identifies the caller's connection on this instance.
	Connection uint32
	Database   string
	// Tag is the sqlcommenter key "route" of the first statement.
	Tag string
	// ReadOnly is true when the protocol layer knows that the unit writes
	// nothing.
	ReadOnly bool
	// Attempt counts the earlier tries of the same unit by the path: those that
	// were not run, and reads whose upstream failed before any of the answer
	// was given. The engine holds the retry budget and refuses by it.
	Attempt int
	// Arrived is when the unit's first byte was read.
	Arrived time.Time
}

// Ticket lets one unit of work run on one upstream. It is owned by the
// goroutine that serves the caller, until Done.
type Ticket struct {
	Statement  Statement
	Group      *bundle.Group
	Route      *bundle.Route
	Upstream   *bundle.Upstream
	Generation model.Generation
	// Primary is true when the unit may write.
	Primary bool
	// ForwardTo names the instance to forward to; empty for a connection of our own.
	ForwardTo model.InstanceID
	// Deadline is when the unit must have been answered.
	Deadline time.Time
	// Sent is set by the path once a byte has gone to the upstream.
	Sent bool
	// Slot belongs to the engine: it names the slot that the unit holds.
	Slot uint64
	// CountedInFlight belongs to the engine: MaySend counted the ticket as a write in
	// flight.
	CountedInFlight bool
}

// Result says how a unit of work ended.
type Result struct {
	Outcome verdict.Outcome
	// Broken is true when the upstream connection failed.
	Broken bool
	// Latency is the time that the upstream took.
	Latency time.Duration
}

// SlotReleaser is implemented by engines that give a unit's slot to others once the
// upstream has answered it, while MayAcknowledge is still to come.
type SlotReleaser interface {
	// ReleaseSlot tells that t's upstream has finished the unit and its
	// connection is free. Done is called later all the same.
	ReleaseSlot(t *Ticket)
}

// Engine decides on units of work. Its methods are safe for concurrent use.
type Engine interface {
	// Admit picks the upstream for s and waits for a slot, within the route's
	// deadline. A refusal is always not run. The caller must call Done.
	Admit(ctx context.Context, s Statement) (*Ticket, *verdict.Error)
	// MaySend checks immediately before sending that t's generation still
	// takes work. A refusal is not run.
	MaySend(t *Ticket) *verdict.Error
	// MayAcknowledge is asked before the answer to a write goes to the caller.
	// at is the primary's log position after the commit. It returns once the
	// mark is stored, or with the error to send in place of the answer.
	MayAcknowledge(ctx context.Context, t *Ticket, at model.LSN) *verdict.Error
	// Done gives back the slot. It must be called exactly once for a ticket.
	Done(t *Ticket, r Result)
	// Bundle returns the configuration in force, which is immutable.
	Bundle() *bundle.Bundle
}
