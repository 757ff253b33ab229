package access

import (
	"time"

	"gypsumdock/pkg/state/catalog"
)

// Confirmation tracks the time at which the active configuration was known to be
// the newest one. An instance that follows the store's table passes the rows and
// the answers of the feed to it, in their order; any instance passes what a peer
// has confirmed. It is not safe for concurrent use.
//
// The feed guarantees that an answer holds all rows that were changed before the
// start of its call and after the previous answer. So an answer without a change
// confirms what the answers before it have shown.
type Confirmation struct {
	at time.Duration
	// shown is the version of the configuration in the newest row that the feed has
	// shown since the last complete read; 0 if there is none or it is unusable.
	shown catalog.Version
	// row is the version of that row.
	row int64
	// offered is the version of the configuration that a peer has confirmed and that
	// is not active yet, and offeredAt the time of that confirmation; 0 if there is
	// none.
	offered   catalog.Version
	offeredAt time.Duration
}

// At returns the time at which the configuration was known to be the newest, zero
// for never. It is negative for a time before the start of the clock.
func (c *Confirmation) At() time.Duration { return c.at }

// ReadCompletely forgets the rows that the feed has shown. It precedes the rows
// of a complete read of the table.
func (c *Confirmation) ReadCompletely() { c.shown, c.row = 0, 0 }

// RowShown records a row of the configuration. version is the one of the
// configuration in it; 0 if the row cannot be decoded or is deleted.
func (c *Confirmation) RowShown(row int64, version catalog.Version) {
	if row >= c.row {
		c.row, c.shown = row, version
	}
}

// RowLost records that the feed has shown a row which may be that of the
// configuration but of which not even the key could be read.
func (c *Confirmation) RowLost() { c.shown = 0 }

// Answered records that the rows of an answer have been passed on. startedAt is
// the start of the call, and active the version of the active configuration. A
// store that shows an older configuration than the active one confirms nothing:
// it may have been restored from a copy.
func (c *Confirmation) Answered(startedAt time.Duration, active catalog.Version) {
	if c.shown != 0 && c.shown == active {
		c.advance(startedAt)
	}
}

// PeerConfirmed records that a peer had a confirmation of the given age, in an
// answer to a query that was sent at sentAt. The configuration that it confirms,
// or a newer one, must be active.
func (c *Confirmation) PeerConfirmed(sentAt, age time.Duration) { c.advance(sentAt - age) }

// PeerOffered is PeerConfirmed for a configuration that is not active yet. The
// confirmation counts once Activated is called for its version or a newer one. A
// version that is already awaited is not replaced by a newer one, which may be
// superseded in turn before it is active.
func (c *Confirmation) PeerOffered(sentAt, age time.Duration, version catalog.Version) {
	if c.offered == 0 || c.offered == version {
		c.offered, c.offeredAt = version, sentAt-age
	}
}

// Activated records that a configuration has become active.
func (c *Confirmation) Activated(version catalog.Version) {
	if c.offered == 0 || version < c.offered {
		return
	}
	c.offered = 0
	c.advance(c.offeredAt)
}

// advance sets the time, unless a later one is known.
func (c *Confirmation) advance(at time.Duration) {
	if at == 0 {
		// Zero stands for never.
		at--
	}
	if c.at == 0 || at > c.at {
		c.at = at
	}
}
