package dispatch

import (
	"time"

	"gypsumdock/pkg/state/model"
)

const (
	// primaryDemandWindow is the time since the last unit that needs the primary
	// during which reads stay out of its queue.
	primaryDemandWindow = time.Second
	// batchPriority is the priority from which on reads go to the primary only if
	// no replica with room is fresh enough.
	batchPriority = 2
	// unknownCatchUp is the assumed time until a replica that has refused the read
	// as lagging has caught up.
	unknownCatchUp = 20 * time.Millisecond
)

// primaryIsWanted reports whether units that need the primary have come in
// lately.
func (g *Group) primaryIsWanted(now time.Duration) bool {
	return g.primaryWantedAt != 0 && now-g.primaryWantedAt < primaryDemandWindow
}

// primaryReadLimit returns the number of statements that this instance may have
// at the primary when a read whose replicas lag is the last of them. While units
// that need the primary come in, such reads take its free slots only, and not the
// places in its queue: otherwise all reads would move there when their replicas
// fall behind, and the units that need it would wait for several of them instead of
// for one. If the load of the group's other servers is known, the slots are counted
// over all servers. Each server may have at least one such read at the primary, as
// the reads of the others could keep it out for good.
func (g *Group) primaryReadLimit(now time.Duration, primary *upstream) int {
	limit := primary.maxOutstanding()
	if !g.primaryIsWanted(now) {
		return limit
	}
	limit = min(limit, primary.spec.Slots)
	if primary.othersKnown {
		limit = min(limit, primary.spec.Slots-primary.othersOutstanding)
	}
	return max(limit, 1)
}

// primaryTakesLagging reports whether the primary has room for a read of the
// caller whose replicas lag.
func (g *Group) primaryTakesLagging(now time.Duration, caller model.CallerName) bool {
	if !g.primaryHasRoomFor(now, caller) {
		return false
	}
	primary := g.upstream(g.leadership.Primary)
	return primary.active < g.primaryReadLimit(now, primary)
}

// isLagging reports whether the read has replicas, but none of them is expected
// to have applied the position that it requires within maxCatchUp.
func (g *Group) isLagging(now time.Duration, unit *Unit) bool {
	wait, found := g.catchUpTime(now, unit)
	return found && wait > maxCatchUp
}

// catchUpTime returns the time until the first replica is expected to have
// applied the position that the read requires. found is false if the read has no
// replica, or no position proves one fresh enough.
func (g *Group) catchUpTime(now time.Duration, unit *Unit) (wait time.Duration, found bool) {
	position, reachedAt, proven := unit.requiredPosition(g.tracker, now)
	if !proven {
		return 0, false
	}
	for _, candidate := range g.upstreams {
		if !g.isReplicaFor(now, unit, candidate) {
			continue
		}
		estimated := g.tracker.EstimatedWait(candidate.spec.ID, now, position, reachedAt)
		if unit.wasLagging(candidate.spec.ID) {
			estimated = max(estimated, unknownCatchUp)
		}
		if !found || estimated < wait {
			wait, found = estimated, true
		}
	}
	return wait, found
}

// isReplicaFor reports whether the upstream is a replica that may run the read
// once it has caught up. One that is avoided because of its faults gets only
// trials, so that reads that could run nowhere else must not wait for it.
func (g *Group) isReplicaFor(now time.Duration, unit *Unit, candidate *upstream) bool {
	id := candidate.spec.ID
	if id == g.leadership.Primary || candidate.spec.Draining || !candidate.isReachable(now) || unit.hasFailedAt(id) {
		return false
	}
	return !candidate.faults.trial.Active() || !g.othersCanTake(now, unit, candidate)
}

// hasFreshReplica reports whether a batch read must not go to the primary, because a
// replica with room can run it now.
func (g *Group) hasFreshReplica(now time.Duration, unit *Unit, position model.Position, reachedAt time.Duration, proven bool) bool {
	if unit.Priority < batchPriority || !proven {
		return false
	}
	for _, candidate := range g.upstreams {
		if g.isReplicaFor(now, unit, candidate) && !unit.wasLagging(candidate.spec.ID) && candidate.hasRoomFor(now, unit.Caller) &&
			g.tracker.EstimatedWait(candidate.spec.ID, now, position, reachedAt) <= maxCatchUp {
			return true
		}
	}
	return false
}
