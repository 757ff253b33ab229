package sql

import "strconv"

// maxParams is the protocol's limit on the parameters of a statement.
const maxParams = 65535

func (p *parser) selection() (Statement, error) {
	items, err := p.items()
	if err != nil {
		return nil, err
	}
	query := Select{Items: items}
	if p.acceptWord("from") {
		if err = p.source(&query); err != nil {
			return nil, err
		}
	}
	if query.Where, err = p.where(); err != nil {
		return nil, err
	}
	if err = p.order(); err != nil {
		return nil, err
	}
	if p.acceptWord("limit") {
		if query.Limit, err = p.operand(); err != nil {
			return nil, err
		}
	}
	if p.acceptWord("for") {
		query.ForUpdate = true
		return query, p.expect("update")
	}
	return query, nil
}

func (p *parser) order() error {
	if !p.acceptWord("order") {
		return nil
	}
	return p.expect("by", "key")
}

func (p *parser) source(query *Select) error {
	next := p.peek()
	if next.text == "records" || next.text == "public" {
		query.FromRecords = true
		return p.table()
	}
	for _, view := range []string{ViewWALReceiver, ViewActivity} {
		if p.acceptWord(view) {
			query.From = &Call{Name: view}
			return nil
		}
	}
	expr, err := p.operand()
	if err != nil {
		return err
	}
	call, isCall := expr.(Call)
	if !isCall {
		return Errorf(CodeUndefinedTable, "relation %q does not exist", next.text)
	}
	query.From = &call
	p.alias()
	return nil
}

func (p *parser) items() ([]Item, error) {
	var items []Item
	for {
		if p.acceptSymbol("*") {
			items = append(items, Item{ColumnKey, string(ColumnKey)}, Item{ColumnValue, string(ColumnValue)})
		} else {
			expr, err := p.expr()
			if err != nil {
				return nil, err
			}
			item := Item{Expr: expr, Name: nameOf(expr)}
			if alias := p.alias(); alias != "" {
				item.Name = alias
			}
			items = append(items, item)
		}
		if !p.acceptSymbol(",") {
			return items, nil
		}
	}
}

// alias takes an optional AS name.
func (p *parser) alias() string {
	if !p.acceptWord("as") {
		return ""
	}
	return p.take().text
}

func nameOf(expr Expr) string {
	switch e := expr.(type) {
	case Column:
		return string(e)
	case Call:
		return e.Name
	case Field:
		return e.Name
	case Cast:
		return nameOf(e.Of)
	case Case:
		return "case"
	default:
		return "?column?"
	}
}

// levels are the binary operators by rising precedence.
var levels = [][]string{
	{"or"},
	{"and"},
	{"=", "<>", "!=", "<", ">", "<=", ">="},
	{"+", "-", "||"},
}

func (p *parser) expr() (Expr, error) { return p.level(0) }

func (p *parser) level(depth int) (Expr, error) {
	if depth == len(levels) {
		return p.operand()
	}
	left, err := p.level(depth + 1)
	if err != nil {
		return nil, err
	}
	for {
		operator, found := p.operator(levels[depth])
		if !found {
			return left, nil
		}
		right, err := p.level(depth + 1)
		if err != nil {
			return nil, err
		}
		left = Binary{Operator: operator, Left: left, Right: right}
	}
}

func (p *parser) operator(operators []string) (string, bool) {
	for _, operator := range operators {
		if p.acceptSymbol(operator) || p.acceptWord(operator) {
			return operator, true
		}
	}
	return "", false
}

// operand reads a term with its field selections and casts.
func (p *parser) operand() (Expr, error) {
	expr, err := p.term()
	if err != nil {
		return nil, err
	}
	for {
		switch {
		case p.acceptSymbol("."):
			expr = Field{Of: expr, Name: p.take().text}
		case p.acceptSymbol("::"):
			expr = Cast{Of: expr, To: typeNamed(p.take().text)}
		default:
			return expr, nil
		}
	}
}

func (p *parser) term() (Expr, error) {
	next := p.take()
	switch next.kind {
	case tokenString:
		return Literal{Text(next.text)}, nil
	case tokenNumber:
		return number(next.text), nil
	case tokenParam:
		position, err := strconv.Atoi(next.text)
		if err != nil || position < 1 || position > maxParams {
			return nil, Errorf(CodeUndefinedParameter, "there is no parameter $%s", next.text)
		}
		return Param{Number: position}, nil
	case tokenWord, tokenQuoted:
		return p.word(next)
	}
	p.at--
	if p.acceptSymbol("(") {
		inner, err := p.expr()
		if err != nil {
			return nil, err
		}
		return inner, p.expect(")")
	}
	return nil, p.unexpected()
}

func number(text string) Expr {
	if _, err := strconv.ParseInt(text, 10, 32); err == nil {
		return Literal{Value{Type: TypeInt4, Text: text}}
	}
	if _, err := strconv.ParseInt(text, 10, 64); err == nil {
		return Literal{Value{Type: TypeInt8, Text: text}}
	}
	return Literal{Value{Type: TypeFloat8, Text: text}}
}

func (p *parser) word(word token) (Expr, error) {
	switch word.text {
	case "case":
		return p.searchedCase()
	case "true", "false":
		return Literal{Bool(word.text == "true")}, nil
	case "null":
		return Literal{Null(TypeText)}, nil
	}
	if word.text == "pg_catalog" && p.acceptSymbol(".") {
		word = p.take()
	}
	if !p.acceptSymbol("(") {
		return Column(word.text), nil
	}
	call := Call{Name: word.text}
	if p.acceptSymbol("*") || p.peek().text == ")" {
		return call, p.expect(")")
	}
	for {
		arg, err := p.expr()
		if err != nil {
			return nil, err
		}
		call.Args = append(call.Args, arg)
		if !p.acceptSymbol(",") {
			return call, p.expect(")")
		}
	}
}

func (p *parser) searchedCase() (Expr, error) {
	var result Case
	for p.acceptWord("when") {
		when, err := p.expr()
		if err != nil {
			return nil, err
		}
		if err = p.expect("then"); err != nil {
			return nil, err
		}
		then, err := p.expr()
		if err != nil {
			return nil, err
		}
		result.Branches = append(result.Branches, Branch{When: when, Then: then})
	}
	if len(result.Branches) == 0 {
		return nil, p.unexpected()
	}
	if p.acceptWord("else") {
		var err error
		if result.Else, err = p.expr(); err != nil {
			return nil, err
		}
	}
	return result, p.expect("end")
}

func typeNamed(name string) Type {
	switch name {
	case "bool", "boolean":
		return TypeBool
	case "int", "int4", "integer":
		return TypeInt4
	case "int8", "bigint":
		return TypeInt8
	case "float8":
		return TypeFloat8
	case "pg_lsn":
		return TypeLSN
	default:
		return TypeText
	}
}
