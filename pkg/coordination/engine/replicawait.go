package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// watchInterval is the pause between two questions to a replica that units
// wait for.
const watchInterval = 2 * time.Millisecond

// watch follows a replica's position while units wait for it to reach theirs.
type watch struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
	asking  bool
}

type waiter struct {
	mark    model.Mark
	reached chan struct{}
}

func (e *Engine) watch(id model.UpstreamID) *watch {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, exists := e.watches[id]
	if !exists {
		found = &watch{waiting: make(map[*waiter]struct{})}
		e.watches[id] = found
	}
	return found
}

// wait returns true once the replica has applied mark, and false when ctx ends
// before.
func (w *watch) wait(
	ctx context.Context, e *Engine, group *bundle.Group, upstream *bundle.Upstream, mark model.Mark,
) bool {
	own := &waiter{mark: mark, reached: make(chan struct{})}
	w.mu.Lock()
	w.waiting[own] = struct{}{}
	start := !w.asking
	w.asking = true
	w.mu.Unlock()
	if start {
		go w.run(e, group, upstream)
	}
	select {
	case <-own.reached:
		return true
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.waiting, own)
		w.mu.Unlock()
		return false
	}
}

// run asks until nobody waits.
func (w *watch) run(e *Engine, group *bundle.Group, upstream *bundle.Upstream) {
	for w.isWanted() {
		if at, known := e.askReplica(group, upstream); known {
			w.reached(at)
		}
		time.Sleep(watchInterval)
	}
}

// isWanted reports whether anybody waits, and otherwise ends the run.
func (w *watch) isWanted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking = len(w.waiting) > 0
	return w.asking
}

func (w *watch) reached(at model.Mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waiting := range w.waiting {
		if !at.Before(waiting.mark) {
			close(waiting.reached)
			delete(w.waiting, waiting)
		}
	}
}

// askReplica asks a replica once for its position. It counts in the group's
// generation only if the replica is in use before and after.
func (e *Engine) askReplica(group *bundle.Group, upstream *bundle.Upstream) (model.Mark, bool) {
	before, used := e.replicaOf(group.ID, upstream.ID)
	if !used {
		return model.Mark{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	e.stats.watches.Add(1)
	lsn, err := e.config.Positions.Replayed(ctx, group, upstream)
	after, stillUsed := e.replicaOf(group.ID, upstream.ID)
	if err != nil || !stillUsed || after.Generation != before.Generation {
		return model.Mark{}, false
	}
	return after.AppliedMark(lsn), true
}

// replicaOf returns the state of the group, and whether the replica is in use.
func (e *Engine) replicaOf(group model.GroupID, id model.UpstreamID) (failover.GroupView, bool) {
	snapshot := e.snapshot.Load()
	view, known := snapshot.View.Group(group)
	routed, found := snapshot.Routing.Group(group)
	return view, known && found && routed.Generation == view.Generation && isUsable(routed.Upstreams, id)
}
