// Package adoption decides which configuration bundle is active on an instance.
// It is a deterministic state machine: its input is an event and the time, its
// output a list of actions.
//
// Adopting a bundle means making it the active one. A revision is adopted only
// if it is higher than the active one, whether it was read from the head row or
// announced by a peer, so that an instance never returns to an older
// configuration. The bundle is fetched by its digest from the object store or
// from a peer where it is active.
package adoption

import (
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// BundleRef identifies a bundle by its revision and the digest of its bytes.
type BundleRef struct {
	Revision model.Revision
	Digest   string
}

// Event is an input of the state machine: Tick, RevisionSeen or Fetched.
type Event interface{ isEvent() }

// Action is an output of the state machine, to be carried out by whoever calls
// Step: Fetch, Adopt, Announce or Report.
type Action interface{ isAction() }

// Tick is sent every TickInterval and drives timeouts and announcements.
type Tick struct{}

// RevisionSeen reports a revision that was read from the head row (From is
// empty) or announced by the peer From, where it is active.
type RevisionSeen struct {
	Ref  BundleRef
	From model.InstanceID
}

// Fetched is the result of a Fetch. The state machine takes ownership of Data.
type Fetched struct {
	Ref    BundleRef
	From   model.InstanceID
	Data   []byte
	Failed bool
}

// Fetch requests the bytes of a bundle from the peer From, or from the object
// store if From is empty.
type Fetch struct {
	Ref  BundleRef
	From model.InstanceID
}

// Adopt makes a bundle the active one. Data holds its encoded bytes, which are
// served to peers that request the digest. Bundle and Data are immutable.
type Adopt struct {
	Ref    BundleRef
	Bundle *bundle.Bundle
	Data   []byte
	// DrainingRoutes lists the names of removed routes. They accept no new
	// requests.
	DrainingRoutes []string
}

// Announce tells peers the reference of the active bundle. Announcements may be
// lost; they are repeated every Options.AnnounceInterval.
type Announce struct{ Ref BundleRef }

// Report is an event for the log; see package events. Detail is the reason of a
// refusal, the name of a draining route, or empty.
type Report struct {
	Kind   ReportKind
	Ref    BundleRef
	Detail string
}

// ReportKind is the kind of a Report.
type ReportKind uint8

// The kinds of report.
const (
	// ReportAdopted means that a bundle became the active one.
	ReportAdopted ReportKind = iota
	// ReportRefused means that a bundle does not match its digest or is not
	// valid, or that a revision was seen with two digests.
	ReportRefused
	// ReportBehind means that the bundle of a known revision has been missing
	// for Options.BehindAfter.
	ReportBehind
	// ReportRouteDraining means that the adopted bundle lacks a route of the
	// previous one.
	ReportRouteDraining
)

func (Tick) isEvent()         {}
func (RevisionSeen) isEvent() {}
func (Fetched) isEvent()      {}

func (Fetch) isAction()    {}
func (Adopt) isAction()    {}
func (Announce) isAction() {}
func (Report) isAction()   {}
