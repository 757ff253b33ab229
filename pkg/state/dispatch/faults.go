package dispatch

import (
	"math"
	"time"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/trial"
)

const (
	// faultHalfLife is the time in which a counted statement loses half of its
	// weight.
	faultHalfLife = 4 * time.Second
	// minFaults is the number of faults from which an upstream can be avoided, and
	// minFaultRatio the part of its statements that they must make up.
	minFaults     = 5
	minFaultRatio = 0.1
	// faultFactor is the ratio to the least failing other upstream from which an
	// upstream is avoided. A statement that is wrong itself fails everywhere, as
	// reads are retried elsewhere.
	faultFactor = 3
	// priorFaults and priorStatements are added to the counts of the other
	// upstream, so that one without any statement proves nothing.
	priorFaults     = 1
	priorStatements = 4
	// minDeviations is the number of standard deviations by which the ratios must
	// differ. With fewer, upstreams that fail equally would be avoided by chance.
	minDeviations = 3
	// trialCost is the cost of an upstream that is due for a trial. It is below
	// the cost of any other upstream, so that the trial is chosen.
	trialCost = -time.Hour
)

// Fault is the way in which an upstream failed a statement that should not fail.
type Fault uint8

// The faults of upstreams.
const (
	// FaultNone means that the upstream did what it should.
	FaultNone Fault = iota
	// FaultStatement means that the upstream could not execute the statement.
	FaultStatement
	// FaultTimeout means that the upstream gave up the statement.
	FaultTimeout
	// FaultBusy means that all statement slots were taken. It counts only if the
	// servers of the group together had fewer statements outstanding than slots.
	FaultBusy
)

// Avoidance reports that an upstream has begun or ceased to be avoided.
type Avoidance struct {
	Upstream model.UpstreamID
	Avoided  bool
	// Ratio is the part of its statements that failed, and OthersRatio that of the
	// least failing other upstream.
	Ratio       float64
	OthersRatio float64
}

// faults counts the statements that an upstream failed, with weights that halve
// each faultHalfLife.
type faults struct {
	statements float64
	failed     float64
	at         time.Duration
	trial      trial.Trial
}

func (f *faults) decay(now time.Duration) {
	if now <= f.at {
		return
	}
	factor := math.Exp2(-float64(now-f.at) / float64(faultHalfLife))
	f.statements *= factor
	f.failed *= factor
	f.at = now
}

func (f *faults) ratio() float64 { return f.failed / max(f.statements, 1) }

// cautiousRatio returns the ratio with the prior counts.
func (f *faults) cautiousRatio() float64 {
	return (f.failed + priorFaults) / (f.statements + priorStatements)
}

// recordResult counts a statement of the placement if it only reads. Writes count
// neither way, as the ratio decides on reads only.
func (g *Group) recordResult(now time.Duration, target *upstream, placement *Placement, failed bool) {
	if !placement.read {
		return
	}
	f := &target.faults
	f.decay(now)
	f.statements++
	if failed {
		f.failed++
	}
	if !f.trial.Active() || placement.PlacedAt < f.trial.StartedAt() {
		return
	}
	if failed {
		f.trial.Failed(now)
		return
	}
	if f.trial.Passed(now) {
		f.statements, f.failed = 0, 0
		g.avoidances = append(g.avoidances, Avoidance{Upstream: target.spec.ID})
	}
}

// AnswerFailed records an answer by which an upstream failed a statement. The
// latency counts only if it is above the average: an upstream that fails at once
// is not a fast one. It reports whether the fault counts against the upstream.
func (g *Group) AnswerFailed(now time.Duration, placement *Placement, route string, latency time.Duration, fault Fault) bool {
	target := g.upstream(placement.Upstream)
	if target == nil {
		return false
	}
	target.endStatement(placement)
	placement.meter.stop(now)
	target.outstanding = max(0, target.outstanding-1)
	target.recordAnswer(now)
	if latency >= g.averageLatency(route) {
		target.recordLatency(now, latency, g.averageLatency(route))
	}
	counts := fault == FaultTimeout || fault == FaultStatement || fault == FaultBusy && target.shouldHaveRoom()
	counts = counts && placement.read
	if counts {
		g.recordResult(now, target, placement, true)
	}
	return counts
}

