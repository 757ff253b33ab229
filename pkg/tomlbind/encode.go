package tomlbind

import (
	"bytes"
	"encoding"
	"fmt"
	"io"
	"reflect"
	"time"
)

// Encode writes the struct that source points to as TOML that Bind reads back.
// Types with MarshalText are written as the string that it returns.
func Encode(w io.Writer, source any) error {
	e := &encoder{}
	if err := e.table("", reflect.ValueOf(source).Elem()); err != nil {
		return err
	}
	_, err := w.Write(bytes.TrimLeft(e.out.Bytes(), "\n"))
	return err
}

// encoder collects the TOML text.
type encoder struct{ out bytes.Buffer }

// table writes the plain values of a struct, and then its tables, as TOML
// requires.
func (e *encoder) table(path string, value reflect.Value) error {
	for i := range value.NumField() {
		name := tagName(value.Type().Field(i))
		if name == "" || isNested(value.Field(i).Type()) {
			continue
		}
		text, err := scalar(value.Field(i))
		if err != nil {
			return err
		}
		fmt.Fprintf(&e.out, "%s = %s\n", name, text)
	}
	return e.subtables(path, value)
}

// subtables writes the tables and arrays of tables of a struct.
func (e *encoder) subtables(path string, value reflect.Value) error {
	for i := range value.NumField() {
		name := tagName(value.Type().Field(i))
		if name == "" || !isNested(value.Field(i).Type()) {
			continue
		}
		if err := e.nested(joinKey(path, name), value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// nested writes a table or an array of tables with its headers.
func (e *encoder) nested(path string, value reflect.Value) error {
	if value.Kind() == reflect.Struct {
		fmt.Fprintf(&e.out, "\n[%s]\n", path)
		return e.table(path, value)
	}
	for i := range value.Len() {
		fmt.Fprintf(&e.out, "\n[[%s]]\n", path)
		if err := e.table(path, value.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// isNested reports whether t is written as a table or an array of tables.
func isNested(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || isTableSlice(t)
}

// scalar returns the TOML text of a value that is no table.
func scalar(value reflect.Value) (string, error) {
	switch actual := value.Interface().(type) {
	case time.Duration:
		return quote(actual.String()), nil
	case encoding.TextMarshaler:
		text, err := actual.MarshalText()
		return quote(string(text)), err
	}
	switch value.Kind() {
	case reflect.String:
		return quote(value.String()), nil
	case reflect.Slice:
		return list(value)
	default:
		return fmt.Sprint(value.Interface()), nil
	}
}

// list returns the TOML text of an array.
func list(value reflect.Value) (string, error) {
	out := "["
	for i := range value.Len() {
		text, err := scalar(value.Index(i))
		if err != nil {
			return "", err
		}
		if i > 0 {
			out += ", "
		}
		out += text
	}
	return out + "]", nil
}

// quote returns text as a TOML basic string, with escapes that are valid in JSON
// too.
func quote(text string) string {
	out := `"`
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			out += `\` + string(r)
		case r < ' ' || r == 0x7f:
			out += fmt.Sprintf(`\u%04X`, r)
		default:
			out += string(r)
		}
	}
	return out + `"`
}
