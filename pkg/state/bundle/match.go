package bundle

import (
	"slices"

	"gypsumdock/pkg/state/model"
)

// RouteFor returns the route for a statement of the caller in the group, or
// false where none matches. Of several, one with a tag goes before one
// without, and then one that names its callers before one that does not. The
// checks of a folder make sure that this leaves at most one.
func (b *Bundle) RouteFor(group model.GroupID, tag string, caller model.CallerName) (*Route, bool) {
	var best *Route
	consider := func(route *Route) {
		if route.Matches(group, tag, caller) && (best == nil || route.rank() > best.rank()) {
			best = route
		}
	}
	if b.index != nil {
		for _, at := range b.index.routes[group] {
			consider(&b.Routes[at])
		}
		return best, best != nil
	}
	for i := range b.Routes {
		consider(&b.Routes[i])
	}
	return best, best != nil
}

// Matches reports whether the route takes a statement of the caller with the
// tag in the group.
func (r *Route) Matches(group model.GroupID, tag string, caller model.CallerName) bool {
	if r.Group != group || (r.Tag != "" && r.Tag != tag) {
		return false
	}
	return len(r.Callers) == 0 || slices.Contains(r.Callers, caller)
}

const (
	rankTag     = 2
	rankCallers = 1
)

// rank orders routes that match the same statement; higher goes first.
func (r *Route) rank() int {
	rank := 0
	if r.Tag != "" {
		rank += rankTag
	}
	if len(r.Callers) > 0 {
		rank += rankCallers
	}
	return rank
}

// overlaps reports whether RouteFor could not choose between both routes for
// some statement.
func (r *Route) overlaps(other *Route) bool {
	if r.Group != other.Group || r.Tag != other.Tag || r.rank() != other.rank() {
		return false
	}
	if len(r.Callers) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Callers, func(c model.CallerName) bool { return slices.Contains(other.Callers, c) })
}

// InitialPrimary returns the upstream that starts as primary when the group
// is new.
func (g *Group) InitialPrimary() model.UpstreamID {
	if g.Primary != "" || len(g.Upstreams) == 0 {
		return g.Primary
	}
	return g.Upstreams[0].ID
}

// InitialTimeline returns the primary's timeline when the group is new.
func (g *Group) InitialTimeline() uint32 { return max(g.Timeline, 1) }
