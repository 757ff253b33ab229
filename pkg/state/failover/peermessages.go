package failover

import "gypsumdock/pkg/state/model"

// PeerMessage is a message between instances. The types below are all there
// are; the mesh carries them as one protobuf message with a oneof.
type PeerMessage interface{ isPeerMessage() }

// StopWrites asks a holder to give up its permit for a sealed generation.
type StopWrites struct {
	Group       model.GroupID
	Generation  model.Generation
	HeadVersion model.RowVersion
	// Planned lets the holder finish the writes in flight first.
	Planned bool
}

// WritesStopped confirms that the holder's permit for the generation is gone
// and will not come back.
type WritesStopped struct {
	Group       model.GroupID
	Generation  model.Generation
	HeadVersion model.RowVersion
}

// PromiseAsked asks a member whether HeadVersion is the newest row that it
// knows, and for its promise not to promote within the permit lifetime.
// Round tells the answers to different questions apart.
type PromiseAsked struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

// PromiseGiven grants a PromiseAsked: the sender knows no newer head row, and
// finishes no promotion by waiting until the permits that rest on this answer
// have run out.
type PromiseGiven struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

// PromiseRefused refuses a PromiseAsked: the sender knows a head row of another
// version. A sender with a newer row also sends HeadSent.
type PromiseRefused struct {
	Round       uint64
	HeadVersion model.RowVersion
}

// HeadSent carries the newest head row that the sender knows. It renews no
// permit.
type HeadSent struct{ Head *model.Head }

// HeadChanged tells that the head row has reached Version.
type HeadChanged struct{ Version model.RowVersion }

// AdoptionAsked is sent by a new member: has the receiver adopted a head row
// that lists it, of version HeadVersion or later?
type AdoptionAsked struct{ HeadVersion model.RowVersion }

// AdoptionConfirmed answers an AdoptionAsked with yes. Only an established
// member sends it.
type AdoptionConfirmed struct{ HeadVersion model.RowVersion }

// Observed is an instance's own view of a group's primary, gossiped so that a
// promotion starts only on a view shared by several data centres.
type Observed struct {
	Groups []Observation
}

// Observation is the view of one group's primary.
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

// The kinds of report.
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
