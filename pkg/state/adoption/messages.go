// Package adoption decides which configuration is in force on an instance. It
// is deterministic: an event and the time go in, actions come out.
//
// A revision is adopted only if it is higher than the one in force, whether
// the table or a peer told of it, so that the configuration never goes back.
// Its bundle is fetched by digest from the object store or from a peer that
// has it in force.
package adoption

import (
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// BundleRef names a bundle: its revision, and the digest of its bytes.
type BundleRef struct {
	Revision model.Revision
	Digest   string
}

// Event is an input to the machine. The types below are all there are.
type Event interface{ isEvent() }

// Action is an output of the machine, to be carried out by the caller. The
// types below are all there are.
type Action interface{ isAction() }

// Tick lets time pass; it comes every TickInterval.
type Tick struct{}

// RevisionSeen tells of a revision: from the head row when From is empty, else
// from the peer that has it in force.
type RevisionSeen struct {
	Ref  BundleRef
	From model.InstanceID
}

// Fetched answers a Fetch. Data is owned by the machine afterwards.
type Fetched struct {
	Ref    BundleRef
	From   model.InstanceID
	Data   []byte
	Failed bool
}

// Fetch asks for the bytes of a bundle: from the object store when From is
// empty, else from the peer.
type Fetch struct {
	Ref  BundleRef
	From model.InstanceID
}

// Adopt puts a bundle in force. Data are its bytes, which are given to peers
// that ask for the digest. Both are immutable.
type Adopt struct {
	Ref    BundleRef
	Bundle *bundle.Bundle
	Data   []byte
	// DrainingRoutes names the removed routes, which take no new work.
	DrainingRoutes []string
}

// Announce tells peers of the bundle in force; it may be lost.
type Announce struct{ Ref BundleRef }

// Report is a numbered event for the log; see package events.
type Report struct {
	Kind   ReportKind
	Ref    BundleRef
	Detail string
}

// ReportKind is the kind of a Report.
type ReportKind uint8

// The kinds of report.
const (
	ReportAdopted ReportKind = iota
	ReportRefused
	ReportBehind
	ReportRouteDraining
)

func (Tick) isEvent()         {}
func (RevisionSeen) isEvent() {}
func (Fetched) isEvent()      {}

func (Fetch) isAction()    {}
func (Adopt) isAction()    {}
func (Announce) isAction() {}
func (Report) isAction()   {}
