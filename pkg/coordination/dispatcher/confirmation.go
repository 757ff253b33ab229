package dispatcher

import (
	"time"

	"gypsumdock/pkg/state/catalog"
)

// ConfirmedCatalog returns the active configuration and when it was known to be
// the newest; see region.Snapshot.
func (d *Dispatcher) ConfirmedCatalog() (*catalog.Catalog, time.Duration) {
	snapshot := d.snapshot.Load()
	return snapshot.Catalog, snapshot.ConfirmedAt
}
