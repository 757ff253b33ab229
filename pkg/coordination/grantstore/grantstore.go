// Package grantstore keeps the rows that divide the connections of upstreams
// in the platform's table.
package grantstore

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// VersionedRow is a row with its version; Row is nil where there is none.
type VersionedRow struct {
	Version model.RowVersion
	Row     *grants.Row
}

// Store reads and writes the rows. It is safe for concurrent use.
type Store struct{ table platform.Table }

// New returns the store of the rows in table.
func New(table platform.Table) *Store { return &Store{table: table} }

// Read returns the row of an upstream.
func (s *Store) Read(ctx context.Context, upstream model.UpstreamID) (VersionedRow, error) {
	row, err := s.table.Get(ctx, grants.Key(upstream))
	if err != nil {
		return VersionedRow{}, errors.Wrap(err, "read grants")
	}
	return decode(row)
}

// Write puts the row of an upstream on the condition that it has ifVersion. A
// lost answer gives an unknown outcome.
func (s *Store) Write(
	ctx context.Context, opID string, upstream model.UpstreamID, ifVersion model.RowVersion, row *grants.Row,
) (grants.WriteOutcome, VersionedRow) {
	value, err := json.Marshal(row)
	if err != nil {
		return grants.WriteUnknown, VersionedRow{}
	}
	write := platform.Write{Key: grants.Key(upstream), IfVersion: ifVersion, Value: value}
	result, err := s.table.Commit(ctx, opID, []platform.Write{write})
	if err != nil || len(result.Rows) != 1 {
		return grants.WriteUnknown, VersionedRow{}
	}
	stored, err := decode(result.Rows[0])
	switch {
	case err != nil:
		return grants.WriteUnknown, VersionedRow{}
	case result.Applied:
		return grants.WriteApplied, stored
	default:
		return grants.WriteConflict, stored
	}
}

func decode(row *platform.Row) (VersionedRow, error) {
	if row == nil {
		return VersionedRow{}, nil
	}
	decoded := new(grants.Row)
	if err := json.Unmarshal(row.Value, decoded); err != nil {
		return VersionedRow{}, errors.Wrapf(err, "row %q", row.Key)
	}
	return VersionedRow{Version: row.Version, Row: decoded}, nil
}
