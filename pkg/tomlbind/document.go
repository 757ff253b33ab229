// Package tomlbind binds TOML text to a struct and collects every problem in
// it with its line, where a plain decoder stops at the first wrong type.
//
// Fields are named by their toml tag. The types that it binds are strings,
// booleans, integers, floats, time.Duration (from a string such as "250ms"),
// slices of strings, structs (tables) and slices of structs (arrays of
// tables), and any type with UnmarshalText.
package tomlbind

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file. Its String is one line.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1; zero means that the file does not name the key.
	Line int `json:"line"`
	// Key is the dotted path of the key, or empty for the file as a whole.
	Key string `json:"key,omitempty"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason"`
}

// String formats the problem as file:line: key: reason.
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

// Document is a file after binding. It knows the line of each key.
type Document struct {
	File     string
	Problems []Problem

	lines map[string]int
}

// Line returns the line of the key, of the nearest table around it where the
// file does not give the key, or zero.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// Report adds a problem of the key.
func (d *Document) Report(key, format string, args ...any) {
	d.reportAt(d.Line(key), key, format, args...)
}

func (d *Document) reportAt(line int, key, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{
		File:   d.File,
		Line:   line,
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// parentKey cuts the last step off a path: "a[1].b" gives "a[1]", which gives
// "a".
func parentKey(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	if cut < 0 {
		return ""
	}
	return key[:cut]
}

func joinKey(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexKey(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}

// Has reports whether the file gives the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// HasProblem reports whether a problem of the key was found already.
func (d *Document) HasProblem(key string) bool {
	return slices.ContainsFunc(d.Problems, func(p Problem) bool { return p.Key == key })
}
