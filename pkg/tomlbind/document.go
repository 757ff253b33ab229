// Package tomlbind binds TOML text to a struct. Unlike a plain decoder, which
// stops at the first wrong type, it collects all problems with their lines.
//
// Fields are named by their toml tag. The supported types are strings,
// booleans, integers, floats, time.Duration (from a string such as "250ms"),
// slices of strings, structs (tables) and slices of structs (arrays of
// tables), and any type with UnmarshalText.
package tomlbind

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is a problem in a file.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1; zero means that the line is unknown, as when the file
	// does not contain the key.
	Line int `json:"line"`
	// Key is the dotted path of the key, or empty for the file as a whole.
	Key string `json:"key,omitempty"`
	// Reason says what was read or what is expected.
	Reason string `json:"reason"`
}

// String formats the problem in one line as file:line: key: reason.
func (p Problem) String() string {
	var line strings.Builder
	line.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&line, ":%d", p.Line)
	}
	if p.Key != "" {
		line.WriteString(": " + p.Key)
	}
	line.WriteString(": " + p.Reason)
	return line.String()
}

// Document is the result of binding a file: its problems and the line of each
// key.
type Document struct {
	File     string
	Problems []Problem

	lines map[string]int
}

// Line returns the line of the key. If the file does not contain the key, it
// returns the line of the innermost enclosing table that the file contains, or
// zero.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// Report adds a problem with the key, at the line of the key.
func (d *Document) Report(key, format string, args ...any) {
	d.reportAt(d.Line(key), key, format, args...)
}

// reportAt adds a problem at the given line.
func (d *Document) reportAt(line int, key, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{
		File:   d.File,
		Line:   line,
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// parentKey removes the last element of a path: the parent of "a[1].b" is
// "a[1]", whose parent is "a".
func parentKey(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	if cut < 0 {
		return ""
	}
	return key[:cut]
}

// joinKey appends a name to a dotted path.
func joinKey(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// indexKey appends an array index to a path.
func indexKey(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}

// Has reports whether the file contains the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// HasProblem reports whether a problem with the key was already reported.
func (d *Document) HasProblem(key string) bool {
	return slices.ContainsFunc(d.Problems, func(p Problem) bool { return p.Key == key })
}
