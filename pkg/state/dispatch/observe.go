package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// averageLatency returns the moving average of the route's latencies.
func (g *Group) averageLatency(route string) time.Duration {
	if latency, known := g.averageLatencies[route]; known {
		return latency
	}
	return initialLatency
}

// AnswerTimeout returns the time since a statement was sent after which its
// answer should be treated as lost.
func (g *Group) AnswerTimeout(route string) time.Duration {
	return max(minAnswerTimeout, averageTimeoutFactor*g.averageLatency(route), peakTimeoutNumerator*g.peakLatencies[route]/peakTimeoutDenominator)
}

// Release returns the connection of a placement. It is called once, when the
// unit has ended.
func (g *Group) Release(now time.Duration, placement *Placement) {
	g.settle(now, &placement.meter)
	if held := g.upstream(placement.Upstream); held != nil && held.inUse > 0 {
		held.inUse--
		held.countHeld(placement.caller, -1)
		held.endStatement(placement)
		held.holdTime += time.Duration(averageWeight * float64(now-placement.PlacedAt-held.holdTime))
	}
}

// Sent records that a statement was sent to the upstream of the placement.
func (g *Group) Sent(now time.Duration, placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.startStatement(placement)
		placement.meter.start(now)
		if target.outstanding == 0 {
			target.silentSince = now
		}
		target.outstanding++
	}
}

// Answered records the answer to a statement, with the latency since it was
// sent.
func (g *Group) Answered(now time.Duration, placement *Placement, route string, latency time.Duration) {
	target := g.upstream(placement.Upstream)
	if target == nil {
		return
	}
	target.endStatement(placement)
	placement.meter.stop(now)
	target.outstanding = max(0, target.outstanding-1)
	target.recordAnswer(now)
	g.recordResult(now, target, placement, false)
	target.recordLatency(now, latency, g.averageLatency(route))
	g.peakLatencies[route] = max(latency, time.Duration(routePeakDecay*float64(g.peakLatencies[route])))
	g.averageLatencies[route] = g.averageLatency(route) + time.Duration(averageWeight*float64(latency-g.averageLatency(route)))
}

// Abandoned records that the answer to a statement is no longer waited for. It does
// not count as a fault of the upstream; see AnswerMissed.
func (g *Group) Abandoned(placement *Placement) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.endStatement(placement)
		target.outstanding = max(0, target.outstanding-1)
	}
}

// ConnectionLost records that the connection of a placement broke before a
// statement was answered.
func (g *Group) ConnectionLost(now time.Duration, placement *Placement) {
	g.AnswerMissed(now, placement)
	if target := g.upstream(placement.Upstream); target != nil {
		target.recordLoss(now)
	}
}

// ConnectFailed records that a connection could not be opened or has broken.
func (g *Group) ConnectFailed(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.recordFailure(now)
	}
}

// Connected records that a connection was opened.
func (g *Group) Connected(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.recordConnect(now)
	}
}

// ProbeAnswered records that an upstream answered a health probe.
func (g *Group) ProbeAnswered(now time.Duration, id model.UpstreamID) {
	if target := g.upstream(id); target != nil {
		target.recordAnswer(now)
	}
}

// ConnectRefusal describes an attempt to connect that an upstream refused.
type ConnectRefusal struct {
	// Open is the number of open connections of this instance to the upstream.
	Open int
	// AfterLoss is set if the upstream closed another connection just before.
	AfterLoss bool
}

// ConnectRefused records that an upstream refused a further connection. For
// connectRetryInterval it is treated as at its connection limit, or as failed
// if a reached limit does not explain the refusal.
func (g *Group) ConnectRefused(now time.Duration, id model.UpstreamID, refused ConnectRefusal) {
	target := g.upstream(id)
	if target == nil {
		return
	}
	target.observedLimit = refused.Open
	target.limitedUntil = now + connectRetryInterval
	if refused.AfterLoss {
		target.lastLossAt = now
	}
	if refused.Open > 0 {
		target.refusedSince = 0
	} else if target.refusedSince == 0 {
		target.refusedSince = max(now, 1)
	}
	if target.isRefusalFailure(now) {
		target.refusingConnections = true
		target.recordFailure(now)
	}
}

// RefusingConnections returns the upstreams that refuse connections for another
// reason than a reached connection limit.
func (g *Group) RefusingConnections() []model.UpstreamID {
	var refusing []model.UpstreamID
	for _, candidate := range g.upstreams {
		if candidate.refusingConnections {
			refusing = append(refusing, candidate.spec.ID)
		}
	}
	return refusing
}

// connectRetryInterval is the time without new connections after an upstream
// refused one.
const connectRetryInterval = 100 * time.Millisecond

// Suspects returns the upstreams that are suspected of having failed: they have
// been silent for too long, or connections to them fail.
func (g *Group) Suspects(now time.Duration) []model.UpstreamID {
	var suspects []model.UpstreamID
	for _, candidate := range g.upstreams {
		if candidate.down || candidate.isSuspect(now) {
			suspects = append(suspects, candidate.spec.ID)
		}
	}
	return suspects
}
