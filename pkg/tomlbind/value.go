package tomlbind

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

var (
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// value sets field from the value node of a key, or reports a problem.
func (b *binder) value(field reflect.Value, key string, line int, node *unstable.Node) {
	switch {
	case field.Kind() == reflect.Struct && node.Kind == unstable.InlineTable:
		b.inlineTable(field, key, line, node)
	case field.Kind() == reflect.Slice && node.Kind == unstable.Array:
		b.array(field, key, line, node)
	default:
		if reason := setScalar(field, node); reason != "" {
			b.doc.reportAt(line, key, "%s", reason)
		}
	}
}

// inlineTable binds an inline table, {a = 1}, to a struct. The parser returns it
// within one expression, so problems in it carry the first line of that
// expression.
func (b *binder) inlineTable(field reflect.Value, key string, line int, node *unstable.Node) {
	children := node.Children()
	for children.Next() {
		b.keyValue(field, key, children.Node())
	}
}

// array appends the elements of an array to a slice.
func (b *binder) array(field reflect.Value, key string, line int, node *unstable.Node) {
	children := node.Children()
	for children.Next() {
		field.Set(reflect.Append(field, reflect.Zero(field.Type().Elem())))
		last := field.Len() - 1
		elementKey := indexKey(key, last)
		b.doc.lines[elementKey] = line
		b.value(field.Index(last), elementKey, line, children.Node())
	}
}

// setScalar sets field. If the node's value does not fit, it returns the reason,
// which says what is expected.
func setScalar(field reflect.Value, node *unstable.Node) string {
	text := string(node.Data)
	if field.Type() != durationType && field.Addr().Type().Implements(unmarshalerType) {
		return setText(field, node, text)
	}
	mismatch := fmt.Sprintf("must be %s", describe(field.Type()))
	if isNumber(field) && text != "" {
		// Only fields of type string hold secrets, so the text can be shown.
		mismatch += fmt.Sprintf(", not %q", text)
	}
	switch {
	case field.Type() == durationType && node.Kind == unstable.String:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf("must be %s, not %q", describe(field.Type()), text)
		}
		field.SetInt(int64(duration))
	case field.Type() == durationType:
		return mismatch
	case field.Kind() == reflect.String && node.Kind == unstable.String:
		field.SetString(text)
	case field.Kind() == reflect.Bool && node.Kind == unstable.Bool:
		field.SetBool(text == "true")
	case field.CanInt() && node.Kind == unstable.Integer:
		return setInt(field, text, mismatch)
	case field.CanUint() && node.Kind == unstable.Integer:
		return setUint(field, text, mismatch)
	case field.CanFloat() && (node.Kind == unstable.Float || node.Kind == unstable.Integer):
		return setFloat(field, text, mismatch)
	default:
		return mismatch
	}
	return ""
}

// isNumber reports whether field is a number other than a duration.
func isNumber(field reflect.Value) bool {
	return field.Type() != durationType && (field.CanInt() || field.CanUint() || field.CanFloat())
}

// setText sets a field that has UnmarshalText.
func setText(field reflect.Value, node *unstable.Node, text string) string {
	if node.Kind != unstable.String {
		return "must be a string"
	}
	target := field.Addr().Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return err.Error()
	}
	return ""
}

func setInt(field reflect.Value, text, mismatch string) string {
	digits := strings.ReplaceAll(text, "_", "")
	number, err := strconv.ParseInt(digits, integerBase(digits), 64)
	if err != nil || field.OverflowInt(number) {
		return mismatch
	}
	field.SetInt(number)
	return ""
}

func setUint(field reflect.Value, text, mismatch string) string {
	digits := strings.ReplaceAll(text, "_", "")
	number, err := strconv.ParseUint(digits, integerBase(digits), 64)
	if err != nil || field.OverflowUint(number) {
		return mismatch
	}
	field.SetUint(number)
	return ""
}

// integerBase returns the base for strconv: 0, which interprets the prefix, if
// the digits have a prefix 0x, 0o or 0b, and 10 otherwise, so that a mere leading
// zero does not mean octal.
func integerBase(digits string) int {
	if len(digits) > 1 && digits[0] == '0' && strings.ContainsRune("xob", rune(digits[1])) {
		return 0
	}
	return 10
}

func setFloat(field reflect.Value, text, mismatch string) string {
	number, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil {
		return mismatch
	}
	field.SetFloat(number)
	return ""
}

// describe returns the kind of TOML value that a field of type t accepts.
func describe(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration such as "250ms"`
	case reflect.PointerTo(t).Implements(unmarshalerType), t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Struct:
		return "a table"
	case isTableSlice(t):
		return "an array of tables"
	case t.Kind() == reflect.Slice:
		return "an array whose entries are each " + describe(t.Elem())
	case t.Kind() == reflect.Uint32:
		return "an integer of 0 or more"
	default:
		return "an integer"
	}
}
