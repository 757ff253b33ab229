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
// Types with MarshalText are written as the string that it gives.
func Encode(w io.Writer, source any) error {
	e := &encoder{}
	if err := e.table("", reflect.ValueOf(source).Elem()); err != nil {
		return err
	}
	_, err := w.Write(bytes.TrimLeft(e.out.Bytes(), "\n"))
	return err
}

type encoder struct{ out bytes.Buffer }

// table writes the keys of a struct, then the tables in it.
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

func isNested(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || isTableSlice(t)
}

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

// quote writes a basic TOML string. Its escapes are those of JSON.
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
