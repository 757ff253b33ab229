package search_test

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// server is a model of an upstream with asynchronous replication.
type server struct {
	id         model.UpstreamID
	dc         model.DataCentre
	alive      bool
	recovering bool
	timeline   uint32
	lsn        model.LSN
	// startLSN is where its timeline starts, if it was promoted.
	startLSN model.LSN
	// branch is its history; two promotions from one timeline give two
	// branches with the same timeline.
	branch  int
	follows *server
	// lag is how far its replay stays behind, in bytes.
	lag       model.LSN
	stuck     bool
	leaving   bool
	changedAt time.Duration
}

// branch is a history that left its parent at fork.
type branch struct {
	parent int
	fork   model.LSN
}

func (w *world) server(id model.UpstreamID) *server {
	for _, up := range w.ups {
		if up.id == id {
			return up
		}
	}
	return &server{}
}

// contains reports whether the position lsn of the branch at is in history.
func (w *world) contains(history, at int, lsn model.LSN) bool {
	for history != at {
		if history < 0 || w.branches[history].fork < lsn {
			return false
		}
		history = w.branches[history].parent
	}
	return true
}

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

func (w *world) replay() {
	for _, up := range w.ups {
		source := up.follows
		if !up.recovering || !up.alive || up.stuck || source == nil || !source.alive || w.net.cutDC[up.dc][source.dc] {
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

// agent is the operator of the upstreams: it points replicas to a primary, not
// always the one of the head row, and later rebuilds those that diverged.
func (w *world) agent() {
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
			w.point(up, primary)
			continue
		}
		if w.healed {
			w.rebuild(up, primary)
		}
	}
}

// point lets up follow another server than primary at times, if one serves.
func (w *world) point(up, primary *server) {
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
