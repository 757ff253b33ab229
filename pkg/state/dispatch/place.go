package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// place takes a connection for the unit, or returns nil if none is free.
func (g *Group) place(now time.Duration, unit *Unit) *Placement {
	if unit.NeedsPrimary {
		return g.placeAtPrimary(now)
	}
	return g.placeRead(now, unit)
}

func (g *Group) placeAtPrimary(now time.Duration) *Placement {
	primary := g.upstream(g.leader.Primary)
	if primary == nil || !g.leader.isOpen(now) || !primary.hasRoom(now) || !primary.isReachable(now) {
		return nil
	}
	return g.take(now, primary, model.Position{})
}

// placeRead chooses the upstream at which the read is answered first.
func (g *Group) placeRead(now time.Duration, unit *Unit) *Placement {
	position, at, proven := unit.required(g.tracker, now)
	usual := g.usualLatency(unit.Route)
	var best *upstream
	var bestCost time.Duration
	for _, candidate := range g.upstreams {
		cost, usable := g.readCost(now, unit, candidate, usual)
		if !usable {
			continue
		}
		if candidate.spec.ID != g.leader.Primary {
			ready := g.tracker.ReadyIn(candidate.spec.ID, now, position, at)
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
	if best.spec.ID == g.leader.Primary {
		position = model.Position{}
	} else {
		g.tracker.Asked(best.spec.ID, now)
	}
	return g.take(now, best, position)
}

// readCost estimates the latency of a read at an upstream, its log aside.
func (g *Group) readCost(now time.Duration, unit *Unit, candidate *upstream, usual time.Duration) (time.Duration, bool) {
	id := candidate.spec.ID
	if !candidate.hasRoom(now) || unit.hasFailedAt(id) || !candidate.isReachable(now) {
		return 0, false
	}
	cost := candidate.cost(now, usual)
	if candidate.spec.DataCentre != g.home {
		cost += distantBias
	}
	if id == g.leader.Primary {
		if !g.leader.isOpen(now) {
			return 0, false
		}
		return time.Duration(float64(cost)*primaryWeight) + primaryBias, true
	}
	return cost, !candidate.spec.Draining && !unit.wasBehind(id)
}

func (g *Group) take(now time.Duration, chosen *upstream, since model.Position) *Placement {
	chosen.inUse++
	chosen.active++
	return &Placement{
		active:           true,
		Upstream:         chosen.spec.ID,
		Primary:          chosen.spec.ID == g.leader.Primary,
		Generation:       g.leader.Generation,
		RequiredPosition: since,
		PlacedAt:         now,
	}
}
