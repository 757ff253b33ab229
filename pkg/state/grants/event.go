// Package grants divides the connections of each upstream among the instances.
// It is deterministic: an event and the time go in, actions come out.
//
// The table holds a row for each upstream, with the number of connections
// granted to each instance. Every write is conditional on the row's version
// and keeps the sum at or below the upstream's limit less its reserve. Only
// the holder changes its own grant: it shrinks first, by closing connections,
// and writes the smaller grant after; it grows by a write, and opens after. An
// instance that lacks connections asks the largest holders to shrink.
//
// A holder opens connections only while its lease lasts, that is within the
// lease's lifetime of the last confirmation that it is a member, counted from
// before the question. So no row is written to keep a grant. When a member was
// removed and its lease has certainly run out, another member asks the
// upstream how many connections the removed one still has, and writes that
// number as its grant. A holder whose lease ran out keeps the connections that
// it has, so that an outage of the table closes none; before it opens another
// one it must be a member again and have written its entry anew.
//
// States of the grant of one upstream at its holder:
//
//	none -> held        a write with the entry is applied
//	held -> shrinking   the row asks for less, or the holder needs less
//	shrinking -> held   connections are closed and the write is applied
//	held -> lapsed      the lease ran out
//	lapsed -> held      a member again, and a write with the entry is applied
//
// An unknown outcome of a write is settled by reading the row; until then the
// smaller of the two grants counts.
package grants

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Event is an input to the machine. The types below are all there are.
type Event interface{ isEvent() }

// Action is an output of the machine, to be carried out by the caller. The
// types below are all there are.
type Action interface{ isAction() }

// Tick lets time pass; it comes about every 100 ms.
type Tick struct{}

// MembershipConfirmed says which instances are registered members. AskedAt is the time
// before the head row was asked for, or before all members were asked to
// promise that they remove nobody.
type MembershipConfirmed struct {
	AskedAt time.Duration
	Version uint64
	Members []model.InstanceID
}

// UpstreamsAdopted gives the upstreams of the configuration in force.
type UpstreamsAdopted struct{ Upstreams []UpstreamCapacity }

// UpstreamCapacity is the limit of one upstream.
type UpstreamCapacity struct {
	ID model.UpstreamID
	// Connections is the upstream's limit.
	Connections int
	// Reserve is the part kept for probes and promotion.
	Reserve int
}

// RowRead answers a ReadRow. Row is nil if the row does not exist.
type RowRead struct {
	Upstream model.UpstreamID
	AskedAt  time.Duration
	Version  model.RowVersion
	Row      *Row
	Failed   bool
}

// WriteOutcome is what is known of a conditional put.
type WriteOutcome uint8

// The outcomes of a conditional put.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteConflict
)

// RowWritten answers a WriteRow. Version and Row are the row as it is now,
// unless the outcome is unknown.
type RowWritten struct {
	Op       uint64
	Upstream model.UpstreamID
	Outcome  WriteOutcome
	Version  model.RowVersion
	Row      *Row
}

// Usage reports this instance's use of an upstream. It must be read after the
// limits that follow from all earlier events were set.
type Usage struct {
	Upstream model.UpstreamID
	// Open counts connections that are open or being opened.
	Open int
	// Busy counts those that serve a unit of work.
	Busy int
	// Waiting counts units that wait for a connection.
	Waiting int
}

// ConnectionsCounted answers a CountConnections.
type ConnectionsCounted struct {
	Upstream model.UpstreamID
	Instance model.InstanceID
	AskedAt  time.Duration
	Count    int
	Failed   bool
}

// HintReceived says that a peer has changed the upstream's row.
type HintReceived struct{ Upstream model.UpstreamID }

// ReadRow asks for a read of the upstream's row.
type ReadRow struct{ Upstream model.UpstreamID }

// WriteRow asks for a conditional put at version IfVersion. At 0 the row must
// not exist.
type WriteRow struct {
	Op        uint64
	Upstream  model.UpstreamID
	IfVersion model.RowVersion
	Row       *Row
}

// CloseConnections asks to close connections, idle ones first, until Keep are
// open.
type CloseConnections struct {
	Upstream model.UpstreamID
	Keep     int
}

// CountConnections asks the upstream how many connections an instance has
// that is no longer a member, after ending them.
type CountConnections struct {
	Upstream model.UpstreamID
	Instance model.InstanceID
}

// HintPeer tells a peer that the upstream's row asks it to shrink, or is about
// to have room for it. It may be lost; rows are also read from time to time.
type HintPeer struct {
	To       model.InstanceID
	Upstream model.UpstreamID
}

func (Tick) isEvent()                {}
func (MembershipConfirmed) isEvent() {}
func (UpstreamsAdopted) isEvent()    {}
func (RowRead) isEvent()             {}
func (RowWritten) isEvent()          {}
func (Usage) isEvent()               {}
func (ConnectionsCounted) isEvent()  {}
func (HintReceived) isEvent()        {}

func (ReadRow) isAction()          {}
func (WriteRow) isAction()         {}
func (CloseConnections) isAction() {}
func (CountConnections) isAction() {}
func (HintPeer) isAction()         {}
