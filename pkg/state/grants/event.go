// Package grants divides the connections of each upstream among the instances.
// A grant is the number of connections to one upstream that one instance may
// have open. Machine is a deterministic state machine: it takes an event and
// the current time, and returns the actions to carry out.
//
// The platform's table holds one row for each upstream, with the grant of each
// instance. Every write is conditional on the row's version and keeps the sum
// of the grants at or below the upstream's limit less its reserve. Only the
// holder of a grant changes it. To shrink, the holder closes connections
// first and writes the smaller grant afterwards; to grow, it writes the larger
// grant first and opens connections afterwards. An instance that lacks
// connections asks the holders of the largest grants to shrink.
//
// A holder opens connections only while its lease is valid. Each confirmation
// that the instance is a member renews the lease; its lifetime counts from the
// time at which the confirmation was requested. The row therefore needs no
// write to keep a grant.
//
// After a member was removed and its lease has certainly expired, another
// member asks the upstream how many connections the removed instance still
// has, and writes that number as its grant.
//
// A holder whose lease expired keeps its open connections, so that an outage
// of the table closes none. Before it opens another one, it must be a member
// again and have rewritten its entry.
//
// States of the grant of one upstream at its holder:
//
//	none -> held        a write with the entry was applied
//	held -> shrinking   the row asks for less, or the holder needs less
//	shrinking -> held   connections are closed and the write was applied
//	held -> expired     the lease expired
//	expired -> held     a member again, and a write with the entry was applied
//
// If the outcome of a write is unknown, the machine resolves it by reading the
// row; until then the smaller of the two grants applies.
package grants

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Event is an input to the machine. Only the types in this file implement it.
type Event interface{ isEvent() }

// Action is an output of the machine, which the code that called Handle carries
// out. Only the types in this file implement it.
type Action interface{ isAction() }

// Tick is sent about every 100 ms, so that the machine notices elapsed times.
type Tick struct{}

// MembershipConfirmed reports which instances are registered members, and
// renews the lease if this instance is one of them. AskedAt is the time before
// the request that confirmed it: a read of the head row, or the request to all
// members to promise that they remove nobody.
type MembershipConfirmed struct {
	AskedAt time.Duration
	// Version is the version of the member list; it grows with each change.
	Version uint64
	Members []model.InstanceID
}

// UpstreamsAdopted lists the upstreams of a newly adopted configuration.
type UpstreamsAdopted struct{ Upstreams []UpstreamCapacity }

// UpstreamCapacity is the number of connections that an upstream accepts.
type UpstreamCapacity struct {
	ID model.UpstreamID
	// Connections is the upstream's limit on connections from all instances.
	Connections int
	// Reserve is the part of Connections kept for probes and promotion.
	Reserve int
}

// RowRead is the result of a ReadRow. Row is nil if the row does not exist.
type RowRead struct {
	Upstream model.UpstreamID
	AskedAt  time.Duration
	Version  model.RowVersion
	Row      *Row
	Failed   bool
}

// WriteOutcome is what is known about the result of a conditional write.
type WriteOutcome uint8

const (
	// WriteUnknown means that the write may or may not have been applied, or
	// may be applied later.
	WriteUnknown WriteOutcome = iota
	// WriteApplied means that the row now holds the written value.
	WriteApplied
	// WriteConflict means that the row had another version, so that the write
	// was not applied.
	WriteConflict
)

// RowWritten is the result of a WriteRow with the same Op. Version and Row are
// the current row, unless the outcome is unknown.
type RowWritten struct {
	Op       uint64
	Upstream model.UpstreamID
	Outcome  WriteOutcome
	Version  model.RowVersion
	Row      *Row
}

// Usage reports how this instance uses the connections to an upstream. It must
// be measured after the limits that result from all earlier events were
// applied, because the machine writes a smaller grant only once a Usage shows
// that no more connections are open.
type Usage struct {
	Upstream model.UpstreamID
	// Open counts connections that are open or being opened.
	Open int
	// Busy counts the open connections that serve a unit of work.
	Busy int
	// Waiting counts units of work that wait for a connection.
	Waiting int
}

// ConnectionsCounted is the result of a CountConnections. AskedAt is the time
// before the upstream was asked.
type ConnectionsCounted struct {
	Upstream model.UpstreamID
	Instance model.InstanceID
	AskedAt  time.Duration
	Count    int
	Failed   bool
}

// HintReceived reports that a peer sent a HintPeer: the upstream's row has
// changed and should be read.
type HintReceived struct{ Upstream model.UpstreamID }

// ReadRow asks for a read of the upstream's row.
type ReadRow struct{ Upstream model.UpstreamID }

// WriteRow asks to write the upstream's row if its version is still IfVersion;
// version 0 means that the row must not exist. Op identifies the write in its
// RowWritten.
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

// CountConnections asks the upstream to end the connections of an instance that
// is no longer a member, and to count those that it still has.
type CountConnections struct {
	Upstream model.UpstreamID
	Instance model.InstanceID
}

// HintPeer tells a peer to read the upstream's row, because the row asks the
// peer to shrink or has free connections for it. The message may be lost, as
// rows are also read periodically.
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
