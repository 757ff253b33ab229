package platform

import (
	"context"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// CommitOutcome is the outcome of a commit whose answer was lost, as far as the rows
// show it.
type CommitOutcome uint8

// The outcomes. The zero value is the one that states least.
const (
	// CommitIndeterminate means that other commits have changed all rows, which
	// therefore do not show whether this commit was applied before.
	CommitIndeterminate CommitOutcome = iota
	// CommitApplied means that the commit was applied.
	CommitApplied
	// CommitConflict means that the commit was not applied and never will be, since
	// another commit has changed one of its rows.
	CommitConflict
	// CommitPending means that the commit was not applied so far. The request may
	// still arrive. The commit may be sent again with the same operation ID: the
	// expected versions let only one of the two requests take effect.
	CommitPending
)

// ResolveCommit finds the outcome of a commit from its rows. It returns the rows in
// the order of the writes; a row that does not exist is nil.
//
// A deleted row has no operation ID, and a row that was deleted and written again
// may have its old version. The commit must therefore contain at least one write
// whose key is never deleted.
func ResolveCommit(ctx context.Context, table Table, opID string, writes []Write) (CommitOutcome, []*Row, error) {
	rows := make([]*Row, len(writes))
	all := func(int) bool { return true }
	if err := readBack(ctx, table, writes, rows, all); err != nil {
		return CommitIndeterminate, nil, err
	}
	first := outcomeOf(opID, writes, rows)
	if first != CommitConflict {
		return first, rows, nil
	}
	// The rows are not read at one point in time. Those that were unchanged must
	// still be unchanged after the changed ones were read.
	unchanged := func(i int) bool { return rowVersion(rows[i]) == writes[i].IfVersion }
	if err := readBack(ctx, table, writes, rows, unchanged); err != nil {
		return CommitIndeterminate, nil, err
	}
	return outcomeOf(opID, writes, rows), rows, nil
}

// readBack reads the rows whose index passes the filter into rows.
func readBack(ctx context.Context, table Table, writes []Write, rows []*Row, filter func(int) bool) error {
	for i, write := range writes {
		if !filter(i) {
			continue
		}
		row, err := table.Get(ctx, write.Key)
		if err != nil {
			return errors.Wrap(err, "read back row of commit")
		}
		rows[i] = row
	}
	return nil
}

// outcomeOf derives the outcome of the commit opID from the rows.
func outcomeOf(opID string, writes []Write, rows []*Row) CommitOutcome {
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

// rowVersion returns the version of a row, or 0 for a row that does not exist.
func rowVersion(row *Row) model.RowVersion {
	if row == nil {
		return 0
	}
	return row.Version
}
