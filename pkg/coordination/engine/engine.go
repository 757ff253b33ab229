// Package engine decides on units of work for the path of statements: it
// routes them by the newest snapshot, waits for slots, checks permits, and
// keeps read-your-writes. It implements traffic.Engine.
package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/sessions"
	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// Sessions keeps the marks of sessions. Package sessions implements it.
type Sessions interface {
	Ask(ctx context.Context, key marks.Key) marks.Answer
	LossReported(key marks.Key, mark model.Mark)
	Record(ctx context.Context, key marks.Key, mark model.Mark) sessions.RecordResult
}

// Positions asks upstreams for their log position.
type Positions interface {
	// Current returns the position of a primary.
	Current(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error)
	// Replayed returns the position that a replica has applied.
	Replayed(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error)
	// IsReplica reports whether an upstream is a replica.
	IsReplica(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (bool, error)
}

// Config is what an Engine needs.
type Config struct {
	Clock     Clock
	Sessions  Sessions
	Positions Positions
	// Random returns a random number; it is safe for concurrent use.
	Random func() uint64
}

// Engine implements traffic.Engine and control.Traffic.
type Engine struct {
	config   Config
	snapshot atomic.Pointer[control.Snapshot]
	callers  atomic.Pointer[func() int]
	stats    counters
	retries  *retries

	// mu guards the maps below; their values have locks of their own.
	mu       sync.RWMutex
	lanes    map[model.UpstreamID]*lane
	samplers map[model.GroupID]*share.Call[sample]
	watches  map[model.UpstreamID]*watch
	writes   map[generation]*atomic.Int64
}

// generation names a generation of a group.
type generation struct {
	group  model.GroupID
	number model.Generation
}

// New returns an engine without a snapshot: it refuses all units.
func New(config Config) *Engine {
	e := &Engine{
		config:   config,
		retries:  newRetries(),
		lanes:    make(map[model.UpstreamID]*lane),
		samplers: make(map[model.GroupID]*share.Call[sample]),
		watches:  make(map[model.UpstreamID]*watch),
		writes:   make(map[generation]*atomic.Int64),
	}
	e.snapshot.Store(&control.Snapshot{Bundle: &bundle.Bundle{}})
	return e
}

// Publish puts a snapshot in force. It is called by the control goroutine.
func (e *Engine) Publish(snapshot *control.Snapshot) {
	before := e.snapshot.Swap(snapshot)
	if before.Bundle != snapshot.Bundle || !sameMembers(before, snapshot) {
		e.resize(snapshot)
	}
}

func sameMembers(a, b *control.Snapshot) bool {
	return len(a.View.Members) == len(b.View.Members)
}

// Bundle returns the configuration in force.
func (e *Engine) Bundle() *bundle.Bundle { return e.snapshot.Load().Bundle }

// SetSessionCounter sets the function that counts the callers' connections.
func (e *Engine) SetSessionCounter(count func() int) { e.callers.Store(&count) }

// Sessions returns the number of callers' connections.
func (e *Engine) Sessions() int {
	count := e.callers.Load()
	if count == nil {
		return 0
	}
	return (*count)()
}

// WritesInFlight returns the number of units sent to the primary of the
// group's generation and not yet done.
func (e *Engine) WritesInFlight(group model.GroupID, number model.Generation) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	count, found := e.writes[generation{group, number}]
	if !found {
		return 0
	}
	return int(count.Load())
}

// writeCount returns the count of units in flight of a generation.
func (e *Engine) writeCount(g generation) *atomic.Int64 {
	e.mu.RLock()
	count, found := e.writes[g]
	e.mu.RUnlock()
	if found {
		return count
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if count, found = e.writes[g]; !found {
		count = new(atomic.Int64)
		e.writes[g] = count
		e.dropOldWrites(g)
	}
	return count
}

// dropOldWrites removes the counts of older generations that are at zero.
// e.mu is held.
func (e *Engine) dropOldWrites(newest generation) {
	for g, count := range e.writes {
		if g.group == newest.group && g.number < newest.number && count.Load() == 0 {
			delete(e.writes, g)
		}
	}
}

// LatencyAndSlots returns the usual latency of a statement on the upstream, and the
// number of statements that this instance may run there at once.
func (e *Engine) LatencyAndSlots(upstream model.UpstreamID) (time.Duration, int) {
	e.mu.RLock()
	found, exists := e.lanes[upstream]
	e.mu.RUnlock()
	if !exists {
		return 0, 1
	}
	return found.load()
}
