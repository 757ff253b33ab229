package lag

import (
	"sort"
	"time"

	"gypsumdock/pkg/state/model"
)

// minSamples is the least number of samples for which a history is useful.
const minSamples = 8

// sample states that the primary's position was at most position at the time
// askedAt.
type sample struct {
	askedAt  time.Duration
	position model.Mark
}

// history holds samples in ascending order of both fields. When it is full, it
// drops every other sample of its older half, so that the spacing of the samples
// grows with their age. A dropped sample can only make a bound on the age
// greater, never smaller.
type history struct {
	limit   int
	samples []sample
}

func (h *history) add(s sample) {
	if h.isObsolete(s) {
		return
	}
	h.dropDominated(s)
	h.samples = append(h.samples, s)
	if len(h.samples) > h.limit {
		h.thinOut()
	}
}

// isObsolete reports whether a sample asked at the same time or later is held.
func (h *history) isObsolete(s sample) bool {
	return len(h.samples) > 0 && h.samples[len(h.samples)-1].askedAt >= s.askedAt
}

// dropDominated drops the samples that s makes useless: they were asked earlier
// and their position is not lower.
func (h *history) dropDominated(s sample) {
	kept := len(h.samples)
	for kept > 0 && !h.samples[kept-1].position.Before(s.position) {
		kept--
	}
	h.samples = h.samples[:kept]
}

// thinOut drops every other sample of the older half.
func (h *history) thinOut() {
	half := len(h.samples) / 2
	kept := h.samples[:0]
	for i, s := range h.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	h.samples = kept
}

// freshAt returns the latest known time at which the primary's position was at
// most applied, or false if none is known.
func (h *history) freshAt(applied model.Mark) (time.Duration, bool) {
	next := sort.Search(len(h.samples), func(i int) bool {
		return applied.Before(h.samples[i].position)
	})
	if next == 0 {
		return 0, false
	}
	return h.samples[next-1].askedAt, true
}
