package region

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// removalGrace is how long an upstream is kept after its row was deleted. Rows
// that expired during an outage of the store reappear about two seconds after
// the store is back.
const removalGrace = 2500 * time.Millisecond

// registry holds the upstreams that have registered in the databases table. It
// is used by the control goroutine only.
type registry struct {
	upstreams map[model.UpstreamID]catalog.Upstream
	// removedAt holds the time at which an upstream's row was found deleted.
	removedAt map[model.UpstreamID]time.Duration
}

func newRegistry() *registry {
	return &registry{
		upstreams: make(map[model.UpstreamID]catalog.Upstream),
		removedAt: make(map[model.UpstreamID]time.Duration),
	}
}

// put adds or updates an upstream. It reports whether anything has changed.
func (r *registry) put(upstream catalog.Upstream) bool {
	_, wasRemoved := r.removedAt[upstream.ID]
	delete(r.removedAt, upstream.ID)
	known, exists := r.upstreams[upstream.ID]
	r.upstreams[upstream.ID] = upstream
	return wasRemoved || !exists || known != upstream
}

// remove records that the row of an upstream was deleted. expire drops the
// upstream after removalGrace.
func (r *registry) remove(now time.Duration, id model.UpstreamID) {
	if _, exists := r.upstreams[id]; !exists {
		return
	}
	if _, known := r.removedAt[id]; !known {
		r.removedAt[id] = now
	}
}

// replace puts all upstreams of a complete read of the table, and removes those
// that are missing in it. It reports whether put has changed anything.
func (r *registry) replace(now time.Duration, all []catalog.Upstream) bool {
	changed := false
	present := make(map[model.UpstreamID]bool, len(all))
	for _, upstream := range all {
		present[upstream.ID] = true
		changed = r.put(upstream) || changed
	}
	for id := range r.upstreams {
		if !present[id] {
			r.remove(now, id)
		}
	}
	return changed
}

// expire drops the upstreams whose rows were deleted at least removalGrace ago,
// and returns their IDs.
func (r *registry) expire(now time.Duration) []model.UpstreamID {
	var dropped []model.UpstreamID
	for id, since := range r.removedAt {
		if now-since >= removalGrace {
			delete(r.removedAt, id)
			delete(r.upstreams, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// present returns the upstreams that have a row, ordered by ID.
func (r *registry) present() []catalog.Upstream {
	var found []catalog.Upstream
	for id, upstream := range r.upstreams {
		if _, removed := r.removedAt[id]; !removed {
			found = append(found, upstream)
		}
	}
	slices.SortFunc(found, func(a, b catalog.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// byGroup returns the upstreams of a group, ordered by ID, including those
// whose row was deleted less than removalGrace ago.
func (r *registry) byGroup(group model.GroupID) []catalog.Upstream {
	var found []catalog.Upstream
	for _, upstream := range r.upstreams {
		if upstream.Group == group {
			found = append(found, upstream)
		}
	}
	slices.SortFunc(found, func(a, b catalog.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return found
}
