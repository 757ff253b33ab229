package instance

import (
	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	state "gypsumdock/pkg/state/quota"
	"gypsumdock/pkg/transport/meshpeer"
)

// newRates returns the service that limits the rates of callers.
func (h *Hosted) newRates(peers *meshpeer.Peers) *quota.Service {
	tolerance := h.settings.RateTolerance
	return quota.New(quota.Config{
		Self:      h.self.ID,
		Tolerance: state.Tolerance{Window: tolerance.Window, Overage: tolerance.Overage, Slack: tolerance.Slack},
		Clock:     h.clock,
		Input:     func() quota.Input { return hostedRateInput(h.loop.Snapshot()) },
		Peers:     peers,
		Logger:    h.logger,
	})
}

// hostedRateInput returns the part of the state that determines the rate limits.
// snapshot may be nil.
func hostedRateInput(snapshot *region.Snapshot) quota.Input {
	if snapshot == nil {
		return quota.Input{}
	}
	return quota.Input{
		View:          &snapshot.View,
		Configuration: snapshot.Catalog,
		Callers:       func() []model.CallerPolicy { return catalogPolicies(snapshot.Catalog) },
	}
}

// catalogPolicies returns the policies of the accounts of the catalog.
func catalogPolicies(active *catalog.Catalog) []model.CallerPolicy {
	policies := make([]model.CallerPolicy, 0, len(active.Callers))
	for i := range active.Callers {
		policies = append(policies, active.Callers[i].Policy())
	}
	return policies
}
