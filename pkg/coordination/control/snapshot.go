package control

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

// Snapshot is the control state by which traffic decides. It is immutable.
type Snapshot struct {
	// At is when the snapshot was made.
	At time.Duration
	// Ref and Bundle are the active configuration; Bundle is never nil.
	Ref     adoption.BundleRef
	Bundle  *bundle.Bundle
	View    failover.View
	Routing *routing.Snapshot
	// Peers holds the newest status of each peer.
	Peers map[model.InstanceID]PeerStatus
	// Connections is the use of this instance's connections to each upstream.
	Connections map[model.UpstreamID]Connections
	// Leaving is set once a graceful stop has started.
	Leaving bool
}

// PeerStatus is the newest status of a peer, received at At.
type PeerStatus struct {
	Status
	At time.Duration
}

// emptySnapshot returns the snapshot before the first input.
func emptySnapshot() *Snapshot {
	return &Snapshot{
		Bundle:  &bundle.Bundle{},
		Routing: &routing.Snapshot{},
		Peers:   map[model.InstanceID]PeerStatus{},
	}
}

// PeerLoads returns what the live peers have published of their connections to
// an upstream, ordered by instance. Leaving peers are left out.
func (s *Snapshot) PeerLoads(upstream model.UpstreamID) []grants.PeerLoad {
	var loads []grants.PeerLoad
	for _, member := range s.View.Members {
		status, known := s.Peers[member.Member.ID]
		if !known || status.Leaving || member.State != members.Live {
			continue
		}
		at, found := slices.BinarySearchFunc(status.UpstreamLoads, upstream, func(r UpstreamLoad, id model.UpstreamID) int {
			return cmp.Compare(r.Upstream, id)
		})
		if !found {
			continue
		}
		loads = append(loads, grants.PeerLoad{
			Instance:   member.Member.ID,
			DataCentre: member.Member.DataCentre,
			Free:       status.UpstreamLoads[at].Free,
			Waiting:    status.UpstreamLoads[at].Waiting,
		})
	}
	return loads
}
