package sql

// functionTypes are the result types of the functions that are not text.
var functionTypes = map[string]Type{
	"count":                   TypeInt8,
	"generate_series":         TypeInt4,
	"pg_is_in_recovery":       TypeBool,
	"pg_promote":              TypeBool,
	"pg_current_wal_lsn":      TypeLSN,
	"pg_last_wal_replay_lsn":  TypeLSN,
	"pg_last_wal_receive_lsn": TypeLSN,
	"pg_sleep":                TypeVoid,
	"pg_backend_pid":          TypeInt4,
}

// fieldTypes are the types of the fields of pg_control_checkpoint and of
// pg_stat_wal_receiver that are not text.
var fieldTypes = map[string]Type{
	"timeline_id":      TypeInt4,
	"prev_timeline_id": TypeInt4,
	"checkpoint_lsn":   TypeLSN,
	"redo_lsn":         TypeLSN,
	"sender_port":      TypeInt4,
	"received_tli":     TypeInt4,
}

// TypeOf returns the type of an expression's value.
func TypeOf(expr Expr) Type {
	switch e := expr.(type) {
	case Literal:
		return e.Value.Type
	case Cast:
		return e.To
	case Field:
		return typeOr(fieldTypes, e.Name)
	case Column:
		return typeOr(fieldTypes, string(e))
	case Case:
		return TypeOf(e.Branches[0].Then)
	case Binary:
		return binaryType(e.Operator)
	case Call:
		if e.Name == "coalesce" && len(e.Args) > 0 {
			return TypeOf(e.Args[0])
		}
		return typeOr(functionTypes, e.Name)
	default:
		return TypeText
	}
}

func binaryType(operator string) Type {
	switch operator {
	case "||":
		return TypeText
	case "+", "-":
		return TypeInt8
	default:
		return TypeBool
	}
}

func typeOr(types map[string]Type, name string) Type {
	if t, found := types[name]; found {
		return t
	}
	return TypeText
}

// Columns returns the items of a statement's result, nil for a statement
// without rows.
func Columns(statement Statement) []Item {
	switch s := statement.(type) {
	case Select:
		return s.Items
	case Insert:
		return s.Returning
	case Update:
		return s.Returning
	case Delete:
		return s.Returning
	case Show:
		return []Item{{Expr: Literal{Text("")}, Name: s.Name}}
	default:
		return nil
	}
}

// Params returns the types of a statement's parameters, in their order.
func Params(statement Statement) []Type {
	var found paramTypes
	switch s := statement.(type) {
	case Select:
		found.items(s.Items)
		found.conditions(s.Where)
		found.visit(s.Limit, TypeInt8)
		if s.From != nil {
			found.visit(*s.From, TypeText)
		}
	case Insert:
		for _, row := range s.Rows {
			found.visit(row.Key, TypeText)
			found.visit(row.Value, TypeText)
		}
		found.items(s.Returning)
	case Update:
		found.visit(s.Value, TypeText)
		found.conditions(s.Where)
		found.items(s.Returning)
	case Delete:
		found.conditions(s.Where)
		found.items(s.Returning)
	}
	return found
}

type paramTypes []Type

func (p *paramTypes) items(items []Item) {
	for _, item := range items {
		p.visit(item.Expr, TypeText)
	}
}

func (p *paramTypes) conditions(conditions []Condition) {
	for _, condition := range conditions {
		p.visit(condition.Equals, TypeText)
	}
}

// visit notes the parameters in expr; a bare parameter gets the type wanted.
func (p *paramTypes) visit(expr Expr, wanted Type) {
	switch e := expr.(type) {
	case Param:
		p.note(e.Number, wanted)
	case Cast:
		p.visit(e.Of, e.To)
	case Field:
		p.visit(e.Of, TypeText)
	case Case:
		for _, branch := range e.Branches {
			p.visit(branch.When, TypeBool)
			p.visit(branch.Then, wanted)
		}
		p.visit(e.Else, wanted)
	case Binary:
		p.visit(e.Left, TypeText)
		p.visit(e.Right, TypeText)
	case Call:
		for _, arg := range e.Args {
			p.visit(arg, argumentType(e.Name))
		}
	}
}

func (p *paramTypes) note(number int, t Type) {
	for len(*p) < number {
		*p = append(*p, TypeText)
	}
	(*p)[number-1] = t
}

func argumentType(function string) Type {
	switch function {
	case "pg_sleep":
		return TypeFloat8
	case "generate_series":
		return TypeInt4
	default:
		return TypeText
	}
}
