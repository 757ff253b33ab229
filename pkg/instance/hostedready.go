package instance

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/telemetry"
	"gypsumdock/platform"
)

// readyHandler serves the readiness check, by which the platform directs
// callers, and the metrics.
func (h *Hosted) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) })
	return mux
}

// isReady reports whether the instance serves callers: a configuration is
// active, each group has a server, and the instance has held the permit of each
// group that it serves itself once. It
// stays ready during a change of primary, since reads continue.
func (h *Hosted) isReady() bool {
	if h.stopping.isSet() {
		return false
	}
	if h.wasReady.isSet() {
		return !h.cutOff.isSet() && !h.unconfirmed.isSet()
	}
	snapshot := h.loop.Snapshot()
	if snapshot.Catalog.Version == 0 || snapshot.View.Observer && snapshot.MembersAnsweredAt == 0 {
		return false
	}
	if h.isConfirmationTooOld(snapshot, h.clock.Now()) {
		return false
	}
	for _, served := range snapshot.Serving {
		if len(served.Servers) == 0 {
			return false
		}
	}
	for id, served := range snapshot.Serving {
		if state, known := snapshot.View.Group(id); served.Local && (!known || state.PermitUntil == 0) {
			return false
		}
	}
	h.wasReady.set()
	events.Log(context.Background(), h.logger, events.InstanceReady)
	return true
}

// watchConnectivity makes callers move to other instances while this one is cut
// off.
func (h *Hosted) watchConnectivity(ctx context.Context) {
	ticker := time.NewTicker(connectivityInterval)
	defer ticker.Stop()
	var connectivity, confirmation awayTracker
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := h.clock.Now()
		snapshot := h.loop.Snapshot()
		if confirmedAt := snapshot.View.HeadConfirmedAt; confirmedAt > 0 {
			telemetry.HeadConfirmationAge.With().Set((now - confirmedAt).Seconds())
		}
		cutOff := connectivity.update(now, h.wasReady.isSet(), connected(snapshot, now))
		if cutOff != h.cutOff.isSet() {
			h.cutOff.change(cutOff)
			events.Log(ctx, h.logger, events.InstanceAway, slog.Bool("away", cutOff), slog.Duration("since", now-connectivity.heldAt))
		}
		h.front.SetDraining(cutOff)
		h.updateConfirmed(ctx, now, &confirmation)
	}
}
