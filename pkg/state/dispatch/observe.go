package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// usualLatency returns that of a kind of work.
func (g *Group) usualLatency(route string) time.Duration {
	if usual, known := g.usual[route]; known {
		return usual
	}
	return firstUsual
}

// AnswerTimeout returns the time after which an answer is more likely lost than
// late.
func (g *Group) AnswerTimeout(route string) time.Duration {
	return max(minPatience, usualPatience*g.usualLatency(route), longestPatience*g.longest[route]/patienceScale)
}

// Release gives back the connection of a placement.
func (g *Group) Release(now time.Duration, placement *Placement) {
	if held := g.upstream(placement.Upstream); held != nil && held.inUse > 0 {
		held.inUse--
		held.rest(placement)
		held.holding += time.Duration(usualGain * float64(now-placement.PlacedAt-held.holding))
	}
}

// Sent records a statement that waits for the answer of an upstream.
func (g *Group) Sent(now time.Duration, placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.resume(placement)
		if target.pending == 0 {
			target.silentSince = now
		}
		target.pending++
	}
}

// Answered records the answer to a statement that was sent.
func (g *Group) Answered(now time.Duration, placement *Placement, route string, latency time.Duration) {
	target := g.upstream(placement.Upstream)
	if target == nil {
		return
	}
	target.rest(placement)
	target.pending = max(0, target.pending-1)
	target.well(now)
	target.observe(now, latency, g.usualLatency(route))
	g.longest[route] = max(latency, time.Duration(longestDecay*float64(g.longest[route])))
	g.usual[route] = g.usualLatency(route) + time.Duration(usualGain*float64(latency-g.usualLatency(route)))
}

// Abandoned records that the answer to a statement is no longer waited for.
func (g *Group) Abandoned(placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.rest(placement)
		target.pending = max(0, target.pending-1)
	}
}

// ConnectionLost records a statement that ended with its connection, without an answer.
func (g *Group) ConnectionLost(now time.Duration, placement *Placement) {
	g.Abandoned(placement)
	if target := g.upstream(placement.Upstream); target != nil {
		target.lost(now)
	}
}

// ConnectFailed records a connection that failed.
func (g *Group) ConnectFailed(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.fail(now)
	}
}

// Connected records a connection that was opened.
func (g *Group) Connected(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.connected(now)
	}
}

// ProbeAnswered records the answer to a probe.
func (g *Group) ProbeAnswered(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.well(now)
	}
}

// ConnectRefusal is a connection that an upstream refused.
type ConnectRefusal struct {
	// Open is the number of connections that this instance has to it.
	Open int
	// AfterLoss is set if the upstream has ended another one just before.
	AfterLoss bool
}

// ConnectRefused records that an upstream refused a further connection. It is taken as
// full, and as failing if that cannot be all.
func (g *Group) ConnectRefused(now time.Duration, id model.UpstreamID, refused ConnectRefusal) {
	target := g.upstream(id)
	if target == nil {
		return
	}
	target.full = refused.Open
	target.fullUntil = now + fullFor
	if refused.AfterLoss {
		target.lostAt = now
	}
	if refused.Open > 0 {
		target.refusedSince = 0
	} else if target.refusedSince == 0 {
		target.refusedSince = max(now, 1)
	}
	if target.isFailing(now) {
		target.refusing = true
		target.fail(now)
	}
}

// RefusingConnections returns the upstreams that refuse connections and are not only full.
func (g *Group) RefusingConnections() []model.UpstreamID {
	var refusing []model.UpstreamID
	for _, candidate := range g.upstreams {
		if candidate.refusing {
			refusing = append(refusing, candidate.spec.ID)
		}
	}
	return refusing
}

// fullFor is the time after which a connection is tried again at an upstream
// that refused one.
const fullFor = 100 * time.Millisecond

// Suspects returns the upstreams that have been silent for too long.
func (g *Group) Suspects(now time.Duration) []model.UpstreamID {
	var suspects []model.UpstreamID
	for _, candidate := range g.upstreams {
		if candidate.down || candidate.isSuspect(now) {
			suspects = append(suspects, candidate.spec.ID)
		}
	}
	return suspects
}
