package platform

import (
	"context"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// CommitOutcome is what the rows say of a commit whose answer was lost.
type CommitOutcome uint8

// The settlements. The zero value claims least.
const (
	// CommitIndeterminate means that other writes came after, so that the rows no
	// longer tell whether the commit was applied before them.
	CommitIndeterminate CommitOutcome = iota
	// CommitApplied means that the commit was applied.
	CommitApplied
	// CommitConflict means that the commit was not applied and never will be,
	// as another write came first.
	CommitConflict
	// CommitPending means that the commit was not applied so far. The request
	// may still be on its way; sending it again under the same operation ID is
	// idempotent, as the expected versions let only one of both take effect.
	CommitPending
)

// ResolveCommit reads back the rows of a commit whose outcome is unknown. The rows
// are returned in the order of the writes; one that does not exist is nil.
//
// A deleted row carries no operation ID, and a row that was deleted and
// written again may have its old version; a commit that is to be settled
// holds at least one write whose key is never deleted.
func ResolveCommit(ctx context.Context, table Table, opID string, writes []Write) (CommitOutcome, []*Row, error) {
	rows := make([]*Row, len(writes))
	all := func(int) bool { return true }
	if err := readBack(ctx, table, writes, rows, all); err != nil {
		return CommitIndeterminate, nil, err
	}
	first := judge(opID, writes, rows)
	if first != CommitConflict {
		return first, rows, nil
	}
	// The rows are not read at one moment. Those that were unchanged must
	// still be so after the changed ones were seen.
	unchanged := func(i int) bool { return rowVersion(rows[i]) == writes[i].IfVersion }
	if err := readBack(ctx, table, writes, rows, unchanged); err != nil {
		return CommitIndeterminate, nil, err
	}
	return judge(opID, writes, rows), rows, nil
}

// readBack reads the rows whose index passes the filter.
func readBack(ctx context.Context, table Table, writes []Write, rows []*Row, filter func(int) bool) error {
	for i, write := range writes {
		if !filter(i) {
			continue
		}
		row, err := table.Get(ctx, write.Key)
		if err != nil {
			return errors.Wrap(err, "settle")
		}
		rows[i] = row
	}
	return nil
}

func judge(opID string, writes []Write, rows []*Row) CommitOutcome {
	changed, unchanged := 0, 0
	for i, row := range rows {
		switch {
		case row != nil && row.OpID == opID:
			return CommitApplied
		case rowVersion(row) == writes[i].IfVersion:
			unchanged++
		default:
			changed++
		}
	}
	switch {
	case changed == 0:
		return CommitPending
	case unchanged > 0:
		return CommitConflict
	default:
		return CommitIndeterminate
	}
}

func rowVersion(row *Row) model.RowVersion {
	if row == nil {
		return 0
	}
	return row.Version
}
