// Package serving decides which instances serve a database group. Only these
// hold connections to the group's upstreams and permits for its primary, and
// place the units of work of all callers. Every other instance forwards its
// callers' units to one of them.
//
// The package is deterministic and keeps no state, so that all instances that
// know the same members choose the same servers.
package serving

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

const (
	// ServersPerGroup is the number of members that serve a group, if there are
	// as many.
	ServersPerGroup = 4
	// reservedConnections is the minimum number of connections to an upstream
	// that the servers leave free for probes, for clients that connect directly,
	// and for the lost connections of an instance that is being replaced.
	reservedConnections = 3
)

// Group describes a group to Servers.
type Group struct {
	ID model.GroupID
	// DataCentres holds the data centres of the group's upstreams.
	DataCentres []model.DataCentre
}

// candidate is a member with its rank among the members of its data centre.
type candidate struct {
	member model.Member
	hash   uint64
	// remote is set for a member in a data centre without an upstream.
	remote bool
	rank   int
}

// Servers returns the members that serve a group, in the order in which they act
// if its primary is lost. Members in the data centres of its upstreams come
// first, since the way to an upstream then crosses between data centres no more
// often than without them, and they are spread over these data centres.
func Servers(group Group, live []model.Member) []model.InstanceID {
	candidates := make([]candidate, 0, len(live))
	for _, member := range live {
		candidates = append(candidates, candidate{
			member: member,
			hash:   xxhash.Sum64String(string(group.ID) + "/" + string(member.ID)),
			remote: !slices.Contains(group.DataCentres, member.DataCentre),
		})
	}
	slices.SortFunc(candidates, compareByHash)
	rankByDataCentre(candidates)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(a.remote, b.remote), cmp.Compare(a.rank, b.rank))
	})
	servers := make([]model.InstanceID, 0, ServersPerGroup)
	for _, chosen := range candidates[:min(ServersPerGroup, len(candidates))] {
		servers = append(servers, chosen.member.ID)
	}
	return servers
}

// rankByDataCentre sets the rank of each candidate among those of its data
// centre, in the order of the slice.
func rankByDataCentre(candidates []candidate) {
	count := make(map[model.DataCentre]int)
	for i := range candidates {
		centre := candidates[i].member.DataCentre
		candidates[i].rank = count[centre]
		count[centre]++
	}
}

func compareByHash(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.ID, b.member.ID))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// ConnectionsPerServer returns the number of connections to an upstream that
// each of its servers may open. One for each server, and at least
// reservedConnections, stay free; the result is at least 1.
func ConnectionsPerServer(maxConnections, servers int) int {
	servers = max(servers, 1)
	reserved := max(reservedConnections, servers)
	return max(1, (maxConnections-reserved)/servers)
}
