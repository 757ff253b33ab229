package tomlbind

import (
	"errors"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileBytes is the largest size of a file that Bind accepts.
const MaxFileBytes = 4 << 20

// Bind sets the fields of the struct that target points to from the TOML text
// in data. Fields that the text does not name keep their values. file is the
// file name used in problems.
func Bind(file string, data []byte, target any) *Document {
	doc := &Document{File: file, lines: map[string]int{}}
	if len(data) > MaxFileBytes {
		doc.reportAt(0, "", "the file has %d bytes; at most %d are allowed", len(data), MaxFileBytes)
		return doc
	}
	b := &binder{doc: doc, root: reflect.ValueOf(target).Elem(), newlines: newlines(data)}
	b.table = b.root
	b.parser.Reset(data)
	for b.parser.NextExpression() {
		b.expression(b.parser.Expression())
	}
	b.syntaxError(b.parser.Error())
	return doc
}

// binder binds the expressions of one document.
type binder struct {
	parser unstable.Parser
	doc    *Document
	root   reflect.Value
	// table is the struct of the current table, whose fields key-value lines
	// set. It is the zero Value after a header that names no field. path is the
	// table's dotted path.
	table reflect.Value
	path  string
	// newlines are the offsets of the line breaks, ascending.
	newlines []int
}

// newlines returns the offsets of the line breaks in data.
func newlines(data []byte) []int {
	var offsets []int
	for i, b := range data {
		if b == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// line returns the line number, from 1, of an offset. The parser's own method,
// Shape, would count the lines from the start of the text at each call.
func (b *binder) line(offset uint32) int {
	at, _ := slices.BinarySearch(b.newlines, int(offset))
	return at + 1
}

// expression binds one top-level expression: a table header or a key-value line.
func (b *binder) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		b.header(node, false)
	case unstable.ArrayTable:
		b.header(node, true)
	case unstable.KeyValue:
		if b.table.IsValid() {
			b.keyValue(b.table, b.path, node)
		}
	}
}

// syntaxError reports the error of the parser, if any, with its line.
func (b *binder) syntaxError(err error) {
	if err == nil {
		return
	}
	var syntax *unstable.ParserError
	if !errors.As(err, &syntax) {
		b.doc.reportAt(0, "", "%v", err)
		return
	}
	line := b.line(b.parser.Range(syntax.Highlight).Offset)
	b.doc.reportAt(line, "", "not valid TOML: %s", syntax.Message)
}

// header handles a table header [a.b] or, if array is true, [[a.b]].
func (b *binder) header(node *unstable.Node, array bool) {
	keys, line := b.keys(node)
	b.table = reflect.Value{}
	parent, path, ok := b.descend(b.root, "", keys[:len(keys)-1], line)
	if !ok {
		return
	}
	last := keys[len(keys)-1]
	field, key, ok := b.field(parent, path, last, line)
	if !ok {
		return
	}
	if array {
		b.appendTable(field, key, line)
		return
	}
	if field.Kind() != reflect.Struct {
		b.doc.reportAt(line, key, "must be %s, not a table", describe(field.Type()))
		return
	}
	if !b.recordKey(key, line) {
		return
	}
	b.table, b.path = field, key
}

// appendTable appends an entry to an array of tables and makes it the current
// table.
func (b *binder) appendTable(field reflect.Value, key string, line int) {
	if !isTableSlice(field.Type()) {
		b.doc.reportAt(line, key, "must be %s, not an array of tables", describe(field.Type()))
		return
	}
	field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
	last := field.Len() - 1
	b.table, b.path = field.Index(last), indexKey(key, last)
	b.doc.lines[b.path] = line
}

// descend follows keys from value through tables, and through the last entries
// of arrays of tables. It returns the struct found and its path, or false after
// reporting a problem.
func (b *binder) descend(value reflect.Value, path string, keys []string, line int) (reflect.Value, string, bool) {
	for _, name := range keys {
		field, key, ok := b.field(value, path, name, line)
		if !ok {
			return reflect.Value{}, "", false
		}
		if isTableSlice(field.Type()) && field.Len() > 0 {
			last := field.Len() - 1
			field, key = field.Index(last), indexKey(key, last)
		}
		if field.Kind() != reflect.Struct {
			b.doc.reportAt(line, key, "must be %s, not a table", describe(field.Type()))
			return reflect.Value{}, "", false
		}
		value, path = field, key
	}
	return value, path, true
}

// keyValue binds a key-value expression relative to a table.
func (b *binder) keyValue(table reflect.Value, path string, node *unstable.Node) {
	keys, line := b.keys(node)
	table, path, ok := b.descend(table, path, keys[:len(keys)-1], line)
	if !ok {
		return
	}
	field, key, ok := b.field(table, path, keys[len(keys)-1], line)
	if !ok || !b.recordKey(key, line) {
		return
	}
	b.value(field, key, line, node.Value())
}

// recordKey records the line of a key. If the key was given before, it reports a
// problem and returns false.
func (b *binder) recordKey(key string, line int) bool {
	firstLine, taken := b.doc.lines[key]
	if taken {
		b.doc.reportAt(line, key, "given twice, first on line %d", firstLine)
		return false
	}
	b.doc.lines[key] = line
	return true
}

// field returns the field of table with the TOML name, and its key. If there is
// none, it reports a problem and returns false.
func (b *binder) field(table reflect.Value, path, name string, line int) (reflect.Value, string, bool) {
	key := joinKey(path, name)
	for i := range table.NumField() {
		if tagName(table.Type().Field(i)) == name {
			return table.Field(i), key, true
		}
	}
	b.doc.reportAt(line, key, "unknown key; allowed are %s", strings.Join(names(table.Type()), ", "))
	return reflect.Value{}, "", false
}

// keys returns the parts of a node's dotted key, and the line of the key.
func (b *binder) keys(node *unstable.Node) (keys []string, line int) {
	it := node.Key()
	for it.Next() {
		key := it.Node()
		if line == 0 {
			line = b.line(key.Raw.Offset)
		}
		keys = append(keys, string(key.Data))
	}
	return keys, line
}

// tagName returns the TOML name of a field, or "" for a field without one.
func tagName(field reflect.StructField) string {
	return field.Tag.Get("toml")
}

// names returns the TOML names of a struct's fields.
func names(table reflect.Type) []string {
	var all []string
	for i := range table.NumField() {
		if name := tagName(table.Field(i)); name != "" {
			all = append(all, name)
		}
	}
	return all
}

// isTableSlice reports whether t is bound to an array of tables.
func isTableSlice(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}
