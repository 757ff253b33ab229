package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// place reserves a connection for the unit, or returns nil if none of the
// upstreams that may run it has one free.
func (g *Group) place(now time.Duration, unit *Unit) *Placement {
	if unit.NeedsPrimary {
		return g.placeAtPrimary(now)
	}
	return g.placeRead(now, unit)
}

func (g *Group) placeAtPrimary(now time.Duration) *Placement {
	primary := g.upstream(g.leadership.Primary)
	if primary == nil || !g.leadership.acceptsWork(now) || !primary.hasRoom(now) || !primary.isReachable(now) {
		return nil
	}
	return g.reserve(now, primary, model.Position{})
}

// placeRead reserves a connection at the upstream with the least expected
// latency. A replica qualifies only if it is expected to have applied the
// required position within maxCatchUp.
func (g *Group) placeRead(now time.Duration, unit *Unit) *Placement {
	position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
	latency := g.averageLatency(unit.Route)
	avoidPrimary := g.hasFreshReplica(now, unit, position, reachedAt, proven) || g.isLagging(now, unit) && !g.primaryTakesLagging(now)
	var best *upstream
	var bestCost time.Duration
	for _, candidate := range g.upstreams {
		cost, usable := g.readCost(now, unit, candidate, latency)
		if !usable {
			continue
		}
		if candidate.spec.ID == g.leadership.Primary {
			if avoidPrimary {
				continue
			}
		} else {
			ready := g.tracker.EstimatedWait(candidate.spec.ID, now, position, reachedAt)
			if !proven || ready > maxCatchUp {
				continue
			}
			cost += ready
		}
		if best == nil || cost < bestCost {
			best = candidate
			bestCost = cost
		}
	}
	if best == nil {
		return nil
	}
	if best.spec.ID == g.leadership.Primary {
		position = model.Position{}
	} else {
		g.tracker.QuerySent(best.spec.ID, now)
	}
	return g.reserve(now, best, position)
}

// readCost estimates the latency of a read at an upstream, apart from the time
// that a replica needs to catch up. It returns false if the upstream must not
// get the read.
func (g *Group) readCost(now time.Duration, unit *Unit, candidate *upstream, latency time.Duration) (time.Duration, bool) {
	id := candidate.spec.ID
	if !candidate.hasRoom(now) || unit.hasFailedAt(id) || !candidate.isReachable(now) {
		return 0, false
	}
	cost := candidate.statementCost(now, latency)
	if candidate.spec.DataCentre != g.localDataCentre {
		cost += remoteRoundTrip
	}
	if id == g.leadership.Primary {
		if !g.leadership.acceptsWork(now) {
			return 0, false
		}
		return time.Duration(float64(cost)*primaryReadFactor) + primaryReadPenalty, true
	}
	return cost, !candidate.spec.Draining && !unit.wasLagging(id)
}

// reserve counts a connection of the upstream as used and returns the placement
// that holds it.
func (g *Group) reserve(now time.Duration, chosen *upstream, required model.Position) *Placement {
	chosen.inUse++
	chosen.active++
	return &Placement{
		active:           true,
		Upstream:         chosen.spec.ID,
		Primary:          chosen.spec.ID == g.leadership.Primary,
		Generation:       g.leadership.Generation,
		RequiredPosition: required,
		PlacedAt:         now,
	}
}
