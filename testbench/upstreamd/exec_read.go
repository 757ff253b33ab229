package upstreamd

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"gypsumdock/testbench/upstreamd/sql"
)

// rowEnv evaluates expressions for one row of the table, or for none.
type rowEnv struct {
	ctx  context.Context
	exec *executor
	row  *change
	from *sql.Call
	// count is the number of rows, for count(*).
	count int
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Param returns a parameter.
func (r *rowEnv) Param(number int) (sql.Value, error) {
	if number > len(r.exec.params) {
		return sql.Value{}, sql.Errorf(sql.CodeUndefinedParameter, "there is no parameter $%d", number)
	}
	return r.exec.params[number-1], nil
}

// Column returns a column of the row.
func (r *rowEnv) Column(name sql.Column) (sql.Value, error) {
	switch {
	case r.row != nil && name == sql.ColumnKey:
		return sql.Text(r.row.key), nil
	case r.row != nil && name == sql.ColumnValue:
		return sql.Text(r.row.value), nil
	case r.from != nil:
		return r.Field(r.from.Name, string(name))
	case name == "current_user" || name == "session_user":
		return sql.Text(r.exec.node.group.spec.User), nil
	}
	return sql.Value{}, sql.Errorf(sql.CodeUndefinedColumn, "column %q does not exist", string(name))
}

// Field returns a field of pg_control_checkpoint() or pg_stat_wal_receiver.
func (r *rowEnv) Field(function, field string) (sql.Value, error) {
	if function == sql.ViewWALReceiver {
		return r.exec.node.receiverField(field)
	}
	if function != "pg_control_checkpoint" {
		return sql.Value{}, sql.Errorf(sql.CodeUndefinedFunction, "function %s() has no field %q", function, field)
	}
	n := r.exec.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.replicate()
	switch field {
	case "timeline_id", "prev_timeline_id":
		return sql.Int4(int64(n.timeline)), nil
	case "checkpoint_lsn", "redo_lsn":
		return sql.Value{Type: sql.TypeLSN, Text: n.position(n.replayed).String()}, nil
	}
	return sql.Value{}, sql.Errorf(sql.CodeUndefinedColumn, "column %q does not exist", field)
}

// Call calls a function.
func (r *rowEnv) Call(name string, args []sql.Value) (sql.Value, error) {
	switch name {
	case "count":
		return sql.Int8(int64(r.count)), nil
	case "version":
		return sql.Text("PostgreSQL " + serverVersion + " (stand-in)"), nil
	case "current_database":
		return sql.Text(r.exec.node.group.spec.Database), nil
	case "pg_backend_pid":
		return sql.Int4(int64(r.exec.backend)), nil
	case "pg_sleep":
		return r.sleep(args)
	case "pg_promote":
		return r.promote()
	}
	return r.exec.node.logFunction(name)
}

func (r *rowEnv) sleep(args []sql.Value) (sql.Value, error) {
	if len(args) != 1 {
		return sql.Value{}, sql.Errorf(sql.CodeUndefinedFunction, "pg_sleep takes one argument")
	}
	seconds, err := args[0].Float()
	if err != nil {
		return sql.Value{}, err
	}
	return sql.Value{Type: sql.TypeVoid}, sleep(r.ctx, secondsOf(seconds))
}

func (r *rowEnv) promote() (sql.Value, error) {
	n := r.exec.node
	if err := sleep(r.ctx, n.currentCosts().promote()); err != nil {
		return sql.Value{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return sql.Bool(true), n.promote()
}

// logFunction answers PostgreSQL's functions on the write-ahead log.
func (n *node) logFunction(name string) (sql.Value, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.replicate()
	switch name {
	case "pg_is_in_recovery":
		return sql.Bool(!n.primary), nil
	case "pg_current_wal_lsn", "pg_current_wal_insert_lsn", "pg_current_wal_flush_lsn":
		if !n.primary {
			return sql.Value{}, sql.Errorf(sql.CodeNotInState, "recovery is in progress")
		}
		return sql.Value{Type: sql.TypeLSN, Text: n.position(len(n.wal)).String()}, nil
	case "pg_last_wal_replay_lsn":
		return n.replicaPosition(n.replayed), nil
	case "pg_last_wal_receive_lsn":
		return n.replicaPosition(len(n.wal)), nil
	}
	return sql.Value{}, sql.Errorf(sql.CodeUndefinedFunction, "function %s() does not exist", name)
}

// replicaPosition returns the position of a replica. A primary that was
// promoted keeps the position at which its recovery ended.
func (n *node) replicaPosition(count int) sql.Value {
	if !n.primary {
		return sql.Value{Type: sql.TypeLSN, Text: n.position(count).String()}
	}
	if n.recoveredAt == 0 {
		return sql.Null(sql.TypeLSN)
	}
	return sql.Value{Type: sql.TypeLSN, Text: n.recoveredAt.String()}
}

func (e *executor) selectRows(ctx context.Context, query sql.Select) (result, error) {
	env := &rowEnv{ctx: ctx, exec: e, from: query.From}
	if query.From != nil && query.From.Name == sql.ViewActivity {
		return e.activity(query, env)
	}
	if !query.FromRecords {
		return e.selectValues(query, env)
	}
	rows, err := e.find(ctx, query.Where, query.ForUpdate)
	if err != nil {
		return result{}, err
	}
	if counts(query.Items) {
		env.count = len(rows)
		return e.project(query.Items, env, "SELECT", nil)
	}
	if rows, err = e.limited(rows, query.Limit, env); err != nil {
		return result{}, err
	}
	return e.project(query.Items, env, "SELECT", rows)
}

func counts(items []sql.Item) bool {
	call, isCall := items[0].Expr.(sql.Call)
	return isCall && call.Name == "count"
}

func (e *executor) limited(rows []change, limit sql.Expr, env *rowEnv) ([]change, error) {
	if limit == nil {
		return rows, nil
	}
	value, err := sql.Eval(limit, env)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(value.Text)
	if err != nil || count < 0 {
		return nil, sql.Errorf(sql.CodeInvalidText, "invalid LIMIT %q", value.Text)
	}
	return rows[:min(count, len(rows))], nil
}

func (e *executor) selectValues(query sql.Select, env *rowEnv) (result, error) {
	if call, isCall := query.Items[0].Expr.(sql.Call); isCall && call.Name == "generate_series" {
		return series(call, env)
	}
	if query.From != nil && query.From.Name == sql.ViewWALReceiver && !e.node.isStreaming() {
		return result{tag: countTag("SELECT", 0), next: noRows}, nil
	}
	return e.project(query.Items, env, "SELECT", nil)
}

func noRows() ([]sql.Value, bool) { return nil, false }

// series yields its rows one by one, so that a large result takes no memory.
func series(call sql.Call, env *rowEnv) (result, error) {
	if len(call.Args) != 2 {
		return result{}, sql.Errorf(sql.CodeUndefinedFunction, "generate_series takes two arguments")
	}
	var bounds [2]int64
	for i, arg := range call.Args {
		value, err := sql.Eval(arg, env)
		if err != nil {
			return result{}, err
		}
		if bounds[i], err = strconv.ParseInt(value.Text, 10, 64); err != nil {
			return result{}, sql.Errorf(sql.CodeInvalidText, "invalid integer %q", value.Text)
		}
	}
	at, last := bounds[0], bounds[1]
	next := func() ([]sql.Value, bool) {
		if at > last {
			return nil, false
		}
		at++
		return []sql.Value{sql.Int4(at - 1)}, true
	}
	return result{tag: countTag("SELECT", int(max(0, last-at+1))), next: next}, nil
}

// project evaluates items for each row; nil rows stand for one row without
// columns.
func (e *executor) project(items []sql.Item, env *rowEnv, verb string, rows []change) (result, error) {
	single := rows == nil
	if single {
		rows = []change{{}}
	}
	projected := make([][]sql.Value, 0, len(rows))
	for i := range rows {
		if !single {
			env.row = &rows[i]
		}
		row := make([]sql.Value, 0, len(items))
		for _, item := range items {
			value, err := sql.Eval(item.Expr, env)
			if err != nil {
				return result{}, err
			}
			row = append(row, value)
		}
		projected = append(projected, row)
	}
	return rowsOf(countTag(verb, len(projected)), projected), nil
}

// find returns the records that match, ordered by key, and logs the read.
func (e *executor) find(ctx context.Context, where []sql.Condition, lock bool) ([]change, error) {
	wanted, err := e.wanted(ctx, where)
	if err != nil {
		return nil, err
	}
	if lock {
		if err = e.writable(); err != nil {
			return nil, err
		}
		if key, byKey := wanted[sql.ColumnKey]; byKey {
			if err = e.node.lock(ctx, key, e.tx); err != nil {
				return nil, err
			}
		}
	}
	n := e.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.replicate()
	rows := e.match(wanted)
	if !lock {
		n.reads.Add(1)
		first := change{key: wanted[sql.ColumnKey]}
		if len(rows) > 0 {
			first = rows[0]
		}
		e.record(EntryRead, n.timeline, n.position(n.replayed), first)
	}
	return rows, nil
}

func (e *executor) wanted(ctx context.Context, where []sql.Condition) (map[sql.Column]string, error) {
	env := &rowEnv{ctx: ctx, exec: e}
	wanted := make(map[sql.Column]string, len(where))
	for _, condition := range where {
		value, err := sql.Eval(condition.Equals, env)
		if err != nil {
			return nil, err
		}
		wanted[condition.Column] = value.Text
	}
	return wanted, nil
}

// match returns the records with the wanted columns, as the transaction sees
// them. The caller holds the mutex. The result is not nil.
func (e *executor) match(wanted map[sql.Column]string) []change {
	rows := []change{}
	value, byValue := wanted[sql.ColumnValue]
	accept := func(key string) {
		row, found := e.lookup(key)
		if found && (!byValue || row.value == value) {
			rows = append(rows, row)
		}
	}
	if key, byKey := wanted[sql.ColumnKey]; byKey {
		accept(key)
		return rows
	}
	keys := maps.Clone(e.node.table)
	for key := range e.tx.overlay {
		keys[key] = ""
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		accept(key)
	}
	return rows
}

// lookup returns a record as the transaction sees it. The caller holds the
// mutex.
func (e *executor) lookup(key string) (change, bool) {
	if own, changed := e.tx.overlay[key]; changed {
		return own, !own.deleted
	}
	value, found := e.node.table[key]
	return change{key: key, value: value}, found
}
