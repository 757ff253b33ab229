// Package engine implements traffic.Engine: it routes units of work by the newest
// snapshot of the control state, limits how many run on an upstream at once,
// checks permits, and ensures read-your-writes.
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
	// Ask returns the position that the session's reads in a group must find
	// applied, or that a write of the session was lost.
	Ask(ctx context.Context, key marks.Key) marks.Answer
	// LossReported records that the session was told of the loss of its writes
	// up to mark.
	LossReported(key marks.Key, mark model.Mark)
	// Record stores the mark of a committed write before its acknowledgement.
	Record(ctx context.Context, key marks.Key, mark model.Mark) sessions.RecordResult
}

// Positions queries upstreams for their log position.
type Positions interface {
	// Current returns the write position of a primary.
	Current(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error)
	// Replayed returns the position that a replica has applied.
	Replayed(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (model.LSN, error)
	// IsReplica reports whether an upstream is a replica.
	IsReplica(ctx context.Context, group *bundle.Group, upstream *bundle.Upstream) (bool, error)
}

// Config holds the dependencies of an Engine.
type Config struct {
	Clock     Clock
	Sessions  Sessions
	Positions Positions
	// Random returns a random number; it is safe for concurrent use.
	Random func() uint64
	// Rates limits the rates of callers; nil for no limits.
	Rates Rates
}

// Engine implements traffic.Engine and control.Traffic.
type Engine struct {
	config         Config
	snapshot       atomic.Pointer[control.Snapshot]
	sessionCounter atomic.Pointer[func() int]
	stats          counters
	retryBudget    *retryBudget

	// mu guards the maps below; the values are safe for concurrent use.
	mu             sync.RWMutex
	slotQueues     map[model.UpstreamID]*slotQueue
	samplers       map[model.GroupID]*share.Call[primarySample]
	replicaWaits   map[model.UpstreamID]*replicaWait
	writesInFlight map[generationKey]*atomic.Int64
}

// generationKey identifies a generation of a group.
type generationKey struct {
	group  model.GroupID
	number model.Generation
}

// New returns an engine that refuses all units until the first Publish.
func New(config Config) *Engine {
	e := &Engine{
		config:         config,
		retryBudget:    newRetryBudget(),
		slotQueues:     make(map[model.UpstreamID]*slotQueue),
		samplers:       make(map[model.GroupID]*share.Call[primarySample]),
		replicaWaits:   make(map[model.UpstreamID]*replicaWait),
		writesInFlight: make(map[generationKey]*atomic.Int64),
	}
	e.snapshot.Store(&control.Snapshot{Bundle: &bundle.Bundle{}})
	return e
}

// Publish makes snapshot the current one. The control goroutine calls it.
func (e *Engine) Publish(snapshot *control.Snapshot) {
	previous := e.snapshot.Swap(snapshot)
	if previous.Bundle != snapshot.Bundle || !sameMemberCount(previous, snapshot) {
		e.resizeQueues(snapshot)
	}
}

// sameMemberCount reports whether both snapshots have equally many members, by which
// the slots are divided.
func sameMemberCount(a, b *control.Snapshot) bool {
	return len(a.View.Members) == len(b.View.Members)
}

// Bundle returns the active configuration.
func (e *Engine) Bundle() *bundle.Bundle { return e.snapshot.Load().Bundle }

// SetSessionCounter sets the function that returns the number of callers'
// connections.
func (e *Engine) SetSessionCounter(count func() int) { e.sessionCounter.Store(&count) }

// Sessions returns the number of callers' connections.
func (e *Engine) Sessions() int {
	count := e.sessionCounter.Load()
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
	count, found := e.writesInFlight[generationKey{group, number}]
	if !found {
		return 0
	}
	return int(count.Load())
}

// writeCount returns the counter of units in flight of a generation, and creates
// it on first use.
func (e *Engine) writeCount(g generationKey) *atomic.Int64 {
	e.mu.RLock()
	count, found := e.writesInFlight[g]
	e.mu.RUnlock()
	if found {
		return count
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if count, found = e.writesInFlight[g]; !found {
		count = new(atomic.Int64)
		e.writesInFlight[g] = count
		e.dropOldWrites(g)
	}
	return count
}

// dropOldWrites removes the counters of older generations of the group that are at
// zero. e.mu must be held.
func (e *Engine) dropOldWrites(newest generationKey) {
	for g, count := range e.writesInFlight {
		if g.group == newest.group && g.number < newest.number && count.Load() == 0 {
			delete(e.writesInFlight, g)
		}
	}
}

// LatencyAndSlots returns the usual latency of a statement on the upstream, and the
// number of statements that this instance may run there at once.
func (e *Engine) LatencyAndSlots(upstream model.UpstreamID) (time.Duration, int) {
	e.mu.RLock()
	found, exists := e.slotQueues[upstream]
	e.mu.RUnlock()
	if !exists {
		return 0, 1
	}
	return found.latencyAndSlots()
}
