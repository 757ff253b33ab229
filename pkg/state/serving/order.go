package serving

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// homelessShare is the share of the sum of all rates from which on a caller has
// no home: it keeps connections busy at each server, and would overload one.
const homelessShare = 0.1

// CallersWithHome returns the callers whose units go to a home server. Those
// without a configured rate have none, as their demand is not known.
func CallersWithHome(callers []catalog.Caller) map[model.CallerName]bool {
	sum := 0.0
	for _, caller := range callers {
		sum += caller.Rate
	}
	small := make(map[model.CallerName]bool, len(callers))
	for _, caller := range callers {
		if caller.Rate > 0 && caller.Rate < homelessShare*sum {
			small[caller.Name] = true
		}
	}
	return small
}

// ForwardOrder returns the servers of a group in the order in which an instance
// forwards the units of a caller to them. For a caller with a home, which is the
// first one, the order is the same at all instances. Otherwise, which includes an
// empty name, the servers of the own data centre come first, and among the others
// the order differs from instance to instance, which spreads the load.
func ForwardOrder(self model.Member, group model.GroupID, servers []model.Member, caller model.CallerName, hasHome bool) []model.InstanceID {
	key := string(group) + "/" + string(self.ID) + "/"
	remote := func(server model.Member) bool { return server.DataCentre != self.DataCentre }
	if hasHome {
		key = string(group) + "/" + string(caller) + "/"
		remote = func(model.Member) bool { return false }
	}
	hash := func(id model.InstanceID) uint64 { return xxhash.Sum64String(key + string(id)) }
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b model.Member) int {
		return cmp.Or(
			compareBool(remote(a), remote(b)),
			cmp.Compare(hash(a.ID), hash(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	ids := make([]model.InstanceID, 0, len(ordered))
	for _, server := range ordered {
		ids = append(ids, server.ID)
	}
	return ids
}
