// Package lending decides how the instances share the connections to an
// upstream that accepts too few for every instance. A few instances, the
// lenders, then open the connections; the others, the borrowers, send their
// statements through a lender. Log events call a lender a holder of connections.
//
// The package is deterministic and keeps no state, so that all instances that
// know the same members choose the same lenders.
package lending

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumdock/pkg/state/model"
)

const (
	// reservedConnections is the minimum number of connections to an upstream
	// that the instances leave free for probes and for clients that connect
	// directly.
	reservedConnections = 3
	// minOwnConnections is the number of connections for each instance below
	// which lenders are chosen. A single connection is not enough, as a
	// transaction that waits for its caller blocks it.
	minOwnConnections = 2
	// connectionsPerLender is the intended number of connections of a lender.
	connectionsPerLender = 3
	// lendersNumerator and lendersDenominator give the part of an upstream's
	// connections that all lenders together may open. The rest stays free
	// because after a power loss the upstream counts the lost connections for
	// some seconds more, while the instances are back and open new ones.
	lendersNumerator   = 2
	lendersDenominator = 3
)

// Upstream describes an upstream to NewPlan.
type Upstream struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// MaxConnections is the number of connections that the upstream accepts
	// from all clients together.
	MaxConnections int
}

// Plan says how an instance reaches an upstream.
type Plan struct {
	// OwnConnections is the number of connections that the instance may open;
	// 0 for a borrower.
	OwnConnections int
	// Lenders lists the lenders in the order in which this instance asks them.
	// It is empty if every instance opens its own connections.
	Lenders []model.InstanceID
}

// Lends reports whether the instance is a lender.
func (p Plan) Lends() bool { return len(p.Lenders) > 0 && p.OwnConnections > 0 }

// Borrows reports whether the instance is a borrower.
func (p Plan) Borrows() bool { return len(p.Lenders) > 0 && p.OwnConnections == 0 }

// ConnectionsPerInstance returns the number of connections to an upstream that
// each instance may open if every instance opens its own. One connection for
// each instance, and at least reservedConnections, stay free; the result is at
// least 1.
func ConnectionsPerInstance(maxConnections, instances int) int {
	instances = max(instances, 1)
	reserved := max(reservedConnections, instances)
	return max(1, (maxConnections-reserved)/instances)
}

// NewPlan returns the plan of the instance self for an upstream. registered is
// the number of all registered instances; present lists those that are known to
// serve, from which the lenders are chosen.
func NewPlan(self model.InstanceID, upstream Upstream, registered int, present []model.Member) Plan {
	perInstance := ConnectionsPerInstance(upstream.MaxConnections, registered)
	if perInstance >= minOwnConnections || len(present) <= 1 {
		return Plan{OwnConnections: perInstance}
	}
	budget := max(1, upstream.MaxConnections*lendersNumerator/lendersDenominator)
	lenders := chooseLenders(upstream, max(1, budget/connectionsPerLender), present)
	plan := Plan{}
	if slices.Contains(lenders, self) {
		plan.OwnConnections = max(1, budget/len(lenders))
	}
	plan.Lenders = lenderOrder(self, upstream.ID, lenders)
	return plan
}

// chooseLenders returns at most count lenders of an upstream. It prefers
// instances in the upstream's data centre: the way through such a lender crosses
// between data centres no more often than a direct connection.
func chooseLenders(upstream Upstream, count int, present []model.Member) []model.InstanceID {
	var local, all []model.InstanceID
	for _, member := range present {
		all = append(all, member.ID)
		if member.DataCentre == upstream.DataCentre {
			local = append(local, member.ID)
		}
	}
	if len(local) == 0 {
		local = all
	}
	sortByHash(local, string(upstream.ID))
	return local[:min(count, len(local))]
}

// lenderOrder returns the lenders in the order in which the instance self asks
// them. The order differs between instances, which spreads the borrowers over
// the lenders.
func lenderOrder(self model.InstanceID, upstream model.UpstreamID, lenders []model.InstanceID) []model.InstanceID {
	ordered := slices.Clone(lenders)
	sortByHash(ordered, string(self)+"/"+string(upstream))
	return ordered
}

// sortByHash sorts the instances in a pseudo-random order that depends on key.
func sortByHash(ids []model.InstanceID, key string) {
	slices.SortFunc(ids, func(a, b model.InstanceID) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+"/"+string(a)), xxhash.Sum64String(key+"/"+string(b))),
			cmp.Compare(a, b),
		)
	})
}
