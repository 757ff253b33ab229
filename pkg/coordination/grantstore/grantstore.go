// Package grantstore reads and writes the grant rows in the platform's table. Each
// row divides the connections of one upstream among the instances.
package grantstore

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

// VersionedRow is a grant row with its version. If there is no row, Row is nil and
// Version is 0.
type VersionedRow struct {
	Version model.RowVersion
	Row     *grants.Row
}

// Store reads and writes grant rows. It is safe for concurrent use.
type Store struct{ table platform.Table }

// New returns the store of the grant rows in table.
func New(table platform.Table) *Store { return &Store{table: table} }

// Read returns the grant row of an upstream.
func (s *Store) Read(ctx context.Context, upstream model.UpstreamID) (VersionedRow, error) {
	row, err := s.table.Get(ctx, grants.Key(upstream))
	if err != nil {
		return VersionedRow{}, errors.Wrap(err, "read grant row")
	}
	return decodeRow(row)
}

// Write writes the grant row of an upstream if it has version ifVersion. It returns
// the row as it is then. If the answer is lost, the outcome is unknown.
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
	stored, err := decodeRow(result.Rows[0])
	switch {
	case err != nil:
		return grants.WriteUnknown, VersionedRow{}
	case result.Applied:
		return grants.WriteApplied, stored
	default:
		return grants.WriteConflict, stored
	}
}

// decodeRow decodes a row of the table, which is nil if it does not exist.
func decodeRow(row *platform.Row) (VersionedRow, error) {
	if row == nil {
		return VersionedRow{}, nil
	}
	decoded := new(grants.Row)
	if err := json.Unmarshal(row.Value, decoded); err != nil {
		return VersionedRow{}, errors.Wrapf(err, "decode grant row %q", row.Key)
	}
	return VersionedRow{Version: row.Version, Row: decoded}, nil
}
