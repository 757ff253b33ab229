// Package headstore reads and writes the head row of a region in the platform's
// table.
package headstore

import (
	"context"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// errNoHead means that the result of a commit does not contain the head row.
var errNoHead = errors.New("commit result contains no head row")

// Store reads and writes the head row of one region.
type Store struct {
	table platform.Table
	key   string
}

// New returns the store of a region's head row in table.
func New(table platform.Table, region string) *Store {
	return &Store{table: table, key: platform.HeadKey(region)}
}

// Read returns the head row, or nil while there is none.
func (s *Store) Read(ctx context.Context) (*model.Head, error) {
	row, err := s.table.Get(ctx, s.key)
	if err != nil {
		return nil, errors.Wrap(err, "read head row")
	}
	if row == nil {
		return nil, nil
	}
	return platform.DecodeHead(row)
}

// Write writes head if the row has version ifVersion, where 0 means that there is no
// row yet. If the answer is lost, it reads the row back to find the outcome, which
// stays unknown if the row does not show the write.
func (s *Store) Write(
	ctx context.Context, opID string, ifVersion model.RowVersion, head *model.Head,
) (failover.WriteOutcome, *model.Head) {
	value, err := platform.EncodeHead(head)
	if err != nil {
		return failover.WriteUnknown, nil
	}
	write := platform.Write{Key: s.key, IfVersion: ifVersion, Value: value}
	result, err := s.table.Commit(ctx, opID, []platform.Write{write})
	if err != nil {
		return s.readBack(ctx, opID)
	}
	written, err := decodeFirst(result.Rows)
	if err != nil {
		return failover.WriteUnknown, nil
	}
	if !result.Applied {
		return failover.WriteConflict, written
	}
	return failover.WriteApplied, written
}

// readBack finds the outcome of a write whose answer was lost. If the row has the
// operation ID of another write, the outcome is unknown, since the request may
// still arrive.
func (s *Store) readBack(ctx context.Context, opID string) (failover.WriteOutcome, *model.Head) {
	row, err := s.table.Get(ctx, s.key)
	if err != nil || row == nil {
		return failover.WriteUnknown, nil
	}
	if row.OpID != opID {
		return failover.WriteUnknown, nil
	}
	head, err := platform.DecodeHead(row)
	if err != nil {
		return failover.WriteUnknown, nil
	}
	return failover.WriteApplied, head
}

// decodeFirst decodes the only row in the result of a commit.
func decodeFirst(rows []*platform.Row) (*model.Head, error) {
	if len(rows) != 1 || rows[0] == nil {
		return nil, errNoHead
	}
	return platform.DecodeHead(rows[0])
}
