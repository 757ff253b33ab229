package sql

import "slices"

// Parse reads a script of statements separated by semicolons. A script of
// comments alone has no statement.
func Parse(text string) ([]Statement, error) {
	tokens, err := tokenise(text)
	if err != nil {
		return nil, err
	}
	p := parser{tokens: tokens}
	var statements []Statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		statement, err := p.statement()
		if err != nil {
			return nil, err
		}
		statements = append(statements, statement)
		if p.peek().kind != tokenEnd && !p.acceptSymbol(";") {
			return nil, p.unexpected()
		}
	}
}

type parser struct {
	tokens []token
	at     int
}

func (p *parser) peek() token {
	if p.at >= len(p.tokens) {
		return token{kind: tokenEnd}
	}
	return p.tokens[p.at]
}

func (p *parser) take() token {
	next := p.peek()
	p.at++
	return next
}

func (p *parser) acceptWord(words ...string) bool {
	next := p.peek()
	if next.kind != tokenWord || !slices.Contains(words, next.text) {
		return false
	}
	p.at++
	return true
}

func (p *parser) acceptSymbol(symbol string) bool {
	next := p.peek()
	if next.kind != tokenSymbol || next.text != symbol {
		return false
	}
	p.at++
	return true
}

// expect takes a sequence of words and symbols.
func (p *parser) expect(texts ...string) error {
	for _, text := range texts {
		if !p.acceptWord(text) && !p.acceptSymbol(text) {
			return p.unexpected()
		}
	}
	return nil
}

func (p *parser) unexpected() error {
	next := p.peek()
	if next.kind == tokenEnd {
		return Errorf(CodeSyntax, "syntax error at end of input")
	}
	return Errorf(CodeSyntax, "syntax error at or near %q", next.text)
}

func (p *parser) statement() (Statement, error) {
	start := p.peek()
	if start.kind != tokenWord {
		return nil, p.unexpected()
	}
	p.at++
	switch start.text {
	case "begin":
		return Begin{ReadOnly: p.skipModes()}, nil
	case "start":
		return Begin{ReadOnly: p.skipModes()}, nil
	case "commit", "end":
		p.skipModes()
		return Commit{}, nil
	case "rollback", "abort":
		p.skipModes()
		return Rollback{}, nil
	case "set", "reset":
		return Set{ReadOnly: p.skipModes()}, nil
	case "show":
		return p.show()
	case "discard":
		return Discard{All: p.take().text == "all"}, nil
	case "deallocate":
		return p.deallocate()
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "select":
		return p.selection()
	case "copy", "listen", "notify", "declare", "fetch", "savepoint", "release", "prepare", "lock":
		return nil, Errorf(CodeUnsupported, "%s is not supported", start.text)
	}
	p.at--
	return nil, p.unexpected()
}

// skipModes passes over the rest of a statement and reports whether it asks
// for a read-only transaction.
func (p *parser) skipModes() bool {
	readOnly := false
	for p.peek().kind != tokenEnd && (p.peek().kind != tokenSymbol || p.peek().text != ";") {
		if p.take().text == "read" && p.peek().text == "only" {
			readOnly = true
		}
	}
	return readOnly
}

func (p *parser) show() (Statement, error) {
	name := p.take().text
	p.skipModes()
	return Show{Name: name}, nil
}

func (p *parser) deallocate() (Statement, error) {
	p.acceptWord("prepare")
	if p.acceptWord("all") {
		return Deallocate{}, nil
	}
	return Deallocate{Name: p.take().text}, nil
}

func (p *parser) insert() (Statement, error) {
	if err := p.expect("into"); err != nil {
		return nil, err
	}
	if err := p.table(); err != nil {
		return nil, err
	}
	if err := p.expect("(", "key", ",", "value", ")", "values"); err != nil {
		return nil, err
	}
	var insert Insert
	for {
		row, err := p.insertRow()
		if err != nil {
			return nil, err
		}
		insert.Rows = append(insert.Rows, row)
		if !p.acceptSymbol(",") {
			break
		}
	}
	var err error
	if insert.OnConflict, err = p.conflict(); err != nil {
		return nil, err
	}
	insert.Returning, err = p.returning()
	return insert, err
}

func (p *parser) insertRow() (InsertRow, error) {
	var row InsertRow
	var err error
	if err = p.expect("("); err != nil {
		return row, err
	}
	if row.Key, err = p.expr(); err != nil {
		return row, err
	}
	if err = p.expect(","); err != nil {
		return row, err
	}
	if row.Value, err = p.expr(); err != nil {
		return row, err
	}
	return row, p.expect(")")
}

func (p *parser) conflict() (Conflict, error) {
	if !p.acceptWord("on") {
		return ConflictFails, nil
	}
	if err := p.expect("conflict"); err != nil {
		return ConflictFails, err
	}
	if p.acceptSymbol("(") {
		if err := p.expect("key", ")"); err != nil {
			return ConflictFails, err
		}
	}
	if err := p.expect("do"); err != nil {
		return ConflictFails, err
	}
	if p.acceptWord("nothing") {
		return ConflictIgnored, nil
	}
	return ConflictUpdates, p.expect("update", "set", "value", "=", "excluded", ".", "value")
}

func (p *parser) update() (Statement, error) {
	var update Update
	err := p.table()
	if err != nil {
		return nil, err
	}
	if err = p.expect("set", "value", "="); err != nil {
		return nil, err
	}
	if update.Value, err = p.expr(); err != nil {
		return nil, err
	}
	if update.Where, err = p.where(); err != nil {
		return nil, err
	}
	update.Returning, err = p.returning()
	return update, err
}

func (p *parser) remove() (Statement, error) {
	var remove Delete
	err := p.expect("from")
	if err != nil {
		return nil, err
	}
	if err = p.table(); err != nil {
		return nil, err
	}
	if remove.Where, err = p.where(); err != nil {
		return nil, err
	}
	remove.Returning, err = p.returning()
	return remove, err
}

func (p *parser) table() error {
	if p.acceptWord("public") && !p.acceptSymbol(".") {
		return p.unexpected()
	}
	name := p.take()
	if name.text != "records" {
		return Errorf(CodeUndefinedTable, "relation %q does not exist", name.text)
	}
	return nil
}

func (p *parser) where() ([]Condition, error) {
	if !p.acceptWord("where") {
		return nil, nil
	}
	var conditions []Condition
	for {
		column, err := p.column()
		if err != nil {
			return nil, err
		}
		if err = p.expect("="); err != nil {
			return nil, err
		}
		equals, err := p.operand()
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, Condition{Column: column, Equals: equals})
		if !p.acceptWord("and") {
			return conditions, nil
		}
	}
}

func (p *parser) column() (Column, error) {
	name := p.take()
	column := Column(name.text)
	if column != ColumnKey && column != ColumnValue && column != ColumnApplication {
		return "", Errorf(CodeUndefinedColumn, "column %q does not exist", name.text)
	}
	return column, nil
}

func (p *parser) returning() ([]Item, error) {
	if !p.acceptWord("returning") {
		return nil, nil
	}
	return p.items()
}
