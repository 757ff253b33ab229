package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/tomlbind"
)

// File is one TOML file of a configuration folder.
type File struct {
	Name string
	Data []byte
}

// Problem is one error in the files, with its file and line.
type Problem = tomlbind.Problem

// Merge merges the files in the order of their names and checks the result. It
// returns every problem at once, and a nil bundle if there is one.
//
// An entry that an earlier file already defines must set override = true, which
// replaces the whole earlier entry, or remove = true, which deletes it.
func Merge(files []File) (*Bundle, []Problem) {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	m := &merger{}
	for _, file := range ordered {
		m.addFile(file)
	}
	bundle := m.merged()
	m.markLeaving(bundle)
	check(bundle, m.reportAt)
	if problems := m.problems(); len(problems) > 0 {
		return nil, problems
	}
	bundle.buildIndex()
	return bundle, nil
}

// origin is the place where an entry is defined: the file and the key in it.
type origin struct {
	doc *tomlbind.Document
	key string
}

func (o origin) String() string {
	return fmt.Sprintf("%s:%d", o.doc.File, o.doc.Line(o.key))
}

// entry is a group, route, caller or leaving upstream, and where it is defined.
type entry[T any] struct {
	name   string
	value  T
	origin origin
}

// merger collects the entries of all files.
type merger struct {
	docs    []*tomlbind.Document
	groups  []entry[Group]
	routes  []entry[Route]
	callers []entry[Caller]
	leaving []entry[model.UpstreamID]
}

// addFile parses a file and merges its entries into those of earlier files.
func (m *merger) addFile(file File) {
	var schema fileSchema
	doc := tomlbind.Bind(file.Name, file.Data, &schema)
	m.docs = append(m.docs, doc)
	for i := range schema.Groups {
		group := &schema.Groups[i]
		at := origin{doc, fmt.Sprintf("group[%d]", i)}
		addEntry(&m.groups, entry[Group]{string(group.ID), group.toGroup(), at}, mergeMode{group.Override, group.Remove})
	}
	for i := range schema.Routes {
		route := &schema.Routes[i]
		at := origin{doc, fmt.Sprintf("route[%d]", i)}
		if !at.has("deadline") {
			route.Deadline = DefaultDeadline
		}
		addEntry(&m.routes, entry[Route]{route.Name, route.toRoute(), at}, mergeMode{route.Override, route.Remove})
	}
	for i := range schema.Callers {
		caller := &schema.Callers[i]
		at := origin{doc, fmt.Sprintf("caller[%d]", i)}
		if !at.has("weight") {
			caller.Weight = DefaultWeight
		}
		if !at.has("max_connections") {
			caller.MaxConnections = DefaultMaxConnections
		}
		caller.setPolicyDefaults(at)
		addEntry(&m.callers, entry[Caller]{string(caller.Name), caller.toCaller(), at}, mergeMode{caller.Override, caller.Remove})
	}
	for i, upstream := range schema.Leaving {
		at := origin{doc, fmt.Sprintf("leaving[%d]", i)}
		m.leaving = append(m.leaving, entry[model.UpstreamID]{string(upstream), upstream, at})
	}
}

// has reports whether the file sets the field of the entry.
func (o origin) has(field string) bool {
	return o.doc.Has(o.key + "." + field)
}

// report adds a problem of the field, or of the whole entry if field is empty.
func (o origin) report(field, format string, args ...any) {
	key := o.key
	if field != "" {
		key += "." + field
	}
	o.doc.Report(key, format, args...)
}

// addEntry merges one entry into those that were added before.
func addEntry[T any](entries *[]entry[T], added entry[T], mode mergeMode) {
	at := slices.IndexFunc(*entries, func(e entry[T]) bool { return e.name == added.name })
	switch {
	case mode.override && mode.remove:
		added.origin.report("remove", "must not be combined with override")
	case at < 0 && (mode.override || mode.remove):
		added.origin.report("", "%q is not defined in an earlier file, so there is nothing to override or remove", added.name)
	case at < 0:
		*entries = append(*entries, added)
	case (*entries)[at].origin.doc == added.origin.doc:
		added.origin.report("", "%q is defined twice in this file, first on line %d", added.name, (*entries)[at].origin.line())
	case mode.remove:
		*entries = slices.Delete(*entries, at, at+1)
	case mode.override:
		(*entries)[at] = added
	default:
		added.origin.report("", "%q is already defined at %s; set override = true to replace it", added.name, (*entries)[at].origin)
	}
}

func (o origin) line() int { return o.doc.Line(o.key) }

// merged returns the bundle of the merged entries, without an index.
func (m *merger) merged() *Bundle {
	return &Bundle{Groups: values(m.groups), Routes: values(m.routes), Callers: values(m.callers)}
}

// values sorts the entries by name and returns their values.
func values[T any](entries []entry[T]) []T {
	slices.SortStableFunc(entries, func(a, b entry[T]) int { return cmp.Compare(a.name, b.name) })
	all := make([]T, len(entries))
	for i := range entries {
		all[i] = entries[i].value
	}
	return all
}

// markLeaving marks the upstreams of all leaving lists as leaving.
func (m *merger) markLeaving(b *Bundle) {
	for _, leaving := range m.leaving {
		upstream, ok := b.upstream(leaving.value)
		if !ok {
			leaving.origin.report("", "no group has an upstream %q", leaving.value)
			continue
		}
		upstream.Leaving = true
	}
}

func (b *Bundle) upstream(id model.UpstreamID) (*Upstream, bool) {
	for i := range b.Groups {
		if upstream, ok := b.Groups[i].Upstream(id); ok {
			return upstream, true
		}
	}
	return nil, false
}

// reportAt reports a problem of a merged entry at the place where the entry is
// defined, unless the parser already reported the field.
func (m *merger) reportAt(at entryRef, field, format string, args ...any) {
	var where origin
	switch at.kind {
	case KindGroup:
		where = m.groups[at.index].origin
	case KindRoute:
		where = m.routes[at.index].origin
	default:
		where = m.callers[at.index].origin
	}
	if !where.doc.HasProblem(where.key + "." + field) {
		where.report(field, format, args...)
	}
}

func (m *merger) problems() []Problem {
	var all []Problem
	for _, doc := range m.docs {
		found := slices.Clone(doc.Problems)
		slices.SortStableFunc(found, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		all = append(all, found...)
	}
	return all
}
