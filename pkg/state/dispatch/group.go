package dispatch

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/freshness"
	"gypsumdock/pkg/state/model"
)

const (
	// initialLatency is the assumed latency of a route or an upstream before its
	// first statement.
	initialLatency = 15 * time.Millisecond
	// averageWeight is the weight of a new value in the exponential moving
	// averages of latencies and hold times.
	averageWeight = 0.05
	// primaryReadPenalty is added to the cost of a read at the primary, because
	// only the primary can run writes and reads of the latest data.
	primaryReadPenalty = 5 * time.Millisecond
	// primaryReadFactor multiplies the cost of a read at the primary.
	primaryReadFactor = 1.2
	// remoteRoundTrip is the assumed round trip to another data centre.
	remoteRoundTrip = 2 * time.Millisecond
	// maxCatchUp bounds the replication delay for which a read is still sent to
	// a replica: the replica should reach the position within this time.
	maxCatchUp = 3 * time.Millisecond
	// The answer timeout of a route is the greatest of minAnswerTimeout, the
	// average latency times averageTimeoutFactor, and the peak latency times
	// peakTimeoutNumerator / peakTimeoutDenominator.
	minAnswerTimeout       = 120 * time.Millisecond
	averageTimeoutFactor   = 8
	peakTimeoutNumerator   = 3
	peakTimeoutDenominator = 2
	// routePeakDecay is the factor by which the peak latency of a route decays
	// with each statement.
	routePeakDecay = 0.998
	// serviceMarginFactor is the time, in average latencies of the route, that a
	// unit must have left when it leaves the queue to run.
	serviceMarginFactor = 2
	// minTimeLeft is the least time to the deadline that a unit needs to be
	// sent.
	minTimeLeft = 5 * time.Millisecond
	// failoverTime is the usual time from the failure of a primary to the first
	// statement on its successor: detection, agreement and promotion.
	failoverTime = 1600 * time.Millisecond
	// unknownRetryAfter is the RetryAfter of a refusal if it is not known when
	// an upstream will accept work again.
	unknownRetryAfter = 500 * time.Millisecond
)

// Leadership is the known state of a group's primary.
type Leadership struct {
	Generation model.Generation
	Primary    model.UpstreamID
	// PermitUntil is when this instance's permit to use the primary of the
	// generation expires.
	PermitUntil time.Duration
	// Sealed is true while the primary is being replaced.
	Sealed bool
	// ExpectedAt is when a primary is expected to accept work again; zero if it
	// is not known.
	ExpectedAt time.Duration
	// Term is the term of the generation's log, and StartLSN the log position
	// at which that term starts.
	Term     uint32
	StartLSN model.LSN
}

// acceptsWork reports whether new units may be sent to the primary.
func (l Leadership) acceptsWork(now time.Duration) bool {
	return l.Primary != "" && !l.Sealed && now < l.PermitUntil
}

// Group places the units of one database group on its upstreams.
type Group struct {
	localDataCentre model.DataCentre
	upstreams       []*upstream
	leadership      Leadership
	tracker         *freshness.Tracker
	// averageLatencies holds the moving average of the latencies of each route.
	averageLatencies map[string]time.Duration
	// peakLatencies holds a decaying maximum of the latencies of each route.
	peakLatencies map[string]time.Duration
	// waiting holds the queued units. lines, classes and rechecks order them;
	// lines is sorted by priority.
	waiting  map[*Unit]*waitingUnit
	lines    []*line
	classes  []*class
	rechecks unitHeap
	// lastSequence is the sequence number of the unit that was queued last.
	lastSequence uint64
	// primaryWantedAt is when a unit that needs the primary last came in; zero if
	// none has.
	primaryWantedAt time.Duration
	// late holds what is known of late units, by kindIndex.
	late [2]lateUnits
	// usages measures the callers' use of the slots, by kindIndex.
	usages [2]usage
	// refusals counts the refusals because of the queue. It spreads RetryAfter.
	refusals uint64
	// avoidances holds the changes that TakeAvoidances has not returned yet.
	avoidances []Avoidance
}

// NewGroup returns a group without upstreams, for an instance in the given data
// centre.
func NewGroup(localDataCentre model.DataCentre) *Group {
	return &Group{
		localDataCentre:  localDataCentre,
		tracker:          freshness.New(),
		averageLatencies: make(map[string]time.Duration),
		peakLatencies:    make(map[string]time.Duration),
		waiting:          make(map[*Unit]*waitingUnit),
		rechecks:         unitHeap{kind: heapRechecks},
	}
}

// Freshness returns the tracker of the group's log positions.
func (g *Group) Freshness() *freshness.Tracker { return g.tracker }

// SetUpstreams replaces the upstreams. The recorded load and health of those
// that remain are kept.
func (g *Group) SetUpstreams(specs []UpstreamSpec) {
	g.forgetRemoved(specs)
	upstreams := make([]*upstream, 0, len(specs))
	for _, spec := range specs {
		existing := g.upstream(spec.ID)
		if existing == nil {
			existing = newUpstream(spec)
		}
		existing.spec = spec
		upstreams = append(upstreams, existing)
	}
	slices.SortFunc(upstreams, func(a, b *upstream) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	g.upstreams = upstreams
}

// forgetRemoved removes the log positions of upstreams that are not in specs.
func (g *Group) forgetRemoved(specs []UpstreamSpec) {
	for _, existing := range g.upstreams {
		stays := slices.ContainsFunc(specs, func(spec UpstreamSpec) bool { return spec.ID == existing.spec.ID })
		if !stays {
			g.tracker.Forget(existing.spec.ID)
			if existing.faults.trial.Active() {
				g.avoidances = append(g.avoidances, Avoidance{Upstream: existing.spec.ID})
			}
		}
	}
}

// SetLeadership replaces the known state of the primary.
func (g *Group) SetLeadership(leadership Leadership) { g.leadership = leadership }

// Leadership returns the known state of the primary.
func (g *Group) Leadership() Leadership { return g.leadership }

func (g *Group) upstream(id model.UpstreamID) *upstream {
	for _, candidate := range g.upstreams {
		if candidate.spec.ID == id {
			return candidate
		}
	}
	return nil
}

// Submit places a unit, queues it or refuses it. If both results are nil the
// unit is queued, and a later call of DecideWaiting returns its decision unless
// Cancel removes it first.
func (g *Group) Submit(now time.Duration, unit *Unit) (*Placement, *Refusal) {
	if unit.NeedsPrimary {
		g.primaryWantedAt = max(now, 1)
	}
	if refusal := g.refuseUnservable(now, unit); refusal != nil {
		return nil, refusal
	}
	if placement := g.place(now, unit); placement != nil {
		g.chargeDirect(now, unit, placement)
		return placement, nil
	}
	g.recordIdle(now)
	late, refusal := g.refuseToQueue(now, unit)
	if refusal != nil {
		return nil, refusal
	}
	g.enqueue(now, unit, late)
	return nil, nil
}
