package engine

import (
	"context"

	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// primarySample is the position of a primary; it is valid only if known is true.
type primarySample struct {
	position model.Mark
	known    bool
}

// samplePrimary returns a position of the group's primary that was queried after
// the call. Units that wait at the same time share one query.
func (e *Engine) samplePrimary(ctx context.Context, id model.GroupID) (model.Mark, bool) {
	sample, answered := e.sampler(id).Do(ctx)
	return sample.position, answered && sample.known
}

// sampler returns the shared query of a group's primary, and creates it on first
// use.
func (e *Engine) sampler(id model.GroupID) *share.Call[primarySample] {
	e.mu.RLock()
	found, exists := e.samplers[id]
	e.mu.RUnlock()
	if exists {
		return found
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, exists = e.samplers[id]; !exists {
		found = share.New(func() primarySample { return e.primaryPosition(id) })
		e.samplers[id] = found
	}
	return found
}

// primaryPosition queries the primary once. The answer is valid only if no other
// generation can have started before it: afterwards the permit is still valid, or
// all other upstreams are still replicas.
func (e *Engine) primaryPosition(id model.GroupID) primarySample {
	snapshot := e.snapshot.Load()
	group, configured := snapshot.Bundle.Group(id)
	state, found := snapshot.View.Group(id)
	if !configured || !found {
		return primarySample{}
	}
	upstream, found := group.Upstream(state.Primary)
	if !found {
		return primarySample{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	defer cancel()
	e.stats.samples.Add(1)
	lsn, err := e.config.Positions.Current(ctx, group, upstream)
	if err != nil {
		return primarySample{}
	}
	valid := e.holdsPermit(id, state.Generation) || e.othersAreReplicas(ctx, group, upstream.ID)
	return primarySample{position: model.Mark{Generation: state.Generation, LSN: lsn}, known: valid}
}

// othersAreReplicas reports whether all upstreams without except answer that they
// are replicas.
func (e *Engine) othersAreReplicas(ctx context.Context, group *bundle.Group, except model.UpstreamID) bool {
	for _, upstream := range otherUpstreams(group, except) {
		isReplica, err := e.config.Positions.IsReplica(ctx, group, upstream)
		if err != nil || !isReplica {
			return false
		}
	}
	return true
}
