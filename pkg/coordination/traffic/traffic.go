// Package traffic is the interface between the statement path and the control
// state: the path asks an Engine which upstream a unit of work may use, and whether
// its answer may go to the caller. No call waits for the control goroutine or for
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
	// Tag is the value of the sqlcommenter key "route" in the first statement.
	Tag string
	// ReadOnly is true if the protocol layer knows that the unit writes nothing.
	ReadOnly bool
	// Attempt is the number of earlier attempts of the same unit. The path retries
	// units that were not run, and reads whose upstream failed before the caller
	// received any of the answer. The engine refuses retries beyond its retry
	// budget.
	Attempt int
	// OnlyPrepares is true if the unit consists of one request that prepares or
	// describes statements and executes none. It does not count towards the
	// caller's rate limit: clients prepare a statement in a request of its own, and
	// again after an error, so that near the limit the preparations would use up
	// the rate and no statement would run.
	OnlyPrepares bool
	// Charge records whether the unit counts towards the caller's rate limit. The
	// path passes the same one with all attempts of a unit; nil if it makes only
	// one.
	Charge *RateCharge
	// Arrived is the time at which the unit's first byte was read.
	Arrived time.Time
}

// OverRateReason is the reason of a refusal over the rate limit. Its code is
// verdict.Overloaded, as for other refusals that a later retry can avoid.
const OverRateReason = "over the rate limit"

// RateCharge is what a unit of work counts towards the rate limit of its caller. Its
// zero value is that of a unit that does not count yet. Only the engine changes it.
type RateCharge struct {
	Caller  model.CallerName
	Counted bool
}

// RateRefunder is implemented by engines that limit the rates of callers.
type RateRefunder interface {
	// RefundRate takes back the charge of a unit of work that certainly did not run
	// in any attempt and is not attempted again.
	RefundRate(charge *RateCharge)
}

// Ticket permits one unit of work to run on one upstream. The goroutine that serves
// the caller owns it until Done.
type Ticket struct {
	Statement  Statement
	Group      *bundle.Group
	Route      *bundle.Route
	Upstream   *bundle.Upstream
	Generation model.Generation
	// Primary is true when the unit may write.
	Primary bool
	// ForwardTo is the instance to forward the unit to, or empty if the unit uses a
	// connection of this instance.
	ForwardTo model.InstanceID
	// Deadline is the time by which the unit must have been answered.
	Deadline time.Time
	// Sent is set by the path once a byte was sent to the upstream.
	Sent bool
	// Slot is for the engine only. It identifies the slot that the unit occupies.
	Slot uint64
	// CountedInFlight is for the engine only. It is true while the ticket counts as
	// a write in flight.
	CountedInFlight bool
}

// Result describes how a unit of work ended.
type Result struct {
	Outcome verdict.Outcome
	// Broken is true when the upstream connection failed.
	Broken bool
	// Latency is the time that the unit spent on the upstream.
	Latency time.Duration
}

// SlotReleaser is implemented by engines that can free a unit's slot before
// MayAcknowledge, which may wait for replicas and other instances.
type SlotReleaser interface {
	// ReleaseSlot is called when t's upstream has answered the unit and its
	// connection is free. Done must still be called.
	ReleaseSlot(t *Ticket)
}

// Engine routes and admits units of work. Its methods are safe for concurrent use.
type Engine interface {
	// Admit chooses the upstream for s and waits for a slot there, at most until
	// the route's deadline. The outcome of a refusal is always verdict.NotRun. Done
	// must be called for each ticket.
	Admit(ctx context.Context, s Statement) (*Ticket, *verdict.Error)
	// MaySend checks, immediately before sending, that t's upstream still accepts
	// work of t's generation. The outcome of a refusal is verdict.NotRun.
	MaySend(t *Ticket) *verdict.Error
	// MayAcknowledge is called before the answer to a write goes to the caller. at
	// is the primary's log position after the commit. It returns nil once the
	// session's mark is stored, or the error to send instead of the answer.
	MayAcknowledge(ctx context.Context, t *Ticket, at model.LSN) *verdict.Error
	// Done ends the unit and frees its slot. It must be called exactly once for
	// each ticket.
	Done(t *Ticket, r Result)
	// Bundle returns the active configuration, which is immutable.
	Bundle() *bundle.Bundle
}
