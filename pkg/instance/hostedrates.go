package instance

import (
	"gypsumdock/pkg/coordination/quota"
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
		Snapshot:  h.loop.Snapshot,
		Peers:     peers,
		Logger:    h.logger,
	})
}
