package region

import (
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
	"gypsumdock/pkg/state/access"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// ErrOtherRow means that a row of the configuration table does not hold the
// configuration.
var ErrOtherRow = errors.New("not the row of the configuration")

// errUnreadableRow means that a row cannot be read, so that it may be that of the
// configuration.
var errUnreadableRow = errors.New("unreadable row")

// maxConfirmationAge is the largest age of a confirmation that is accepted from
// a peer. Larger ones are taken as invalid.
const maxConfirmationAge = time.Hour

// showRow passes a row of the configuration table to the confirmation. offered is
// the configuration in it; err says why there is none.
func (l *Loop) showRow(changed tableChange, entry Entry, offered *catalog.Catalog, err error) {
	switch {
	case entry.Unreadable:
		// A complete read shows the row of the configuration itself, if there is
		// one, so that the unreadable row is another.
		if !changed.complete {
			l.confirmation.RowLost()
		}
	case err == nil:
		l.confirmation.RowShown(entry.Version, offered.Version)
	case !errors.Is(err, ErrOtherRow):
		l.confirmation.RowShown(entry.Version, 0)
	}
}

// confirmFromPeer takes over the confirmation in the reply to a query that was
// sent at started. If the configuration that it confirms is yet to be fetched, it
// counts from then on.
func (l *Loop) confirmFromPeer(started time.Duration, reply *StateReply) {
	if !reply.Confirmed || reply.ConfirmationAge < 0 || reply.ConfirmationAge > maxConfirmationAge {
		return
	}
	if offer := reply.CatalogOffer; offer != nil && !l.holdsCatalog(catalog.Version(offer.Version)) {
		l.confirmation.PeerOffered(started, reply.ConfirmationAge, catalog.Version(offer.Version))
		return
	}
	if l.catalog != nil {
		l.confirmation.PeerConfirmed(started, reply.ConfirmationAge)
	}
}

// addConfirmation adds the confirmation of a snapshot to a reply. The tables must
// be added after the snapshot was loaded: they then hold the configuration that
// it confirms, or a newer one.
func (l *Loop) addConfirmation(reply *StateReply, snapshot *Snapshot) {
	if snapshot.ConfirmedAt == 0 {
		return
	}
	reply.Confirmed = true
	reply.ConfirmationAge = max(l.now()-snapshot.ConfirmedAt, 0)
}

// maxNamedCallers bounds the accounts that one log line names.
const maxNamedCallers = 100

// logCallerChanges logs which accounts have gained or lost keys with a new
// configuration.
func (l *Loop) logCallerChanges(before, after *catalog.Catalog) {
	changes := access.Compare(before, after)
	if changes.IsEmpty() {
		return
	}
	named := func(names []model.CallerName) []model.CallerName { return names[:min(len(names), maxNamedCallers)] }
	events.Log(l.ctx, l.config.Logger, events.CallerKeysChanged,
		slog.Uint64("version", uint64(after.Version)),
		slog.Any("keys_added", named(changes.KeysAdded)), slog.Any("keys_removed", named(changes.KeysRemoved)),
		slog.Any("accounts_removed", named(changes.Removed)))
}
