package bundle

import "gypsumdock/pkg/state/model"

// index allows lookups in an immutable bundle without a scan. Its values are
// positions in the bundle's slices.
type index struct {
	groups    map[model.GroupID]int
	databases map[string]int
	callers   map[model.CallerName]int
	// routes holds the positions of each group's routes.
	routes map[model.GroupID][]int
}

// buildIndex builds the index. Merge and Decode call it last. A bundle that was
// built otherwise has no index; lookups then scan its slices.
func (b *Bundle) buildIndex() {
	built := &index{
		groups:    make(map[model.GroupID]int, len(b.Groups)),
		databases: make(map[string]int, len(b.Groups)),
		callers:   make(map[model.CallerName]int, len(b.Callers)),
		routes:    make(map[model.GroupID][]int, len(b.Groups)),
	}
	for i := range b.Groups {
		built.groups[b.Groups[i].ID] = i
		built.databases[b.Groups[i].Database] = i
	}
	for i := range b.Callers {
		built.callers[b.Callers[i].Name] = i
	}
	for i := range b.Routes {
		group := b.Routes[i].Group
		built.routes[group] = append(built.routes[group], i)
	}
	b.index = built
}

// Group returns the group named id.
func (b *Bundle) Group(id model.GroupID) (*Group, bool) {
	if b.index != nil {
		at, ok := b.index.groups[id]
		return entryAt(b.Groups, at, ok)
	}
	return find(b.Groups, func(g *Group) bool { return g.ID == id })
}

// GroupOfDatabase returns the group that serves the database.
func (b *Bundle) GroupOfDatabase(database string) (*Group, bool) {
	if b.index != nil {
		at, ok := b.index.databases[database]
		return entryAt(b.Groups, at, ok)
	}
	return find(b.Groups, func(g *Group) bool { return g.Database == database })
}

// Caller returns the caller named name.
func (b *Bundle) Caller(name model.CallerName) (*Caller, bool) {
	if b.index != nil {
		at, ok := b.index.callers[name]
		return entryAt(b.Callers, at, ok)
	}
	return find(b.Callers, func(c *Caller) bool { return c.Name == name })
}

func entryAt[T any](entries []T, at int, ok bool) (*T, bool) {
	if !ok {
		return nil, false
	}
	return &entries[at], true
}

func find[T any](entries []T, matches func(*T) bool) (*T, bool) {
	for i := range entries {
		if matches(&entries[i]) {
			return &entries[i], true
		}
	}
	return nil, false
}
