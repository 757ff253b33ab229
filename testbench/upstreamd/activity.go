package upstreamd

import "gypsumdock/testbench/upstreamd/sql"

// activity answers a search of pg_stat_activity by the clients' names: a
// count, or pg_terminate_backend for each connection found.
func (e *executor) activity(query sql.Select, env *rowEnv) (result, error) {
	name, err := e.searchedName(query, env)
	if err != nil {
		return result{}, err
	}
	found := e.node.named(name)
	if counts(query.Items) {
		env.count = len(found)
		return e.project(query.Items, env, "SELECT", nil)
	}
	call, isCall := query.Items[0].Expr.(sql.Call)
	if !isCall || call.Name != "pg_terminate_backend" {
		return result{}, sql.Errorf(sql.CodeUndefinedFunction, "only count and pg_terminate_backend are served here")
	}
	for _, c := range found {
		c.terminate()
	}
	env.count = len(found)
	return e.project([]sql.Item{{Expr: sql.Call{Name: "count"}, Name: call.Name}}, env, "SELECT", nil)
}

func (e *executor) searchedName(query sql.Select, env *rowEnv) (string, error) {
	if len(query.Where) != 1 || query.Where[0].Column != sql.ColumnApplication {
		return "", sql.Errorf(sql.CodeUndefinedColumn, "a search by application_name is needed")
	}
	value, err := sql.Eval(query.Where[0].Equals, env)
	return value.Text, err
}

// named returns the node's open connections whose client gave the name.
func (n *node) named(name string) []*conn {
	var found []*conn
	backends.open.Range(func(_, value any) bool {
		if c := value.(*conn); c.node == n && c.application == name {
			found = append(found, c)
		}
		return true
	})
	return found
}
