package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	KindGroup    Kind = "group"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
	KindCaller   Kind = "caller"
)

// ChangeType tells what happened to an entry.
type ChangeType string

// The types of changes.
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
	// Fields lists the fields that differ if Type is Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field that differs. Values of secret fields are masked.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// mask replaces the value of a secret field.
const mask = "********"

// String formats the change as one line without a line break.
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

// Diff returns the entries that differ, ordered by kind and name. A nil bundle
// counts as empty.
func Diff(before, after *Bundle) []Change {
	old, current := describe(before), describe(after)
	var changes []Change
	for _, entry := range old {
		if at := entry.indexIn(current); at < 0 {
			changes = append(changes, Change{Type: Removed, Kind: entry.kind, Name: entry.name})
		}
	}
	for _, entry := range current {
		at := entry.indexIn(old)
		if at < 0 {
			changes = append(changes, Change{Type: Added, Kind: entry.kind, Name: entry.name})
			continue
		}
		if fields := changedFields(old[at].fields, entry.fields); len(fields) > 0 {
			changes = append(changes, Change{Type: Changed, Kind: entry.kind, Name: entry.name, Fields: fields})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// description is an entry as a list of fields. All entries of a kind have the
// same fields in the same order.
type description struct {
	kind   Kind
	name   string
	fields []field
}

type field struct {
	name, value string
	secret      bool
}

// indexIn returns the index of the entry with the same kind and name, or -1.
func (d description) indexIn(all []description) int {
	return slices.IndexFunc(all, func(o description) bool { return o.kind == d.kind && o.name == d.name })
}

// changedFields compares the fields of two entries of the same kind.
func changedFields(old, current []field) []FieldChange {
	var changes []FieldChange
	for i := range current {
		if old[i].value == current[i].value {
			continue
		}
		changes = append(changes, FieldChange{Name: current[i].name, Old: old[i].display(), New: current[i].display()})
	}
	return changes
}

// display returns the value, or a mask if it is secret.
func (f field) display() string {
	if f.secret {
		return mask
	}
	return f.value
}

// plainField returns a field that is not secret.
func plainField(name string, value any) field { return field{name: name, value: fmt.Sprint(value)} }

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
		plainField("database", g.Database),
		plainField("user", g.User),
		{name: "password", value: g.Password, secret: true},
		plainField("primary", g.Primary),
		plainField("timeline", g.Timeline),
	}}}
	for _, u := range g.Upstreams {
		all = append(all, description{KindUpstream, string(u.ID), []field{
			plainField("group", g.ID),
			plainField("address", u.Address),
			plainField("data_centre", u.DataCentre),
			plainField("slots", u.Slots),
			plainField("connections", u.Connections),
			plainField("leaving", u.Leaving),
		}})
	}
	return all
}

func (r *Route) describe() description {
	return description{KindRoute, r.Name, []field{
		plainField("group", r.Group),
		plainField("tag", r.Tag),
		plainField("callers", r.Callers),
		plainField("read_only", r.ReadOnly),
		plainField("max_age", r.MaxAge),
		plainField("at_most_once", r.AtMostOnce),
		plainField("deadline", r.Deadline),
		plainField("wait_replicas", r.WaitReplicas),
	}}
}

func (c *Caller) describe() description {
	return description{KindCaller, string(c.Name), append([]field{
		{name: "verifier", value: c.Verifier, secret: true},
		plainField("weight", c.Weight),
		plainField("max_connections", c.MaxConnections),
	}, c.describePolicy()...)}
}
