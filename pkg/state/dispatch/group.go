package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

const (
	// firstUsual is the latency of a kind of work that has not been seen yet.
	firstUsual = 15 * time.Millisecond
	// usualGain is the weight of one statement in the usual latency.
	usualGain = 0.05
	// primaryBias is added to the cost of a read at the primary, whose slots
	// writes and reads of the latest data need.
	primaryBias = 5 * time.Millisecond
	// primaryWeight multiplies the cost of a read at the primary.
	primaryWeight = 1.2
	// distantBias is the way to another data centre and back.
	distantBias = 2 * time.Millisecond
	// maxCatchUp is the time for which a read is sent ahead to a replica that
	// is about to have its position.
	maxCatchUp = 3 * time.Millisecond
	// minPatience is the least patience for an answer; it is else the greater
	// of usualPatience usual latencies, and of the longest one of late times
	// longestPatience / patienceScale.
	minPatience     = 120 * time.Millisecond
	usualPatience   = 8
	longestPatience = 3
	patienceScale   = 2
	// longestDecay is the share of the longest latency that a statement leaves.
	longestDecay = 0.998
	// serviceMargin is the time, in usual latencies, that is left for a unit once
	// it is let in.
	serviceMargin = 2
	// answerMargin is the least time that must be left when a unit is sent.
	answerMargin = 5 * time.Millisecond
	// replaceTime is the usual time from the failure of a primary to the first
	// work of the next one: detection, agreement and promotion.
	replaceTime = 1600 * time.Millisecond
	// noPrimaryRetry is advised where it is not known when the group is led
	// again.
	noPrimaryRetry = 500 * time.Millisecond
)

// Leadership is what is known of a group's primary.
type Leadership struct {
	Generation model.Generation
	Primary    model.UpstreamID
	// PermitUntil is when the permit for the generation runs out.
	PermitUntil time.Duration
	// Sealed is true while the primary is being replaced.
	Sealed bool
	// ExpectedAt is when a primary is expected to take work again; zero if
	// that is not known.
	ExpectedAt time.Duration
	// Term and StartNumber are those of the generation's log.
	Term        uint32
	StartNumber model.LSN
}

// isOpen reports whether the primary may get work.
func (l Leadership) isOpen(now time.Duration) bool {
	return l.Primary != "" && !l.Sealed && now < l.PermitUntil
}

// Group places the units of one group.
type Group struct {
	home      model.DataCentre
	upstreams []*upstream
	leader    Leadership
	tracker   *freshness.Tracker
	usual     map[string]time.Duration
	// longest holds a decaying maximum of the latencies of each kind of work.
	longest map[string]time.Duration
	// waiting is ordered by priority, deadline and arrival.
	waiting []*Unit
	placed  uint64
}

// NewGroup returns a group without upstreams for an instance in the data
// centre.
func NewGroup(home model.DataCentre) *Group {
	return &Group{home: home, tracker: freshness.New(), usual: make(map[string]time.Duration), longest: make(map[string]time.Duration)}
}

// Freshness returns the tracker of the group's log positions.
func (g *Group) Freshness() *freshness.Tracker { return g.tracker }

// SetUpstreams replaces the upstreams. The load of those that stay is kept.
func (g *Group) SetUpstreams(specs []UpstreamSpec) {
	g.forgetOthers(specs)
	upstreams := make([]*upstream, 0, len(specs))
	for _, spec := range specs {
		known := g.upstream(spec.ID)
		if known == nil {
			known = newUpstream(spec)
		}
		known.spec = spec
		upstreams = append(upstreams, known)
	}
	slices.SortFunc(upstreams, func(a, b *upstream) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	g.upstreams = upstreams
}

// forgetOthers drops what is known of the logs of upstreams that have left.
func (g *Group) forgetOthers(specs []UpstreamSpec) {
	for _, known := range g.upstreams {
		stays := slices.ContainsFunc(specs, func(spec UpstreamSpec) bool { return spec.ID == known.spec.ID })
		if !stays {
			g.tracker.Forget(known.spec.ID)
		}
	}
}

// SetLeadership replaces what is known of the primary.
func (g *Group) SetLeadership(leader Leadership) { g.leader = leader }

// Leadership returns what is known of the primary.
func (g *Group) Leadership() Leadership { return g.leader }

func (g *Group) upstream(id model.UpstreamID) *upstream {
	for _, candidate := range g.upstreams {
		if candidate.spec.ID == id {
			return candidate
		}
	}
	return nil
}

// Submit places a unit, or lets it wait, or refuses it. It waits if both
// results are nil; a later Next returns its placement.
func (g *Group) Submit(now time.Duration, unit *Unit) (*Placement, *Refusal) {
	if refusal := g.refuse(now, unit); refusal != nil {
		return nil, refusal
	}
	if placement := g.place(now, unit); placement != nil {
		return placement, nil
	}
	if refusal := g.refuseWait(now, unit); refusal != nil {
		return nil, refusal
	}
	g.enqueue(unit)
	return nil, nil
}

func (g *Group) enqueue(unit *Unit) {
	g.placed++
	unit.order = g.placed
	at, _ := slices.BinarySearchFunc(g.waiting, unit, compareUnits)
	g.waiting = slices.Insert(g.waiting, at, unit)
}

func compareUnits(a, b *Unit) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.order, b.order),
	)
}

// Cancel removes a unit that waits. It reports whether the unit was waiting.
func (g *Group) Cancel(unit *Unit) bool {
	at := slices.Index(g.waiting, unit)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// Waiting returns the number of units that wait.
func (g *Group) Waiting() int { return len(g.waiting) }

// Decision is the end of a unit's wait: one of the two is set.
type Decision struct {
	Unit      *Unit
	Placement *Placement
	Refusal   *Refusal
}

// DecideWaiting places the units that wait and can run now, and refuses those that can
// no longer be served in time.
func (g *Group) DecideWaiting(now time.Duration) []Decision {
	var decided []Decision
	kept := g.waiting[:0]
	for _, unit := range g.waiting {
		if refusal := g.refuse(now, unit); refusal != nil {
			decided = append(decided, Decision{Unit: unit, Refusal: refusal})
			continue
		}
		if placement := g.place(now, unit); placement != nil {
			decided = append(decided, Decision{Unit: unit, Placement: placement})
			continue
		}
		if refusal := g.refuseLate(now, unit); refusal != nil {
			decided = append(decided, Decision{Unit: unit, Refusal: refusal})
			continue
		}
		kept = append(kept, unit)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
	return decided
}
