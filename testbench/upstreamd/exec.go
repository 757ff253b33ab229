package upstreamd

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/testbench/upstreamd/sql"
)

// transaction holds the changes of an open transaction.
type transaction struct {
	id       uint64
	readOnly bool
	// implicit transactions belong to one statement or one simple query.
	implicit bool
	failed   bool
	changes  []change
	overlay  map[string]change
	locked   []string
}

// result is what a statement returns.
type result struct {
	tag string
	// next yields the rows; nil stands for no rows.
	next func() ([]sql.Value, bool)
}

// executor runs the statements of one connection.
type executor struct {
	node    *node
	backend uint32
	tx      *transaction
	// text is the statement being run, for the log.
	text   string
	params []sql.Value
}

func (e *executor) begin(readOnly, implicit bool) {
	if e.tx != nil {
		e.tx.readOnly = e.tx.readOnly || readOnly
		e.tx.implicit = e.tx.implicit && implicit
		return
	}
	id := e.node.group.transactions.Add(1)
	e.tx = &transaction{id: id, readOnly: readOnly, implicit: implicit, overlay: make(map[string]change)}
}

func (e *executor) rollback() {
	if e.tx == nil {
		return
	}
	e.node.mu.Lock()
	defer e.node.mu.Unlock()
	e.node.unlock(e.tx)
	e.tx = nil
}

// commit ends the transaction and reports whether it was committed.
func (e *executor) commit() (bool, error) {
	tx := e.tx
	if tx == nil {
		return true, nil
	}
	if tx.failed {
		e.rollback()
		return false, nil
	}
	n := e.node
	n.mu.Lock()
	defer n.mu.Unlock()
	defer func() { e.tx = nil }()
	defer n.unlock(tx)
	if len(tx.changes) == 0 {
		return true, nil
	}
	at, err := n.commit(tx.changes)
	if err != nil {
		return false, err
	}
	for _, c := range tx.changes {
		e.record(EntryCommit, n.timeline, at, c)
	}
	return true, nil
}

func (e *executor) record(kind EntryKind, timeline uint32, at model.LSN, c change) {
	entry := Entry{
		Group: e.node.group.id, Upstream: e.node.id, Timeline: timeline, LSN: at, Kind: kind,
		SQL: e.text, Key: c.key, Value: c.value, Deleted: c.deleted, Backend: e.backend,
	}
	if e.tx != nil {
		entry.Transaction = e.tx.id
	}
	e.node.log.add(entry)
}

// run executes one statement. A statement outside a transaction is committed
// before it returns.
func (e *executor) run(ctx context.Context, statement sql.Statement) (result, error) {
	if e.tx != nil && e.tx.failed && !endsTransaction(statement) {
		return result{}, sql.Errorf(sql.CodeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	if done, res, err := e.control(statement); done {
		return res, err
	}
	alone := e.tx == nil
	if alone {
		e.begin(false, true)
	}
	res, err := e.timed(ctx, statement)
	if err == nil && alone {
		_, err = e.commit()
	}
	if err != nil {
		e.fail()
	}
	return res, err
}

// fail marks the open transaction as failed; an implicit one is rolled back.
func (e *executor) fail() {
	if e.tx == nil {
		return
	}
	if e.tx.implicit {
		e.rollback()
		return
	}
	e.tx.failed = true
}

func endsTransaction(statement sql.Statement) bool {
	switch statement.(type) {
	case sql.Commit, sql.Rollback:
		return true
	default:
		return false
	}
}

// control runs the statements that take no slot.
func (e *executor) control(statement sql.Statement) (bool, result, error) {
	switch s := statement.(type) {
	case sql.Begin:
		e.begin(s.ReadOnly, false)
		return true, result{tag: "BEGIN"}, nil
	case sql.Commit:
		committed, err := e.commit()
		if err != nil {
			return true, result{}, err
		}
		if !committed {
			return true, result{tag: "ROLLBACK"}, nil
		}
		return true, result{tag: "COMMIT"}, nil
	case sql.Rollback:
		e.rollback()
		return true, result{tag: "ROLLBACK"}, nil
	case sql.Set:
		if e.tx != nil && s.ReadOnly {
			e.tx.readOnly = true
		}
		return true, result{tag: "SET"}, nil
	case sql.Show:
		return true, oneRow("SHOW", []sql.Value{sql.Text(e.setting(s.Name))}), nil
	case sql.Discard:
		return true, result{tag: "DISCARD ALL"}, nil
	case sql.Deallocate:
		return true, result{tag: "DEALLOCATE"}, nil
	}
	return false, result{}, nil
}

func (e *executor) setting(name string) string {
	if name == "transaction_read_only" || name == "default_transaction_read_only" {
		e.node.mu.Lock()
		defer e.node.mu.Unlock()
		if e.node.primary {
			return "off"
		}
		return "on"
	}
	return ""
}

// timed holds a slot for the time that the statement takes.
func (e *executor) timed(ctx context.Context, statement sql.Statement) (result, error) {
	if isSystem(statement) {
		return e.execute(ctx, statement)
	}
	release, err := e.node.slot(ctx)
	if err != nil {
		return result{}, err
	}
	defer release()
	if err = sleep(ctx, e.node.currentCosts().statement()); err != nil {
		return result{}, err
	}
	if !e.node.waitThawed(ctx) {
		return result{}, sql.Errorf(sql.CodeCancelled, "canceling statement due to user request")
	}
	return e.execute(ctx, statement)
}

// isSystem reports whether a statement reads no table and calls nothing that
// takes time.
func isSystem(statement sql.Statement) bool {
	query, isSelect := statement.(sql.Select)
	if !isSelect || query.FromRecords {
		return false
	}
	return !slices.ContainsFunc(query.Items, func(item sql.Item) bool {
		call, isCall := item.Expr.(sql.Call)
		return isCall && (call.Name == "pg_sleep" || call.Name == "generate_series")
	})
}

func (n *node) slot(ctx context.Context) (func(), error) {
	if n.slots == nil {
		return func() {}, nil
	}
	n.queued.Add(1)
	defer n.queued.Add(-1)
	select {
	case n.slots <- struct{}{}:
		return func() { <-n.slots }, nil
	case <-ctx.Done():
		return nil, sql.Errorf(sql.CodeCancelled, "canceling statement due to user request")
	}
}

func (n *node) currentCosts() Costs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.costs
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return sql.Errorf(sql.CodeCancelled, "canceling statement due to user request")
	}
}

func (e *executor) execute(ctx context.Context, statement sql.Statement) (result, error) {
	switch s := statement.(type) {
	case sql.Select:
		return e.selectRows(ctx, s)
	case sql.Insert:
		return e.insert(ctx, s)
	case sql.Update:
		return e.update(ctx, s)
	case sql.Delete:
		return e.remove(ctx, s)
	}
	return result{}, sql.Errorf(sql.CodeUnsupported, "unsupported statement %T", statement)
}

func oneRow(tag string, row []sql.Value) result { return rowsOf(tag, [][]sql.Value{row}) }

func rowsOf(tag string, rows [][]sql.Value) result {
	return result{tag: tag, next: func() ([]sql.Value, bool) {
		if len(rows) == 0 {
			return nil, false
		}
		row := rows[0]
		rows = rows[1:]
		return row, true
	}}
}

func countTag(verb string, count int) string { return fmt.Sprintf("%s %d", verb, count) }
