package instance

import (
	"context"
	"log/slog"
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/telemetry"
)

// confirmationLimit returns the age of the confirmation up to which an instance
// can be ready. One that only forwards gets the full bound: it does not decide
// on keys by the age, and it learns of the confirmation through a member, which
// makes the age higher (3.6 s at most while nothing fails).
func confirmationLimit(snapshot *region.Snapshot, bound time.Duration) time.Duration {
	for _, served := range snapshot.Serving {
		if served.Local {
			return access.UsableAge(bound)
		}
	}
	return bound
}

// isConfirmationTooOld reports whether the configuration has client accounts and
// this instance cannot tell that their keys are still valid.
func isConfirmationTooOld(snapshot *region.Snapshot, now, bound time.Duration) bool {
	if !snapshot.Catalog.Authenticates || bound == 0 {
		return false
	}
	return snapshot.ConfirmedAt == 0 || now-snapshot.ConfirmedAt > confirmationLimit(snapshot, bound)
}

func (h *Hosted) isConfirmationTooOld(snapshot *region.Snapshot, now time.Duration) bool {
	return isConfirmationTooOld(snapshot, now, h.settings.RevocationTime)
}

// updateConfirmed makes the instance not ready while its confirmation stays too
// old. Open sessions are kept: they are served by other instances, and if the store
// is down no instance is better off.
func (h *Hosted) updateConfirmed(ctx context.Context, now time.Duration, confirmation *awayTracker) {
	snapshot := h.loop.Snapshot()
	age := now - snapshot.ConfirmedAt
	if snapshot.Catalog.Authenticates && snapshot.ConfirmedAt != 0 {
		telemetry.ConfirmationAge.With().Set(age.Seconds())
	}
	unconfirmed := confirmation.update(now, h.wasReady.isSet(), !h.isConfirmationTooOld(snapshot, now))
	if unconfirmed != h.unconfirmed.isSet() {
		h.unconfirmed.change(unconfirmed)
		attrs := []slog.Attr{slog.Bool("unconfirmed", unconfirmed), slog.Uint64("configuration", uint64(snapshot.Catalog.Version))}
		if snapshot.ConfirmedAt != 0 {
			attrs = append(attrs, slog.Duration("confirmation_age", age))
		}
		events.Log(ctx, h.logger, events.ConfirmationTooOld, attrs...)
	}
}
