package dispatcher

import (
	"context"
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/dispatch"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

// logAvoidances logs which upstreams have begun or ceased to be avoided.
func (d *Dispatcher) logAvoidances(id model.GroupID, changes []dispatch.Avoidance) {
	for _, change := range changes {
		gauge := telemetry.UpstreamAvoided.With(string(change.Upstream))
		event := events.UpstreamFailingEnded
		attrs := []slog.Attr{slog.String("group", string(id)), slog.String("upstream", string(change.Upstream))}
		gauge.Set(0)
		if change.Avoided {
			gauge.Set(1)
			event = events.UpstreamFailing
			attrs = append(attrs, slog.Float64("ratio", change.Ratio), slog.Float64("others", change.OthersRatio))
		}
		if d.config.Logger != nil {
			events.Log(context.Background(), d.config.Logger, event, attrs...)
		}
	}
}
