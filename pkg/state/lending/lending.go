// Package lending decides which instances hold the connections to an upstream
// that takes too few for each instance to have its own. The other instances
// reach the upstream through the holders.
//
// The package is deterministic and keeps no state.
package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

const (
	// reservedConnections is the least number of connections to an upstream
	// that instances leave to probes and to clients that connect directly.
	reservedConnections = 3
	// ownConnections is the least share of connections with which every
	// instance holds its own: one alone is blocked by a transaction that waits
	// for its caller.
	ownConnections = 2
	// holderConnections is the number of connections that a holder should have.
	holderConnections = 3
	// heldNumerator and heldDenominator give the part of an upstream's
	// connections that holders may open. Those of instances that lost power
	// count at the upstream for seconds after their return.
	heldNumerator   = 2
	heldDenominator = 3
)

// Upstream is what a plan needs to know of an upstream.
type Upstream struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// MaxConnections is the number that the upstream takes from all.
	MaxConnections int
}

// Plan says how an instance reaches an upstream.
type Plan struct {
	// OwnConnections is the number of connections that the instance may hold; zero if it
	// is no holder.
	OwnConnections int
	// Lenders names the instances through which the upstream is reached, in the
	// order in which this instance asks them. It is empty if every instance
	// holds connections.
	Lenders []model.InstanceID
}

// Lends reports whether the instance serves others.
func (p Plan) Lends() bool { return len(p.Lenders) > 0 && p.OwnConnections > 0 }

// Borrows reports whether the instance reaches the upstream through others.
func (p Plan) Borrows() bool { return len(p.Lenders) > 0 && p.OwnConnections == 0 }

// ConnectionsPerInstance returns the connections to an upstream that each of the instances may
// hold if all hold some. One for each instance stays free.
func ConnectionsPerInstance(maxConnections, instances int) int {
	instances = max(instances, 1)
	reserved := max(reservedConnections, instances)
	return max(1, (maxConnections-reserved)/instances)
}

// NewPlan returns the plan of the instance self. registered counts all
// instances, present those of them that are known to serve.
func NewPlan(self model.InstanceID, upstream Upstream, registered int, present []model.Member) Plan {
	share := ConnectionsPerInstance(upstream.MaxConnections, registered)
	if share >= ownConnections || len(present) <= 1 {
		return Plan{OwnConnections: share}
	}
	budget := max(1, upstream.MaxConnections*heldNumerator/heldDenominator)
	holders := chooseHolders(upstream, max(1, budget/holderConnections), present)
	plan := Plan{}
	if slices.Contains(holders, self) {
		plan.OwnConnections = max(1, budget/len(holders))
	}
	plan.Lenders = preferred(self, upstream.ID, holders)
	return plan
}

// chooseHolders returns the holders of an upstream: instances of its data
// centre, so that a statement crosses from one to another no more often than
// without a holder, or any if there are none.
func chooseHolders(upstream Upstream, count int, present []model.Member) []model.InstanceID {
	var near, all []model.InstanceID
	for _, member := range present {
		all = append(all, member.ID)
		if member.DataCentre == upstream.DataCentre {
			near = append(near, member.ID)
		}
	}
	if len(near) == 0 {
		near = all
	}
	sortByHash(near, string(upstream.ID))
	return near[:min(count, len(near))]
}

// preferred returns the holders in an order that differs from instance to
// instance, which spreads the instances over them.
func preferred(self model.InstanceID, upstream model.UpstreamID, holders []model.InstanceID) []model.InstanceID {
	ordered := slices.Clone(holders)
	sortByHash(ordered, string(self)+"/"+string(upstream))
	return ordered
}

func sortByHash(ids []model.InstanceID, key string) {
	slices.SortFunc(ids, func(a, b model.InstanceID) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+"/"+string(a)), xxhash.Sum64String(key+"/"+string(b))),
			cmp.Compare(a, b),
		)
	})
}
