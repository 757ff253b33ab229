package failover

import "gypsumdock/pkg/state/model"

// PeerMessage is a message between instances. This file declares all of them;
// each has a protobuf message of the same name.
type PeerMessage interface{ isPeerMessage() }

// StopWrites asks a permit holder to give up its permit for a sealed
// generation. HeadVersion is the newest row that the sender knows.
type StopWrites struct {
	Group       model.GroupID
	Generation  model.Generation
	HeadVersion model.RowVersion
	// Planned lets the receiver complete its writes in flight first.
	Planned bool
}

// WritesStopped confirms that the sender holds no permit for the generation and
// will never hold one again.
type WritesStopped struct {
	Group       model.GroupID
	Generation  model.Generation
	HeadVersion model.RowVersion
}

// PromiseAsked asks a member to promise that HeadVersion is the newest head row
// that it knows. Round matches answers to their question.
type PromiseAsked struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

// PromiseGiven grants a PromiseAsked: the sender knows no newer head row. It
// will therefore complete no promotion by waiting before the permits that are
// renewed by this answer have expired.
type PromiseGiven struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

// PromiseRefused refuses a PromiseAsked, since the sender knows another version
// of the head row, HeadVersion. If that is newer, it also sends HeadSent.
type PromiseRefused struct {
	Round       uint64
	HeadVersion model.RowVersion
}

// HeadSent carries the newest head row that the sender knows. It does not renew
// permits.
type HeadSent struct{ Head *model.Head }

// HeadChanged announces that the head row has reached Version.
type HeadChanged struct{ Version model.RowVersion }

// AdoptionAsked is sent by a new member. It asks whether the receiver knows a
// head row of HeadVersion or later, which lists the sender.
type AdoptionAsked struct{ HeadVersion model.RowVersion }

// AdoptionConfirmed is the positive answer to an AdoptionAsked. Only
// established members send it.
type AdoptionConfirmed struct{ HeadVersion model.RowVersion }

// Observed is the sender's own view of the groups' primaries. Members exchange
// it so that a primary is replaced only if members in several data centres have
// lost it. It also serves as heartbeat.
type Observed struct {
	Groups []Observation
	// CutOff is true while the sender gets no answer of the table, neither
	// itself nor through a peer.
	CutOff bool
}

// Observation is the view of one group's primary. Reachable is false if the
// sender's probes have lost it.
type Observation struct {
	Group      model.GroupID
	Generation model.Generation
	Reachable  bool
}

func (StopWrites) isPeerMessage()        {}
func (WritesStopped) isPeerMessage()     {}
func (PromiseAsked) isPeerMessage()      {}
func (PromiseGiven) isPeerMessage()      {}
func (Observed) isPeerMessage()          {}
func (PromiseRefused) isPeerMessage()    {}
func (HeadSent) isPeerMessage()          {}
func (HeadChanged) isPeerMessage()       {}
func (AdoptionAsked) isPeerMessage()     {}
func (AdoptionConfirmed) isPeerMessage() {}

// ReportKind is the kind of a Report.
type ReportKind uint8

// The kinds of report. ReportPromoted means that a candidate has been promoted,
// ReportDeposedReturned that an upstream other than the primary takes writes.
const (
	ReportPrimaryLost ReportKind = iota
	ReportSealed
	ReportHoldersStopped
	ReportPromoted
	ReportGenerationStarted
	ReportPermitsLost
	ReportPermitsRegained
	ReportDeposedReturned
	ReportSwitchStarted
	ReportSwitchRefused
	ReportMemberJoined
	ReportMemberRemoved
)
