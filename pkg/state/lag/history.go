package lag

import (
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

// minHistory is the least useful number of samples.
const minHistory = 8

// point says that the primary's position was at most at when askedAt passed.
type point struct {
	askedAt time.Duration
	at      model.Mark
}

// history holds points in ascending order of both fields. When it is full, it
// drops every other point of its older half, so that the spacing of the points
// grows with their age; the bound that a missing point would have given
// becomes older, never younger.
type history struct {
	limit  int
	points []point
}

func (h *history) add(p point) {
	if h.covers(p) {
		return
	}
	h.dropDominated(p)
	h.points = append(h.points, p)
	if len(h.points) > h.limit {
		h.thin()
	}
}

// covers reports whether a later question is already answered.
func (h *history) covers(p point) bool {
	return len(h.points) > 0 && h.points[len(h.points)-1].askedAt >= p.askedAt
}

// dropDominated drops the points that p makes useless: asked earlier, and
// reached no earlier.
func (h *history) dropDominated(p point) {
	kept := len(h.points)
	for kept > 0 && !h.points[kept-1].at.Before(p.at) {
		kept--
	}
	h.points = h.points[:kept]
}

func (h *history) thin() {
	half := len(h.points) / 2
	kept := h.points[:0]
	for i, p := range h.points {
		if i >= half || i%2 == 0 {
			kept = append(kept, p)
		}
	}
	h.points = kept
}

// passed returns the latest time at which the primary's position was at most
// applied.
func (h *history) passed(applied model.Mark) (time.Duration, bool) {
	next := sort.Search(len(h.points), func(i int) bool {
		return applied.Before(h.points[i].at)
	})
	if next == 0 {
		return 0, false
	}
	return h.points[next-1].askedAt, true
}
