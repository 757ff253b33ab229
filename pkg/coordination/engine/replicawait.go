package engine

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// replicaPollInterval is the pause between two queries to a replica that units
// wait for.
const replicaPollInterval = 2 * time.Millisecond

// replicaWait polls a replica's position while units wait for it to apply theirs.
// mu guards its fields.
type replicaWait struct {
	mu      sync.Mutex
	waiters map[*waiter]struct{}
	// polling is true while the goroutine of poll runs.
	polling bool
}

// waiter waits for a mark; reached is closed once the replica has applied it.
type waiter struct {
	mark    model.Mark
	reached chan struct{}
}

// replicaWait returns the replicaWait of an upstream, and creates it on first use.
func (e *Engine) replicaWait(id model.UpstreamID) *replicaWait {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, exists := e.replicaWaits[id]
	if !exists {
		found = &replicaWait{waiters: make(map[*waiter]struct{})}
		e.replicaWaits[id] = found
	}
	return found
}

// wait returns true once the replica has applied mark, and false if ctx ends
// first.
func (w *replicaWait) wait(
	ctx context.Context, e *Engine, group *bundle.Group, upstream *bundle.Upstream, mark model.Mark,
) bool {
	own := &waiter{mark: mark, reached: make(chan struct{})}
	w.mu.Lock()
	w.waiters[own] = struct{}{}
	start := !w.polling
	w.polling = true
	w.mu.Unlock()
	if start {
		go w.poll(e, group, upstream)
	}
	select {
	case <-own.reached:
		return true
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.waiters, own)
		w.mu.Unlock()
		return false
	}
}

// poll queries the replica until no unit waits.
func (w *replicaWait) poll(e *Engine, group *bundle.Group, upstream *bundle.Upstream) {
	for w.hasWaiters() {
		if position, known := e.replicaPosition(group, upstream); known {
			w.notify(position)
		}
		time.Sleep(replicaPollInterval)
	}
}

// hasWaiters reports whether any unit waits. If none does, it clears polling,
// so that the next waiter starts poll again.
func (w *replicaWait) hasWaiters() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polling = len(w.waiters) > 0
	return w.polling
}

// notify wakes the units whose mark the replica has applied.
func (w *replicaWait) notify(position model.Mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for waiting := range w.waiters {
		if !position.Before(waiting.mark) {
			close(waiting.reached)
			delete(w.waiters, waiting)
		}
	}
}

// replicaPosition queries a replica once for its position. The answer is valid
// only if the replica was in use, in the same generation, before and after.
func (e *Engine) replicaPosition(group *bundle.Group, upstream *bundle.Upstream) (model.Mark, bool) {
	before, used := e.groupWithReplica(group.ID, upstream.ID)
	if !used {
		return model.Mark{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	defer cancel()
	e.stats.watches.Add(1)
	lsn, err := e.config.Positions.Replayed(ctx, group, upstream)
	after, stillUsed := e.groupWithReplica(group.ID, upstream.ID)
	if err != nil || !stillUsed || after.Generation != before.Generation {
		return model.Mark{}, false
	}
	return after.AppliedMark(lsn), true
}

// groupWithReplica returns the state of the group, and whether the replica is in
// use in the group's generation.
func (e *Engine) groupWithReplica(group model.GroupID, id model.UpstreamID) (failover.GroupView, bool) {
	snapshot := e.snapshot.Load()
	view, known := snapshot.View.Group(group)
	routed, found := snapshot.Routing.Group(group)
	return view, known && found && routed.Generation == view.Generation && isReplicaUsable(routed.Upstreams, id)
}