// AnswerMissed records that there was no answer to a statement in time.
func (g *Group) AnswerMissed(now time.Duration, placement *Placement) {
	g.Abandoned(placement)
	if target := g.upstream(placement.Upstream); target != nil {
		g.recordResult(now, target, placement, true)
	}
}

// shouldHaveRoom reports whether the upstream is known to have a free slot.
func (u *upstream) shouldHaveRoom() bool {
	return u.othersKnown && u.active+u.othersOutstanding < u.spec.Slots
}

// updateAvoided begins to avoid the upstreams that fail clearly more statements
// than the least failing other upstream.
func (g *Group) updateAvoided(now time.Duration) {
	for _, candidate := range g.upstreams {
		candidate.faults.decay(now)
	}
	for _, candidate := range g.upstreams {
		f := &candidate.faults
		if f.trial.Active() || f.failed < minFaults || f.ratio() < minFaultRatio {
			continue
		}
		best := g.leastFailing(now, candidate)
		if best == nil || !f.failsMoreThan(best) {
			continue
		}
		f.trial.Start(now)
		g.avoidances = append(g.avoidances, Avoidance{Upstream: candidate.spec.ID, Avoided: true, Ratio: f.ratio(), OthersRatio: best.ratio()})
	}
}

// leastFailing returns the counts of the least failing upstream in use except the
// excluded one, or nil if there is none.
func (g *Group) leastFailing(now time.Duration, excluded *upstream) *faults {
	var best *faults
	for _, other := range g.upstreams {
		if other == excluded || other.faults.trial.Active() || !other.isReachable(now) {
			continue
		}
		if best == nil || other.faults.cautiousRatio() < best.cautiousRatio() {
			best = &other.faults
		}
	}
	return best
}

// failsMoreThan reports whether the ratio is at least faultFactor times that of
// another upstream, and the difference exceeds minDeviations standard deviations.
func (f *faults) failsMoreThan(other *faults) bool {
	if f.ratio() < faultFactor*other.cautiousRatio() {
		return false
	}
	ours, theirs := max(f.statements, 1), other.statements+priorStatements
	pooled := (f.failed + other.failed + priorFaults) / (ours + theirs)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/ours + 1/theirs))
	return f.ratio()-other.cautiousRatio() > minDeviations*deviation
}

// avoidedReadCost changes the cost of a read at an upstream that is avoided, and
// returns false if it must not get the read.
func (g *Group) avoidedReadCost(now time.Duration, unit *Unit, candidate *upstream, cost time.Duration) (time.Duration, bool) {
	if !candidate.faults.trial.Active() || !g.othersCanTake(now, unit, candidate) {
		return cost, true
	}
	return trialCost, candidate.faults.trial.Admits(now)
}

// othersCanTake reports whether an upstream other than the excluded one that is
// not avoided can run the read in time, whether or not it has room now.
func (g *Group) othersCanTake(now time.Duration, unit *Unit, excluded *upstream) bool {
	end := unit.Deadline
	if unit.Target != 0 {
		end = min(end, unit.Target)
	}
	for _, other := range g.upstreams {
		if other == excluded || other.faults.trial.Active() || !other.isReachable(now) || unit.hasFailedAt(other.spec.ID) || other.refusesAll(now) {
			continue
		}
		if other.spec.ID == g.leadership.Primary {
			if g.leadership.acceptsWork(now) {
				return true
			}
			continue
		}
		position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
		if proven && !other.spec.Draining && now+g.tracker.EstimatedWait(other.spec.ID, now, position, reachedAt) < end {
			return true
		}
	}
	return false
}

// TakeAvoidances returns the upstreams that have begun or ceased to be avoided
// since its last call, in the order of the changes.
func (g *Group) TakeAvoidances() []Avoidance {
	taken := g.avoidances
	g.avoidances = nil
	return taken
}
