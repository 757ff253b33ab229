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
}

// WritesStopped confirms that the holder's permit for the generation is gone
// and will not come back.
type WritesStopped struct {
	Group       model.GroupID
	Generation  model.Generation
	HeadVersion model.RowVersion
}

// PromiseAsked asks a member not to seal any group for the permit lifetime.
// Round tells the answers to different questions apart.
type PromiseAsked struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

// PromiseGiven grants a PromiseAsked.
type PromiseGiven struct {
	Round          uint64
	MembersVersion uint64
	HeadVersion    model.RowVersion
}

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

func (StopWrites) isPeerMessage()    {}
func (WritesStopped) isPeerMessage() {}
func (PromiseAsked) isPeerMessage()  {}
func (PromiseGiven) isPeerMessage()  {}
func (Observed) isPeerMessage()      {}

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
