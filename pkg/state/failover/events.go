package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Event is an input to the machine. The types below are all there are.
type Event interface{ isEvent() }

// Action is an output of the machine, to be carried out by the caller. The
// types below are all there are.
type Action interface{ isAction() }

// Tick lets time pass; it comes every TickInterval.
type Tick struct{}

// HeadRead answers a ReadHead or arrives from a peer. StartedAt is the
// machine's time before the read was sent.
type HeadRead struct {
	StartedAt time.Duration
	Head      *model.Head
	// Failed means that the platform gave no answer.
	Failed bool
}

// WriteOutcome is what is known of a conditional put.
type WriteOutcome uint8

// The outcomes of a conditional put.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteConflict
)

// HeadWritten answers a WriteHead. Head is the row as it is now, unless the
// outcome is unknown.
type HeadWritten struct {
	Op      uint64
	Outcome WriteOutcome
	Head    *model.Head
}

// Probed is the result of one probe of an upstream.
type Probed struct {
	Group     model.GroupID
	Upstream  model.UpstreamID
	StartedAt time.Duration
	// Reachable is false when the upstream gave no answer; the rest is then
	// zero.
	Reachable bool
	Timeline  uint32
	// Recovering is true on a replica.
	Recovering bool
	// LSN is the primary's current position, or the position that a replica
	// has replayed.
	LSN model.LSN
	// Follows names the upstream that a replica streams from; empty if that is
	// not known.
	Follows model.UpstreamID
}

// Promoted answers a Promote. Promote is idempotent: an upstream that is no
// longer recovering answers with the timeline that it started and the position
// at which it did.
type Promoted struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	Next     model.Generation
	OK       bool
	Timeline uint32
	// StartLSN is the position at which the new timeline starts.
	StartLSN model.LSN
}

// PeerReceived carries a message from a peer.
type PeerReceived struct {
	From    model.InstanceID
	Message PeerMessage
}

// SwitchRequested is an operator's order to move a group's primary.
type SwitchRequested struct {
	Group  model.GroupID
	Target model.UpstreamID
}

// WritesDrained tells that no write of the generation is in flight on this
// instance. It ends the wait of a planned switch early.
type WritesDrained struct {
	Group      model.GroupID
	Generation model.Generation
}

// InstancesListed is the platform's list of instances, which lags.
type InstancesListed struct{ Instances []ListedInstance }

// ListedInstance is an entry of the platform's list.
type ListedInstance struct {
	ID      model.InstanceID
	Leaving bool
}

// StopRequested starts a graceful stop: the instance flags itself as leaving.
type StopRequested struct{}

// StopFinished ends a graceful stop: nothing is in flight any more, so the
// instance gives up its permits and removes its registration.
type StopFinished struct{}

// BundleAdopted gives the groups of the configuration in force.
type BundleAdopted struct{ Groups []GroupSpec }

// GroupSpec names a group and its upstreams.
type GroupSpec struct {
	ID        model.GroupID
	Upstreams []UpstreamSpec
	// SyncReplicas is the largest number of replicas that a route of the group
	// waits for before it acknowledges a write.
	SyncReplicas int
}

// UpstreamSpec names an upstream.
type UpstreamSpec struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	Leaving    bool
}

// ReadHead asks for a read of the head row.
type ReadHead struct{}

// WriteHead asks for a conditional put of the head row at version IfVersion.
type WriteHead struct {
	Op        uint64
	IfVersion model.RowVersion
	Head      *model.Head
}

// SendPeer sends a message; it may be lost.
type SendPeer struct {
	To      model.InstanceID
	Message PeerMessage
}

// Promote orders a replica to become primary.
type Promote struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	Next     model.Generation
}

// ProbeNow asks for a probe of every upstream of the group before the next one
// is due. It may be left undone: it only shortens a planned switch.
type ProbeNow struct{ Group model.GroupID }

// Report is a numbered event for the log; see package events.
type Report struct {
	Kind   ReportKind
	Group  model.GroupID
	Detail string
}

func (Tick) isEvent()            {}
func (HeadRead) isEvent()        {}
func (HeadWritten) isEvent()     {}
func (Probed) isEvent()          {}
func (Promoted) isEvent()        {}
func (PeerReceived) isEvent()    {}
func (SwitchRequested) isEvent() {}
func (BundleAdopted) isEvent()   {}
func (WritesDrained) isEvent()   {}
func (InstancesListed) isEvent() {}
func (StopRequested) isEvent()   {}
func (StopFinished) isEvent()    {}

func (ReadHead) isAction()  {}
func (WriteHead) isAction() {}
func (SendPeer) isAction()  {}
func (Promote) isAction()   {}
func (ProbeNow) isAction()  {}
func (Report) isAction()    {}
