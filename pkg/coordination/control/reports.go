package control

import (
	"context"
	"log/slog"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/failover"
)

var failoverEvents = map[failover.ReportKind]events.Event{
	failover.ReportPrimaryLost:       events.PrimaryLost,
	failover.ReportSealed:            events.GroupSealed,
	failover.ReportHoldersStopped:    events.HoldersStopped,
	failover.ReportPromoted:          events.UpstreamPromoted,
	failover.ReportGenerationStarted: events.GenerationStarted,
	failover.ReportPermitsLost:       events.PermitsLost,
	failover.ReportPermitsRegained:   events.PermitsRegained,
	failover.ReportDeposedReturned:   events.DeposedReturned,
	failover.ReportSwitchStarted:     events.SwitchStarted,
	failover.ReportSwitchRefused:     events.SwitchRefused,
	failover.ReportMemberJoined:      events.MemberJoined,
	failover.ReportMemberRemoved:     events.MemberRemoved,
}

func (l *Loop) logReport(r failover.Report) { LogReport(l.ctx, l.config.Logger, r) }

// LogReport logs a report of a failover machine. Kinds that are counted in
// metrics only are not logged.
func LogReport(ctx context.Context, logger *slog.Logger, r failover.Report) {
	event, known := failoverEvents[r.Kind]
	if !known {
		return
	}
	events.Log(ctx, logger, event,
		slog.String("group", string(r.Group)), slog.String("detail", r.Detail))
}

var adoptionEvents = map[adoption.ReportKind]events.Event{
	adoption.ReportAdopted:       events.ConfigurationAdopted,
	adoption.ReportRefused:       events.ConfigurationRefused,
	adoption.ReportBehind:        events.ConfigurationBehind,
	adoption.ReportRouteDraining: events.RouteDraining,
}

func (l *Loop) logAdoptionReport(r adoption.Report) {
	event, known := adoptionEvents[r.Kind]
	if !known {
		return
	}
	events.Log(l.ctx, l.config.Logger, event,
		slog.Uint64("revision", uint64(r.Ref.Revision)), slog.String("detail", r.Detail))
}
