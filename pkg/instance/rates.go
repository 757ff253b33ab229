package instance

import (
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/quota"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
	state "gypsumdock/pkg/state/quota"
	"gypsumdock/pkg/transport/meshpeer"
)

// rateTolerance is how far the operations of a caller over all instances may exceed
// its rate: in each window of 5 s by a tenth of the limit and by 20 operations. On
// the hosted interface the settings give these values; the settings of this
// interface have no keys for them.
var rateTolerance = state.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newRates returns the service that limits the rates of callers.
func (i *Instance) newRates(peers *meshpeer.Peers) *quota.Service {
	return quota.New(quota.Config{
		Self:      i.self.ID,
		Tolerance: rateTolerance,
		Clock:     i.clock,
		Input:     func() quota.Input { return rateInput(i.loop.Snapshot()) },
		Peers:     peers,
		Logger:    i.logger,
	})
}

// rateInput returns the part of the state that determines the rate limits.
func rateInput(snapshot *control.Snapshot) quota.Input {
	return quota.Input{
		View:          &snapshot.View,
		Configuration: snapshot.Bundle,
		Callers:       func() []model.CallerPolicy { return bundlePolicies(snapshot.Bundle) },
	}
}

// bundlePolicies returns the policies of the callers of the bundle.
func bundlePolicies(active *bundle.Bundle) []model.CallerPolicy {
	policies := make([]model.CallerPolicy, 0, len(active.Callers))
	for i := range active.Callers {
		policies = append(policies, active.Callers[i].Policy())
	}
	return policies
}
