package instance

import (
	"context"
	"time"

	"gypsumdock/pkg/telemetry"
	"gypsumdock/pkg/transport/admin"
)

// metricsInterval is the time between two updates of the gauges, and between
// two rounds of the audit.
const metricsInterval = time.Second

// exportMetrics updates the metrics, logs changes of status and audits the
// counters at each interval until ctx ends.
func (i *Instance) exportMetrics(ctx context.Context) {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	counters := newAuditor()
	last := i.observe()
	for {
		now := i.observe()
		i.logChanges(ctx, last, now)
		last = now
		setGauges(now.status)
		i.setPoolCounters()
		telemetry.MeshPeers.With().Set(float64(len(i.mesh.Peers())))
		i.audit(ctx, counters)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setGauges sets the gauges that show the instance's status.
func setGauges(status admin.Status) {
	telemetry.CallerConnections.With().Set(float64(status.CallerConnections))
	telemetry.SessionMarks.With().Set(float64(status.SessionMarks))
	telemetry.ConfigurationRevision.With().Set(float64(status.Revision))
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

// setPoolCounters copies the counters of the callers' server and the connection
// pools to the metrics.
func (i *Instance) setPoolCounters() {
	telemetry.CallerAuthFailed.With().Set(i.front.Stats().AuthFailed)
	for _, stats := range i.pools.Stats() {
		id := string(stats.Upstream)
		telemetry.UpstreamOpened.With(id).Set(stats.Opened)
		telemetry.UpstreamClosed.With(id).Set(stats.Closed)
	}
}

// gaugeOf returns 1 for true and 0 for false.
func gaugeOf(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
