package dispatch

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// initialOpeningTime is the assumed time to open a connection before the first
	// one.
	initialOpeningTime = 12 * time.Millisecond
	// suspectAfter is the time without an answer, in addition to the peak
	// latency, after which an upstream with outstanding statements is suspected.
	suspectAfter = 250 * time.Millisecond
	// maxSuspicionPeak bounds the peak latency in that sum.
	maxSuspicionPeak = 350 * time.Millisecond
	// upstreamPeakDecay is the factor by which the peak latency of an upstream
	// decays with each statement.
	upstreamPeakDecay = 0.98
	// slownessWeight is the weight of one statement in the slowness.
	slownessWeight = 0.15
	// slownessHalfLife is the time in which the slowness loses half of its
	// difference from 1 if no statement is answered.
	slownessHalfLife = 500 * time.Millisecond
	// maxConsecutiveLosses is the number of consecutive statements that lose
	// their connections after which an upstream is taken as failed.
	maxConsecutiveLosses = 4
	// refusalAfterLoss is the time after the loss of a connection during which a
	// refused connection counts as a failure.
	refusalAfterLoss = time.Second
	// maxRefusalTime is the time without an open connection after which a
	// refused connection counts as a failure. It exceeds the 3 s after which an
	// upstream drops the connections of a failed instance.
	maxRefusalTime = 4 * time.Second
	// maxSlownessSample bounds the latency ratio that one statement adds to the
	// slowness.
	maxSlownessSample = 20
)

// UpstreamSpec describes an upstream as set by the configuration and the control
// state.
type UpstreamSpec struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// Slots is the number of statements that the upstream runs at once.
	Slots int
	// MaxConnections is the number of connections that this instance may use.
	MaxConnections int
	// MaxOutstanding is the number of statements that this instance sends at
	// once. More of them would only wait in the upstream's own queue, where they
	// can be neither ordered nor refused.
	MaxOutstanding int
	// Draining is set while the upstream is being removed. A draining replica
	// gets no new units.
	Draining bool
}

// upstream is the load and health of an upstream as seen by this instance.
type upstream struct {
	spec UpstreamSpec
	// inUse counts the connections that units hold. active counts those whose
	// unit is not a transaction that waits for its caller.
	inUse  int
	active int
	// heldBy counts the connections that the units of each caller hold.
	heldBy map[model.CallerName]int
	// openingTime is the average time to open a connection.
	openingTime time.Duration
	// slowness is the moving average of the ratio of a statement's latency to
	// the average of its route at all upstreams, as of slownessAt.
	slowness   float64
	slownessAt time.Duration
	// holdTime is the average time for which a unit holds a connection.
	holdTime time.Duration
	// averageLatency is the average latency of all statements.
	averageLatency time.Duration
	// peakLatency is a decaying maximum of the latencies.
	peakLatency time.Duration
	// outstanding counts the statements without an answer. silentSince is when
	// the first of them was sent or the last answer arrived, whichever is later.
	outstanding int
	silentSince time.Duration
	// down is set from a failure until a connection is opened or an answer
	// arrives.
	down      bool
	downSince time.Duration
	// observedLimit is the number of open connections at which the upstream
	// refused another. It applies until limitedUntil.
	observedLimit int
	limitedUntil  time.Duration
	// lastLossAt is when a connection was last lost; zero once the upstream has
	// answered since. consecutiveLosses counts the statements that lost their
	// connections since the last answer.
	lastLossAt        time.Duration
	consecutiveLosses int
	// refusedSince is when the upstream first refused a connection while this
	// instance had none; zero once it has accepted one.
	refusedSince time.Duration
	// refusingConnections is set while the upstream refuses connections for
	// another reason than a reached connection limit; see isRefusalFailure.
	refusingConnections bool
	// faults counts the statements that the upstream failed. Probes do not change
	// it.
	faults faults
	// outstandingLimit replaces spec.MaxOutstanding unless it is zero.
	outstandingLimit int
	// othersOutstanding is the number of statements that the other servers of the
	// group have outstanding, if othersKnown is set.
	othersOutstanding int
	othersKnown       bool
}

func newUpstream(spec UpstreamSpec) *upstream {
	return &upstream{
		spec: spec, slowness: 1, holdTime: initialLatency, averageLatency: initialLatency,
		heldBy: make(map[model.CallerName]int), openingTime: initialOpeningTime,
	}
}

// limit returns the number of connections that this instance may use now.
func (u *upstream) limit(now time.Duration) int {
	if now < u.limitedUntil {
		return min(u.observedLimit, u.spec.MaxConnections)
	}
	return u.spec.MaxConnections
}

func (u *upstream) hasRoom(now time.Duration) bool {
	return u.inUse < u.limit(now) && u.active < u.maxOutstanding()
}

// hasRoomFor is hasRoom for a unit of the caller, which may hold at most half of
// the connections, so that its idle transactions leave some to the others.
func (u *upstream) hasRoomFor(now time.Duration, caller model.CallerName) bool {
	return u.hasRoom(now) && (caller == "" || u.heldBy[caller] < max(1, u.limit(now)/2))
}

