package bundle

import (
	"slices"

	"gypsumdock/pkg/state/model"
)

// RouteFor returns the route for a statement of the caller in the group, or
// false if none matches. If several match, a route with a tag takes precedence
// over one without, and then a route that names its callers over one that does
// not. Check ensures that this determines the route.
func (b *Bundle) RouteFor(group model.GroupID, tag string, caller model.CallerName) (*Route, bool) {
	var best *Route
	consider := func(route *Route) {
		if route.Matches(group, tag, caller) && (best == nil || route.precedence() > best.precedence()) {
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

// Matches reports whether the route applies to a statement of the caller with
// the tag in the group.
func (r *Route) Matches(group model.GroupID, tag string, caller model.CallerName) bool {
	if r.Group != group || (r.Tag != "" && r.Tag != tag) {
		return false
	}
	return len(r.Callers) == 0 || slices.Contains(r.Callers, caller)
}

const (
	tagPrecedence     = 2
	callersPrecedence = 1
)

// precedence orders routes that match the same statement; the highest applies.
func (r *Route) precedence() int {
	precedence := 0
	if r.Tag != "" {
		precedence += tagPrecedence
	}
	if len(r.Callers) > 0 {
		precedence += callersPrecedence
	}
	return precedence
}

// overlaps reports whether some statement matches both routes with the same
// precedence, so that RouteFor could not choose between them.
func (r *Route) overlaps(other *Route) bool {
	if r.Group != other.Group || r.Tag != other.Tag || r.precedence() != other.precedence() {
		return false
	}
	if len(r.Callers) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Callers, func(c model.CallerName) bool { return slices.Contains(other.Callers, c) })
}

// InitialPrimary returns the upstream that is the primary when the group is
// new.
func (g *Group) InitialPrimary() model.UpstreamID {
	if g.Primary != "" || len(g.Upstreams) == 0 {
		return g.Primary
	}
	return g.Upstreams[0].ID
}

// InitialTimeline returns the primary's timeline when the group is new.
func (g *Group) InitialTimeline() uint32 { return max(g.Timeline, 1) }
