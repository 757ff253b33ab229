package instance

import (
	"context"
	"time"

	"gypsumdock/pkg/telemetry"
)

// metricsInterval is the time between two updates of the gauges.
const metricsInterval = time.Second

// exportMetrics keeps the gauges up to date until ctx ends.
func (i *Instance) exportMetrics(ctx context.Context) {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		i.setGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (i *Instance) setGauges() {
	i.setPoolCounters()
	status := i.Status()
	telemetry.CallerConnections.With().Set(float64(status.CallerConnections))
	telemetry.SessionMarks.With().Set(float64(status.SessionMarks))
	telemetry.ConfigurationRevision.With().Set(float64(status.Revision))
	telemetry.MeshPeers.With().Set(float64(len(i.mesh.Peers())))
	for _, group := range status.Groups {
		telemetry.PermitValid.With(string(group.ID)).Set(gaugeOf(group.WritePermit))
		telemetry.GroupGeneration.With(string(group.ID)).Set(float64(group.Generation))
		for _, upstream := range group.Upstreams {
			id := string(upstream.ID)
			telemetry.UpstreamConnections.With(id).Set(float64(upstream.Open))
			telemetry.UpstreamGrant.With(id).Set(float64(upstream.Grant))
			if upstream.LagSeconds != nil {
				telemetry.UpstreamLag.With(id).Set(*upstream.LagSeconds)
			}
		}
	}
}

// setPoolCounters sets the counters that the pools keep themselves.
func (i *Instance) setPoolCounters() {
	for _, stats := range i.pools.Stats() {
		id := string(stats.Upstream)
		telemetry.UpstreamOpened.With(id).Set(stats.Opened)
		telemetry.UpstreamClosed.With(id).Set(stats.Closed)
	}
}

func gaugeOf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
