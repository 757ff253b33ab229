package instance

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/telemetry"
)

const (
	// loadCheckInterval is the time between two checks for reports that are due,
	// a quarter of the time between two reports.
	loadCheckInterval = loadshare.ReportInterval / 4
	// loadRefusedInterval is the minimum time between two log lines about reports
	// that were refused.
	loadRefusedInterval = time.Second
)

// reportLoads tells the other servers of this instance's groups what it has
// outstanding at upstreams.
func (h *Hosted) reportLoads(ctx context.Context) {
	ticker := time.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, report := range h.dispatch.LoadReports() {
			message := meshlink.EncodeLoadReport(report.Counts)
			if h.mesh.Send(report.To, message) != nil {
				h.dispatch.LoadNotSent(report.To)
				continue
			}
			telemetry.LoadReportsSent.With().Inc()
			telemetry.LoadReportedBytes.With().Add(proto.Size(message))
		}
	}
}

// useLoadReport applies the load report of another server. An invalid report is
// counted and logged, and has no effect.
func (p hostedPeer) useLoadReport(from model.InstanceID, report *meshpb.LoadReport) {
	err := p.dispatch.LoadReported(from, meshlink.DecodeLoadReport(report))
	if err == nil {
		return
	}
	telemetry.LoadsRefused.With("report").Inc()
	p.loadRefused.Log(context.Background(), p.logger, slog.String("from", string(from)), slog.String("reason", err.Error()))
}
