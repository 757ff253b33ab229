package upstreamd

import (
	"context"

	"gypsumdock/testbench/upstreamd/sql"
)

// writable fails where the transaction may not write.
func (e *executor) writable() error {
	n := e.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.primary || e.tx.readOnly {
		return sql.Errorf(sql.CodeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return nil
}

// write adds a change to the transaction and logs it. The caller holds the
// mutex and the row lock.
func (e *executor) write(c change) {
	e.tx.changes = append(e.tx.changes, c)
	e.tx.overlay[c.key] = c
	e.node.writes.Add(1)
	e.record(EntryWrite, e.node.timeline, e.node.position(e.node.replayed), c)
}

func (e *executor) insert(ctx context.Context, insert sql.Insert) (result, error) {
	if err := e.writable(); err != nil {
		return result{}, err
	}
	env := &rowEnv{ctx: ctx, exec: e}
	written := []change{}
	for _, row := range insert.Rows {
		key, err := sql.Eval(row.Key, env)
		if err != nil {
			return result{}, err
		}
		value, err := sql.Eval(row.Value, env)
		if err != nil {
			return result{}, err
		}
		c := change{key: key.Text, value: value.Text}
		stored, err := e.insertRow(ctx, c, insert.OnConflict)
		if err != nil {
			return result{}, err
		}
		if stored {
			written = append(written, c)
		}
	}
	return e.written("INSERT 0", insert.Returning, env, written)
}

// insertRow reports whether the row was stored.
func (e *executor) insertRow(ctx context.Context, c change, conflict sql.Conflict) (bool, error) {
	if err := e.node.lock(ctx, c.key, e.tx); err != nil {
		return false, err
	}
	e.node.mu.Lock()
	defer e.node.mu.Unlock()
	_, exists := e.lookup(c.key)
	if exists && conflict == sql.ConflictIgnored {
		return false, nil
	}
	if exists && conflict == sql.ConflictFails {
		return false, sql.Errorf(sql.CodeUniqueViolation,
			"duplicate key value violates unique constraint \"records_pkey\"")
	}
	e.write(c)
	return true, nil
}

func (e *executor) update(ctx context.Context, update sql.Update) (result, error) {
	return e.rewrite(ctx, "UPDATE", update.Where, update.Returning, func(env *rowEnv) (change, error) {
		value, err := sql.Eval(update.Value, env)
		return change{key: env.row.key, value: value.Text}, err
	})
}

func (e *executor) remove(ctx context.Context, remove sql.Delete) (result, error) {
	return e.rewrite(ctx, "DELETE", remove.Where, remove.Returning, func(env *rowEnv) (change, error) {
		return change{key: env.row.key, value: env.row.value, deleted: true}, nil
	})
}

// rewrite replaces the records that match by what replace makes of them.
func (e *executor) rewrite(
	ctx context.Context, verb string, where []sql.Condition, returning []sql.Item,
	replace func(*rowEnv) (change, error),
) (result, error) {
	if err := e.writable(); err != nil {
		return result{}, err
	}
	wanted, err := e.wanted(ctx, where)
	if err != nil {
		return result{}, err
	}
	env := &rowEnv{ctx: ctx, exec: e}
	written := []change{}
	for _, key := range e.candidates(wanted) {
		if err = e.node.lock(ctx, key, e.tx); err != nil {
			return result{}, err
		}
		c, matches, err := e.rewriteRow(key, wanted, env, replace)
		if err != nil {
			return result{}, err
		}
		if matches {
			written = append(written, c)
		}
	}
	return e.written(verb, returning, env, written)
}

func (e *executor) candidates(wanted map[sql.Column]string) []string {
	if key, byKey := wanted[sql.ColumnKey]; byKey {
		return []string{key}
	}
	e.node.mu.Lock()
	defer e.node.mu.Unlock()
	var keys []string
	for _, row := range e.match(wanted) {
		keys = append(keys, row.key)
	}
	return keys
}

func (e *executor) rewriteRow(
	key string, wanted map[sql.Column]string, env *rowEnv, replace func(*rowEnv) (change, error),
) (change, bool, error) {
	e.node.mu.Lock()
	row, found := e.lookup(key)
	e.node.mu.Unlock()
	value, byValue := wanted[sql.ColumnValue]
	if !found || byValue && row.value != value {
		return change{}, false, nil
	}
	env.row = &row
	c, err := replace(env)
	if err != nil {
		return change{}, false, err
	}
	e.node.mu.Lock()
	defer e.node.mu.Unlock()
	e.write(c)
	return c, true, nil
}

func (e *executor) written(verb string, returning []sql.Item, env *rowEnv, rows []change) (result, error) {
	if returning == nil {
		return result{tag: countTag(verb, len(rows))}, nil
	}
	return e.project(returning, env, verb, rows)
}
