package search_test

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// server simulates an upstream with asynchronous replication.
type server struct {
	id         model.UpstreamID
	dc         model.DataCentre
	alive      bool
	recovering bool
	timeline   uint32
	lsn        model.LSN
	// startLSN is where its timeline starts; zero if the server was never
	// promoted.
	startLSN model.LSN
	// branch is the index in world.branches of the server's history. Two
	// promotions from one timeline give two branches whose timelines have the
	// same number.
	branch int
	// follows is the server from which a replica streams.
	follows *server
	// lag is how many bytes of the log the replay stays behind.
	lag model.LSN
	// stalled stops the replay.
	stalled bool
	// busy is true while the server has no capacity for probes. Nothing is then
	// known of it.
	busy bool
	// leaving is true while the configuration marks the server as leaving.
	leaving bool
	// changedAt is when branch last changed.
	changedAt time.Duration
}

// branch is a history that split from its parent at fork.
type branch struct {
	parent int
	fork   model.LSN
}

// server returns the server with the given ID, or an empty one.
func (w *world) server(id model.UpstreamID) *server {
	for _, up := range w.ups {
		if up.id == id {
			return up
		}
	}
	return &server{}
}

// contains reports whether the branch history includes the position lsn of the
// branch at.
func (w *world) contains(history, at int, lsn model.LSN) bool {
	for history != at {
		if history < 0 || w.branches[history].fork < lsn {
			return false
		}
		history = w.branches[history].parent
	}
	return true
}

// promoteServer makes a replica a primary on a new branch; it does nothing to a
// primary.
func (w *world) promoteServer(up *server) {
	if !up.recovering {
		return
	}
	w.branches = append(w.branches, branch{parent: up.branch, fork: up.lsn})
	up.branch = len(w.branches) - 1
	up.startLSN = up.lsn
	up.recovering = false
	up.follows = nil
	up.timeline++
	up.changedAt = w.now
}

// replay lets every replica catch up with the server that it follows.
func (w *world) replay() {
	for _, up := range w.ups {
		source := up.follows
		if !up.recovering || !up.alive || up.stalled || source == nil || !source.alive || w.net.cutDC[up.dc][source.dc] {
			continue
		}
		if source.recovering || !w.contains(source.branch, up.branch, up.lsn) {
			continue
		}
		if source.lsn < up.lsn+up.lag {
			continue
		}
		up.lsn = source.lsn - up.lag
		if w.branches[source.branch].fork <= up.lsn && up.branch != source.branch {
			up.branch = source.branch
			up.timeline = source.timeline
			up.changedAt = w.now
		}
	}
}

// repairReplicas does what the operator of the upstreams does after a change of
// primary: it makes replicas follow a primary, not always that of the head row,
// and after heal rebuilds those that diverged.
func (w *world) repairReplicas() {
	if w.hosted != nil {
		return
	}
	current := w.table.group()
	if current.Generation == 0 || current.Seal != nil || w.now-w.table.startedAt < time.Second {
		return
	}
	primary := w.server(current.Primary)
	for _, up := range w.ups {
		if up == primary || !up.alive {
			continue
		}
		if up.recovering && w.contains(primary.branch, up.branch, up.lsn) {
			w.repoint(up, primary)
			continue
		}
		if w.healed {
			w.rebuild(up, primary)
		}
	}
}

// repoint makes up follow primary or, before heal, at times another server that
// takes writes.
func (w *world) repoint(up, primary *server) {
	wrong := up.follows != nil && up.follows != primary && up.follows.alive && !up.follows.recovering
	if wrong && !w.healed {
		return
	}
	for _, other := range w.ups {
		if !w.healed && other != primary && !other.recovering && other.alive && other.timeline >= primary.timeline && w.chance(0.5) {
			up.follows = other
			return
		}
	}
	up.follows = primary
}

// rebuild replaces the data of up by a copy of the primary's.
func (w *world) rebuild(up, primary *server) {
	if !primary.alive || primary.recovering {
		return
	}
	up.recovering = true
	up.follows = primary
	up.branch = primary.branch
	up.timeline = primary.timeline
	up.lsn = primary.lsn
	up.changedAt = w.now
}
