package dispatcher

import (
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
)

// Topology says how an instance reaches the upstreams.
type Topology struct {
	// Upstreams holds the upstreams that this instance opens connections to, and
	// Connections how many it may open to each.
	Upstreams   map[model.UpstreamID]catalog.Upstream
	Connections map[model.UpstreamID]int
	// Servers holds, for each group to which a route leads, the members that
	// serve it.
	Servers map[model.GroupID][]model.Member
	// Callers holds the client accounts, ordered by name.
	Callers []catalog.Caller
}

func topology(snapshot *region.Snapshot) Topology {
	result := Topology{
		Upstreams:   snapshot.Upstreams,
		Connections: make(map[model.UpstreamID]int, len(snapshot.Upstreams)),
		Servers:     make(map[model.GroupID][]model.Member, len(snapshot.Serving)),
		Callers:     snapshot.Catalog.Callers,
	}
	for id, upstream := range snapshot.Upstreams {
		result.Connections[id] = connections(snapshot, upstream.Group)
	}
	for id, served := range snapshot.Serving {
		result.Servers[id] = served.Servers
	}
	return result
}

// connections returns the number of connections that this instance may open to
// each upstream of a group.
func connections(snapshot *region.Snapshot, id model.GroupID) int {
	configured, found := snapshot.Catalog.Group(id)
	if !found {
		return 0
	}
	return serving.ConnectionsPerServer(configured.MaxConnections, len(snapshot.Serving[id].Servers))
}

// upstreamSpecs returns the settings of a group's upstreams that have an address.
func upstreamSpecs(snapshot *region.Snapshot, id model.GroupID, served region.Serving) []dispatch.UpstreamSpec {
	var specs []dispatch.UpstreamSpec
	for _, upstream := range snapshot.Upstreams {
		if upstream.Group != id || upstream.Address == "" {
			continue
		}
		specs = append(specs, dispatch.UpstreamSpec{
			ID:             upstream.ID,
			DataCentre:     upstream.DataCentre,
			Slots:          upstream.Slots,
			MaxConnections: connections(snapshot, id),
			MaxOutstanding: maxOutstanding(upstream.Slots, max(1, len(served.Servers))),
			Draining:       upstream.Draining,
		})
	}
	return specs
}

// maxOutstanding returns the number of statements that each server of a group
// may have outstanding at an upstream. Together the servers may send about twice
// as many as there are slots, so that a free slot does not idle for the network
// latency of the next statement; one more each covers a server with more than
// its share of the load.
func maxOutstanding(slots, servers int) int {
	return (2*slots+servers-1)/servers + 1
}
