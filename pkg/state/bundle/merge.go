package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/tomlbind"
)

// File is one file of an operators' folder.
type File struct {
	Name string
	Data []byte
}

// Problem is one fault of a folder, with its file and line.
type Problem = tomlbind.Problem

// Merge merges the files in the order of their names and checks the result. It
// returns every problem at once, and a nil bundle if there is one.
//
// An entry that an earlier file gives already must say override = true, which
// replaces the earlier entry as a whole, or remove = true, which removes it.
func Merge(files []File) (*Bundle, []Problem) {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	m := &merger{}
	for _, file := range ordered {
		m.file(file)
	}
	bundle := m.bundle()
	m.leave(bundle)
	check(bundle, m.reportAt)
	if problems := m.problems(); len(problems) > 0 {
		return nil, problems
	}
	bundle.seal()
	return bundle, nil
}

// origin is where an entry stands.
type origin struct {
	doc *tomlbind.Document
	key string
}

func (o origin) String() string {
	return fmt.Sprintf("%s:%d", o.doc.File, o.doc.Line(o.key))
}

// entry is a group, route or caller and where it stands.
type entry[T any] struct {
	name   string
	value  T
	origin origin
}

type merger struct {
	docs    []*tomlbind.Document
	groups  []entry[Group]
	routes  []entry[Route]
	callers []entry[Caller]
	leaving []entry[model.UpstreamID]
}

func (m *merger) file(file File) {
	var schema fileSchema
	doc := tomlbind.Bind(file.Name, file.Data, &schema)
	m.docs = append(m.docs, doc)
	for i := range schema.Groups {
		group := &schema.Groups[i]
		at := origin{doc, fmt.Sprintf("group[%d]", i)}
		add(&m.groups, entry[Group]{string(group.ID), group.group(), at}, editSchema{group.Override, group.Remove})
	}
	for i := range schema.Routes {
		route := &schema.Routes[i]
		at := origin{doc, fmt.Sprintf("route[%d]", i)}
		if !at.given("deadline") {
			route.Deadline = DefaultDeadline
		}
		add(&m.routes, entry[Route]{route.Name, route.route(), at}, editSchema{route.Override, route.Remove})
	}
	for i := range schema.Callers {
		caller := &schema.Callers[i]
		at := origin{doc, fmt.Sprintf("caller[%d]", i)}
		if !at.given("weight") {
			caller.Weight = DefaultWeight
		}
		if !at.given("max_connections") {
			caller.MaxConnections = DefaultMaxConnections
		}
		add(&m.callers, entry[Caller]{string(caller.Name), caller.caller(), at}, editSchema{caller.Override, caller.Remove})
	}
	for i, upstream := range schema.Leaving {
		at := origin{doc, fmt.Sprintf("leaving[%d]", i)}
		m.leaving = append(m.leaving, entry[model.UpstreamID]{string(upstream), upstream, at})
	}
}

func (o origin) given(field string) bool {
	return o.doc.Has(o.key + "." + field)
}

func (o origin) report(field, format string, args ...any) {
	key := o.key
	if field != "" {
		key += "." + field
	}
	o.doc.Report(key, format, args...)
}

// add merges one entry into those of earlier files.
func add[T any](entries *[]entry[T], added entry[T], edit editSchema) {
	at := slices.IndexFunc(*entries, func(e entry[T]) bool { return e.name == added.name })
	switch {
	case edit.override && edit.remove:
		added.origin.report("remove", "must not stand beside override")
	case at < 0 && (edit.override || edit.remove):
		added.origin.report("", "%q is in no earlier file, so that there is nothing to override or remove", added.name)
	case at < 0:
		*entries = append(*entries, added)
	case (*entries)[at].origin.doc == added.origin.doc:
		added.origin.report("", "%q stands twice in this file, first on line %d", added.name, (*entries)[at].origin.line())
	case edit.remove:
		*entries = slices.Delete(*entries, at, at+1)
	case edit.override:
		(*entries)[at] = added
	default:
		added.origin.report("", "%q is given at %s already; override = true replaces it", added.name, (*entries)[at].origin)
	}
}

func (o origin) line() int { return o.doc.Line(o.key) }

// bundle returns the merged entries, ordered by name.
func (m *merger) bundle() *Bundle {
	return &Bundle{Groups: values(m.groups), Routes: values(m.routes), Callers: values(m.callers)}
}

func values[T any](entries []entry[T]) []T {
	slices.SortStableFunc(entries, func(a, b entry[T]) int { return cmp.Compare(a.name, b.name) })
	all := make([]T, len(entries))
	for i := range entries {
		all[i] = entries[i].value
	}
	return all
}

// leave marks the upstreams of the leaving lists.
func (m *merger) leave(b *Bundle) {
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

// reportAt reports a problem of a merged entry where it stands.
func (m *merger) reportAt(at place, field, format string, args ...any) {
	var where origin
	switch at.kind {
	case KindGroup:
		where = m.groups[at.index].origin
	case KindRoute:
		where = m.routes[at.index].origin
	default:
		where = m.callers[at.index].origin
	}
	if !where.doc.Faulty(where.key + "." + field) {
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