// countHeld adds change to the connections that units of the caller hold.
func (u *upstream) countHeld(caller model.CallerName, change int) {
	if caller == "" {
		return
	}
	u.heldBy[caller] += change
	if u.heldBy[caller] <= 0 {
		delete(u.heldBy, caller)
	}
}

// openingCost estimates the time to open a connection for the unit; zero if one
// is idle. Units without a caller share connections, so that one is rarely opened.
func (u *upstream) openingCost(unit *Unit) time.Duration {
	if unit.Caller == "" || slices.Contains(unit.IdleAt, u.spec.ID) {
		return 0
	}
	return u.openingTime
}

// recordOpening records the time that it took to open a connection.
func (u *upstream) recordOpening(took time.Duration) {
	u.openingTime += time.Duration(averageWeight * float64(took-u.openingTime))
}

// queueWait estimates the time until the given number of units have left the
// queue for this upstream.
func (u *upstream) queueWait(now time.Duration, units int) time.Duration {
	limit := max(1, u.limit(now))
	maxOutstanding := max(1, u.maxOutstanding())
	return time.Duration(units) * max(u.holdTime/time.Duration(limit), u.averageLatency/time.Duration(maxOutstanding))
}

// refusesAll reports whether this instance may not use any connection now.
func (u *upstream) refusesAll(now time.Duration) bool { return u.limit(now) == 0 }

// isSuspect reports whether the upstream has been silent for too long.
func (u *upstream) isSuspect(now time.Duration) bool {
	if u.outstanding == 0 {
		return false
	}
	return now-u.silentSince > suspectAfter+min(u.peakLatency, maxSuspicionPeak)
}

// isReachable reports whether units may be sent. A failed upstream gets none
// until it has accepted a connection or answered a probe.
func (u *upstream) isReachable(now time.Duration) bool {
	return !u.down && !u.isSuspect(now)
}

// unhealthySince reports whether the upstream has failed or is suspected, and
// returns since when.
func (u *upstream) unhealthySince(now time.Duration) (time.Duration, bool) {
	if u.down {
		return u.downSince, true
	}
	return u.silentSince, u.isSuspect(now)
}

// recordAnswer records an answer to a statement or a probe.
func (u *upstream) recordAnswer(now time.Duration) {
	u.silentSince = now
	u.down = false
	u.lastLossAt = 0
	u.consecutiveLosses = 0
	u.refusedSince = 0
	u.refusingConnections = false
}

// recordConnect records a new connection. It does not clear the failure of an
// upstream that accepts connections and then breaks them.
func (u *upstream) recordConnect(now time.Duration) {
	if u.consecutiveLosses >= maxConsecutiveLosses {
		return
	}
	u.silentSince = now
	u.down = false
	u.refusedSince = 0
	u.refusingConnections = false
}

// isRefusalFailure reports whether a refused connection counts as a failure. An
// upstream that resets every connection otherwise looks like one that has
// reached its connection limit.
func (u *upstream) isRefusalFailure(now time.Duration) bool {
	afterLoss := u.lastLossAt != 0 && now-u.lastLossAt < refusalAfterLoss
	refusedTooLong := u.refusedSince != 0 && now-u.refusedSince >= maxRefusalTime
	return afterLoss || refusedTooLong
}

// recordLoss records a statement whose connection broke.
func (u *upstream) recordLoss(now time.Duration) {
	u.lastLossAt = now
	u.consecutiveLosses++
	if u.consecutiveLosses >= maxConsecutiveLosses {
		u.recordFailure(now)
	}
}

// recordFailure marks the upstream as down.
func (u *upstream) recordFailure(now time.Duration) {
	if !u.down {
		u.down = true
		u.downSince = now
	}
}

// recordLatency records the latency of a statement, given the average latency
// of its route.
func (u *upstream) recordLatency(now, latency, average time.Duration) {
	u.averageLatency += time.Duration(averageWeight * float64(latency-u.averageLatency))
	u.peakLatency = max(latency, time.Duration(float64(u.peakLatency)*upstreamPeakDecay))
	if average <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(average), maxSlownessSample)
	u.slowness = u.currentSlowness(now)*(1-slownessWeight) + ratio*slownessWeight
	u.slownessAt = now
}

// currentSlowness returns the slowness, which decays towards 1 so that a slow
// upstream is tried again.
func (u *upstream) currentSlowness(now time.Duration) float64 {
	halfLives := float64(now-u.slownessAt) / float64(slownessHalfLife)
	return 1 + (u.slowness-1)/(1+halfLives)
}

// statementCost estimates the latency of one more statement, given the average
// latency of its route.
func (u *upstream) statementCost(now, latency time.Duration) time.Duration {
	slots := float64(max(u.spec.Slots, 1))
	load := float64(u.active) / slots
	return time.Duration(float64(latency) * (u.currentSlowness(now) + load))
}

// endStatement records that the unit of a placement has no statement at the
// upstream.
func (u *upstream) endStatement(placement *Placement) {
	if placement.active {
		placement.active = false
		u.active--
	}
}

// startStatement records that the unit of a placement sent a statement.
func (u *upstream) startStatement(placement *Placement) {
	if !placement.active {
		placement.active = true
		u.active++
	}
}
