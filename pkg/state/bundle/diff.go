package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entry.
const (
	KindGroup    Kind = "group"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
	KindCaller   Kind = "caller"
)

// ChangeType says what happened to an entry.
type ChangeType string

// The types of change.
const (
	Added   ChangeType = "added"
	Removed ChangeType = "removed"
	Changed ChangeType = "changed"
)

// Change is one entry that differs between two bundles.
type Change struct {
	Type ChangeType `json:"type"`
	Kind Kind       `json:"kind"`
	Name string     `json:"name"`
	// Fields lists what differs in a changed entry.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field that differs. Secrets stand as a mask.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

const mask = "********"

// String formats the change as one line.
func (c Change) String() string {
	fields := make([]string, len(c.Fields))
	for i, field := range c.Fields {
		fields[i] = fmt.Sprintf("%s %s -> %s", field.Name, field.Old, field.New)
	}
	line := fmt.Sprintf("%s %s %s", c.Type, c.Kind, c.Name)
	if len(fields) == 0 {
		return line
	}
	return line + ": " + strings.Join(fields, ", ")
}

// Diff returns what differs, by kind and name. A nil bundle is empty.
func Diff(before, after *Bundle) []Change {
	old, current := describe(before), describe(after)
	var changes []Change
	for _, entry := range old {
		if at := entry.in(current); at < 0 {
			changes = append(changes, Change{Type: Removed, Kind: entry.kind, Name: entry.name})
		}
	}
	for _, entry := range current {
		at := entry.in(old)
		if at < 0 {
			changes = append(changes, Change{Type: Added, Kind: entry.kind, Name: entry.name})
			continue
		}
		if fields := differences(old[at].fields, entry.fields); len(fields) > 0 {
			changes = append(changes, Change{Type: Changed, Kind: entry.kind, Name: entry.name, Fields: fields})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// description is an entry as a list of fields, which has the same length and
// order for all entries of a kind.
type description struct {
	kind   Kind
	name   string
	fields []field
}

type field struct {
	name, value string
	secret      bool
}

func (d description) in(all []description) int {
	return slices.IndexFunc(all, func(o description) bool { return o.kind == d.kind && o.name == d.name })
}

func differences(old, current []field) []FieldChange {
	var changes []FieldChange
	for i := range current {
		if old[i].value == current[i].value {
			continue
		}
		changes = append(changes, FieldChange{Name: current[i].name, Old: old[i].shown(), New: current[i].shown()})
	}
	return changes
}

func (f field) shown() string {
	if f.secret {
		return mask
	}
	return f.value
}

func show(name string, value any) field { return field{name: name, value: fmt.Sprint(value)} }

func describe(b *Bundle) []description {
	if b == nil {
		return nil
	}
	var all []description
	for i := range b.Groups {
		all = append(all, b.Groups[i].describe()...)
	}
	for i := range b.Routes {
		all = append(all, b.Routes[i].describe())
	}
	for i := range b.Callers {
		all = append(all, b.Callers[i].describe())
	}
	return all
}

func (g *Group) describe() []description {
	all := []description{{KindGroup, string(g.ID), []field{
		show("database", g.Database),
		show("user", g.User),
		{name: "password", value: g.Password, secret: true},
		show("primary", g.Primary),
		show("timeline", g.Timeline),
	}}}
	for _, u := range g.Upstreams {
		all = append(all, description{KindUpstream, string(u.ID), []field{
			show("group", g.ID),
			show("address", u.Address),
			show("data_centre", u.DataCentre),
			show("slots", u.Slots),
			show("connections", u.Connections),
			show("leaving", u.Leaving),
		}})
	}
	return all
}

func (r *Route) describe() description {
	return description{KindRoute, r.Name, []field{
		show("group", r.Group),
		show("tag", r.Tag),
		show("callers", r.Callers),
		show("read_only", r.ReadOnly),
		show("max_age", r.MaxAge),
		show("at_most_once", r.AtMostOnce),
		show("deadline", r.Deadline),
		show("wait_replicas", r.WaitReplicas),
	}}
}

func (c *Caller) describe() description {
	return description{KindCaller, string(c.Name), []field{
		{name: "verifier", value: c.Verifier, secret: true},
		show("weight", c.Weight),
		show("max_connections", c.MaxConnections),
	}}
}
