package control

import (
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// probeConnections is the number of connections that an instance keeps to an
// upstream besides its pool.
const probeConnections = 1

// shares divides each upstream's connections equally between the members.
func shares(current *bundle.Bundle, view *failover.View) map[model.UpstreamID]int {
	grants := make(map[model.UpstreamID]int)
	members := max(len(view.Members), 1)
	for i := range current.Groups {
		for _, upstream := range current.Groups[i].Upstreams {
			grants[upstream.ID] = max(upstream.Connections/members-probeConnections, 0)
		}
	}
	return grants
}
