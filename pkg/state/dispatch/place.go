package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// place reserves a connection for the unit, or returns nil if none of the
// upstreams that may run it has one free.
func (g *Group) place(now time.Duration, unit *Unit) *Placement {
	if unit.NeedsPrimary {
		return g.placeAtPrimary(now, unit)
	}
	return g.placeRead(now, unit)
}

// placeAtPrimary places a unit at the primary, or returns nil if it has no room.
func (g *Group) placeAtPrimary(now time.Duration, unit *Unit) *Placement {
	if !g.primaryHasRoomFor(now, unit.Caller) {
		return nil
	}
	return g.reserve(now, unit, g.upstream(g.leadership.Primary), model.Position{})
}

// placeRead reserves a connection at the upstream with the least expected
// latency. A replica qualifies only if it is expected to have applied the
// required position within maxCatchUp.
func (g *Group) placeRead(now time.Duration, unit *Unit) *Placement {
	position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
	latency := g.averageLatency(unit.Route)
	g.updateAvoided(now)
	avoidPrimary := g.hasFreshReplica(now, unit, position, reachedAt, proven) || g.isLagging(now, unit) && !g.primaryTakesLagging(now, unit.Caller)
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
		if cost, usable = g.avoidedReadCost(now, unit, candidate, cost); !usable {
			continue
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
	best.faults.trial.Sent(now)
	placement := g.reserve(now, unit, best, position)
	placement.read = true
	return placement
}

// readCost estimates the latency of a read at an upstream, apart from the time
// that a replica needs to catch up. It returns false if the upstream must not
// get the read.
func (g *Group) readCost(now time.Duration, unit *Unit, candidate *upstream, latency time.Duration) (time.Duration, bool) {
	id := candidate.spec.ID
	if !candidate.hasRoomFor(now, unit.Caller) || unit.hasFailedAt(id) || !candidate.isReachable(now) {
		return 0, false
	}
	cost := candidate.statementCost(now, latency) + candidate.openingCost(unit)
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
func (g *Group) reserve(now time.Duration, unit *Unit, chosen *upstream, required model.Position) *Placement {
	chosen.inUse++
	chosen.active++
	chosen.countHeld(unit.Caller, 1)
	return &Placement{
		active:           true,
		caller:           unit.Caller,
		Upstream:         chosen.spec.ID,
		Primary:          chosen.spec.ID == g.leadership.Primary,
		Generation:       g.leadership.Generation,
		RequiredPosition: required,
		PlacedAt:         now,
	}
}

// Opened records the time that it took to open a connection for a placement.
func (g *Group) Opened(placement *Placement, took time.Duration) {
	if target := g.upstream(placement.Upstream); target != nil {
		target.recordOpening(took)
	}
}
