package failover

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Event is an input to Machine.Handle. This file declares all events.
type Event interface{ isEvent() }

// Action is an output of Machine.Handle that the caller carries out. This file
// declares all actions.
type Action interface{ isAction() }

// Tick lets timers expire; it must be sent every TickInterval.
type Tick struct{}

// HeadRead is the answer to a ReadHead. A peer may have read the row on behalf
// of this instance. StartedAt is the machine's time before the request was
// sent.
type HeadRead struct {
	StartedAt time.Duration
	Head      *model.Head
	// Failed means that the platform gave no answer.
	Failed bool
}

// WriteOutcome is the result of a conditional write of the head row.
type WriteOutcome uint8

// The results of a conditional write. WriteConflict means that the row was not
// at the expected version.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteConflict
)

// HeadWritten is the answer to the WriteHead with the same Op. Head is the row
// after the write, unless the outcome is unknown.
type HeadWritten struct {
	Op      uint64
	Outcome WriteOutcome
	Head    *model.Head
}

// Probed is the result of one probe of an upstream that started at StartedAt.
type Probed struct {
	Group     model.GroupID
	Upstream  model.UpstreamID
	StartedAt time.Duration
	// Reachable is false if the upstream gave no answer; the fields below are
	// then zero.
	Reachable bool
	Timeline  uint32
	// Recovering is true on a replica.
	Recovering bool
	// LSN is the write position of a primary, or the position up to which a
	// replica has replayed the log.
	LSN model.LSN
	// Follows names the upstream that a replica streams from; empty if that is
	// not known.
	Follows model.UpstreamID
}

// Promoted is the answer to a Promote; OK is false if the promotion failed.
// Promote is idempotent: an upstream that has already been promoted answers
// with the timeline that it started and the position at which that timeline
// starts. Where the platform promotes, the old primary answers with its present
// timeline if it never lost the lead.
type Promoted struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	Next     model.Generation
	OK       bool
	Timeline uint32
	// StartLSN is the position at which the new timeline starts.
	StartLSN model.LSN
}

// PeerReceived delivers a message from a peer.
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
// instance. It ends the drain of a planned switch before DrainTimeout.
type WritesDrained struct {
	Group      model.GroupID
	Generation model.Generation
}

// InstancesListed is the platform's list of instances, which may be out of
// date.
type InstancesListed struct{ Instances []ListedInstance }

// ListedInstance is an entry of InstancesListed.
type ListedInstance struct {
	ID      model.InstanceID
	Leaving bool
}

// MembersReported tells an observer how many members it finds able to serve
// groups. If they are too few, it registers although the row has no vacancy.
type MembersReported struct{ Usable int }

// StopRequested starts a graceful stop: the instance marks its registration as
// leaving but keeps its permits.
type StopRequested struct{}

// StopFinished completes a graceful stop: no request is in flight any more, so
// the instance gives up its permits and removes its registration.
type StopFinished struct{}

// BundleAdopted sets the groups of the configuration in force.
type BundleAdopted struct{ Groups []GroupSpec }

// GroupSpec is the configuration of a group.
type GroupSpec struct {
	ID        model.GroupID
	Upstreams []UpstreamSpec
	// SyncReplicas is the largest number of replicas for which any route of the
	// group waits before it acknowledges a write.
	SyncReplicas int
	// Servers lists the members that serve the group, in the order in which they
	// act if its primary is lost. Empty means that all members serve it.
	Servers []model.InstanceID
}

// UpstreamSpec is the configuration of an upstream.
type UpstreamSpec struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	Leaving    bool
}

// ReadHead requests a read of the head row, answered by HeadRead.
type ReadHead struct{}

// WriteHead requests a write of the head row on condition that its version is
// IfVersion, answered by HeadWritten.
type WriteHead struct {
	Op        uint64
	IfVersion model.RowVersion
	Head      *model.Head
}

// SendPeer sends a message to another instance. Messages may be lost, repeated
// or reordered.
type SendPeer struct {
	To      model.InstanceID
	Message PeerMessage
}

// Promote orders a replica to become primary of generation Next, answered by
// Promoted.
type Promote struct {
	Group    model.GroupID
	Upstream model.UpstreamID
	Next     model.Generation
}

// ProbeNow requests a probe of every upstream of the group before the next
// scheduled one. It is only an optimisation that shortens a change of primary,
// and may be ignored.
type ProbeNow struct{ Group model.GroupID }

// Report is an event for the log. The caller maps Kind to an event of package
// events; Detail depends on Kind.
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

func (MembersReported) isEvent() {}

func (ReadHead) isAction()  {}
func (WriteHead) isAction() {}
func (SendPeer) isAction()  {}
func (Promote) isAction()   {}
func (ProbeNow) isAction()  {}
func (Report) isAction()    {}
