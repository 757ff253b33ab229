package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// suspectAfter is the silence of an upstream that has something to answer
	// after which it is doubted, in addition to its usual latency.
	suspectAfter = 250 * time.Millisecond
	// maxUsualLatency bounds the usual latency in that sum.
	maxUsualLatency = 350 * time.Millisecond
	// peakDecay is the share of an older, greater latency that stays.
	peakDecay = 0.98
	// slownessGain is the weight of one statement in the slowness.
	slownessGain = 0.15
	// slownessForget is the time in which an old slowness loses half of its
	// difference from 1.
	slownessForget = 500 * time.Millisecond
	// lossesInRow is the number of statements in a row that end with their
	// connections after which an upstream is doubted.
	lossesInRow = 4
	// refusedAfterLoss is the time after the loss of a connection in which a
	// refused one counts as a failure.
	refusedAfterLoss = time.Second
	// refusedTooLong is the time without any connection after which refused ones
	// do. Upstreams drop the connections of lost instances after 3 s.
	refusedTooLong = 4 * time.Second
	// slownessMax bounds what one statement counts.
	slownessMax = 20
)

// UpstreamSpec is what the configuration and the control state say of an upstream.
type UpstreamSpec struct {
	ID         model.UpstreamID
	DataCentre model.DataCentre
	// Slots is the number of statements that it runs at once.
	Slots int
	// MaxConnections is the number of connections that this instance may use, and
	// Window the number of statements that it sends at once: more would only
	// wait in the upstream's own queue, where nothing is ordered or refused.
	MaxConnections int
	MaxOutstanding int
	// Draining upstreams get no new units.
	Draining bool
}

// upstream is an upstream with its load.
type upstream struct {
	spec UpstreamSpec
	// inUse counts the connections that units hold, and active those of them
	// whose unit is not a transaction that waits for its caller.
	inUse  int
	active int
	// slowness is the mean ratio of latencies to those that are usual for the
	// same work at all upstreams.
	slowness   float64
	slownessAt time.Duration
	// holding is the usual time for which a unit holds a connection.
	holding time.Duration
	// latency is the usual time of a statement there.
	latency time.Duration
	// peak is a decaying maximum of latencies.
	peak time.Duration
	// pending counts statements without an answer; silentSince is when the
	// first of them was sent, or the last answer came if that was later.
	pending     int
	silentSince time.Duration
	// down is set since a connection failed, until one succeeds.
	down      bool
	downSince time.Duration
	// full is the limit that the upstream itself has shown, until fullUntil.
	full      int
	fullUntil time.Duration
	// lostAt is when a statement last ended with its connection; zero once the
	// upstream has answered since. losses counts those in a row.
	lostAt time.Duration
	losses int
	// refusedSince is when it first refused a connection while this instance had
	// none; zero once it has taken one.
	refusedSince time.Duration
	// refusing is set while it refuses connections although it also lost
	// statements, so that it is not only full.
	refusing bool
}

func newUpstream(spec UpstreamSpec) *upstream {
	return &upstream{spec: spec, slowness: 1, holding: firstUsual, latency: firstUsual}
}

// limit returns the number of connections that may be used now.
func (u *upstream) limit(now time.Duration) int {
	if now < u.fullUntil {
		return min(u.full, u.spec.MaxConnections)
	}
	return u.spec.MaxConnections
}

func (u *upstream) hasRoom(now time.Duration) bool {
	return u.inUse < u.limit(now) && u.active < u.spec.MaxOutstanding
}

// waitFor estimates how long it takes to let a number of units in.
func (u *upstream) waitFor(now time.Duration, units int) time.Duration {
	limit := max(1, u.limit(now))
	window := max(1, u.spec.MaxOutstanding)
	return time.Duration(units) * max(u.holding/time.Duration(limit), u.latency/time.Duration(window))
}

// isShut reports whether the upstream takes no connection of this instance.
func (u *upstream) isShut(now time.Duration) bool { return u.limit(now) == 0 }

// isSuspect reports whether the upstream has been silent for too long.
func (u *upstream) isSuspect(now time.Duration) bool {
	if u.pending == 0 {
		return false
	}
	return now-u.silentSince > suspectAfter+min(u.peak, maxUsualLatency)
}

// isReachable reports whether units may be sent. An upstream to which a
// connection failed gets none until it has answered a probe.
func (u *upstream) isReachable(now time.Duration) bool {
	return !u.down && !u.isSuspect(now)
}

// troubledSince returns when the upstream was last known to be well, if it is
// not.
func (u *upstream) troubledSince(now time.Duration) (time.Duration, bool) {
	if u.down {
		return u.downSince, true
	}
	return u.silentSince, u.isSuspect(now)
}

// well records that the upstream has answered.
func (u *upstream) well(now time.Duration) {
	u.silentSince = now
	u.down = false
	u.lostAt = 0
	u.losses = 0
	u.refusedSince = 0
	u.refusing = false
}

// connected records a new connection. It says little of an upstream that takes
// connections and then breaks them.
func (u *upstream) connected(now time.Duration) {
	if u.losses >= lossesInRow {
		return
	}
	u.silentSince = now
	u.down = false
	u.refusedSince = 0
	u.refusing = false
}

// isFailing reports whether an upstream that refuses connections is not only
// full: one that resets everything looks the same.
func (u *upstream) isFailing(now time.Duration) bool {
	afterLoss := u.lostAt != 0 && now-u.lostAt < refusedAfterLoss
	tooLong := u.refusedSince != 0 && now-u.refusedSince >= refusedTooLong
	return afterLoss || tooLong
}

// lost records a statement that ended with its connection.
func (u *upstream) lost(now time.Duration) {
	u.lostAt = now
	u.losses++
	if u.losses >= lossesInRow {
		u.fail(now)
	}
}

// fail records that the upstream takes no work.
func (u *upstream) fail(now time.Duration) {
	if !u.down {
		u.down = true
		u.downSince = now
	}
}

// observe takes the latency of a statement, and that which is usual for its
// work.
func (u *upstream) observe(now, latency, usual time.Duration) {
	u.latency += time.Duration(usualGain * float64(latency-u.latency))
	u.peak = max(latency, time.Duration(float64(u.peak)*peakDecay))
	if usual <= 0 {
		return
	}
	ratio := min(float64(latency)/float64(usual), slownessMax)
	u.slowness = u.currentSlowness(now)*(1-slownessGain) + ratio*slownessGain
	u.slownessAt = now
}

// currentSlowness forgets old observations, so that an upstream which was slow
// is tried again.
func (u *upstream) currentSlowness(now time.Duration) float64 {
	age := float64(now-u.slownessAt) / float64(slownessForget)
	return 1 + (u.slowness-1)/(1+age)
}

// cost estimates the latency of one more statement of the usual latency.
func (u *upstream) cost(now, usual time.Duration) time.Duration {
	slots := float64(max(u.spec.Slots, 1))
	waiting := float64(u.active) / slots
	return time.Duration(float64(usual) * (u.currentSlowness(now) + waiting))
}

// rest notes that the unit of a placement has no statement at the upstream.
func (u *upstream) rest(placement *Placement) {
	if placement.active {
		placement.active = false
		u.active--
	}
}

// resume notes that the unit of a placement has sent a statement.
func (u *upstream) resume(placement *Placement) {
	if !placement.active {
		placement.active = true
		u.active++
	}
}
