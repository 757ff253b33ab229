package control

import (
	"time"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

// Snapshot is the control state that traffic decides by. It is immutable.
type Snapshot struct {
	// At is when the snapshot was made.
	At time.Duration
	// Ref and Bundle are the configuration in force; Bundle is never nil.
	Ref     adoption.Ref
	Bundle  *bundle.Bundle
	View    failover.View
	Routing *routing.Snapshot
	// Peers holds the newest status of each peer, by instance.
	Peers map[model.InstanceID]PeerStatus
	// Grants is the number of connections that this instance may hold to each
	// upstream.
	Grants map[model.UpstreamID]int
	// Leaving is true once a graceful stop began.
	Leaving bool
}

// PeerStatus is the newest status of a peer, and when it came.
type PeerStatus struct {
	Status
	At time.Duration
}

// empty is the snapshot before the first input.
func empty() *Snapshot {
	return &Snapshot{
		Bundle:  &bundle.Bundle{},
		Routing: &routing.Snapshot{},
		Peers:   map[model.InstanceID]PeerStatus{},
	}
}
