package engine

import (
	"context"

	"gypsumdock/pkg/coordination/share"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// sample is a position of a primary; it counts only if known.
type sample struct {
	at    model.Mark
	known bool
}

// samplePrimary returns a position of the group's primary that was sampled
// after the call. All units that wait share one sample.
func (e *Engine) samplePrimary(ctx context.Context, id model.GroupID) (model.Mark, bool) {
	answer, answered := e.sampler(id).Do(ctx)
	return answer.at, answered && answer.known
}

func (e *Engine) sampler(id model.GroupID) *share.Call[sample] {
	e.mu.RLock()
	found, exists := e.samplers[id]
	e.mu.RUnlock()
	if exists {
		return found
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, exists = e.samplers[id]; !exists {
		found = share.New(func() sample { return e.askPrimary(id) })
		e.samplers[id] = found
	}
	return found
}

// askPrimary asks the primary once. The answer counts only if no other
// generation can have started before it was given: the permit still holds
// afterwards, or all other upstreams are still replicas.
func (e *Engine) askPrimary(id model.GroupID) sample {
	snapshot := e.snapshot.Load()
	group, configured := snapshot.Bundle.Group(id)
	state, found := snapshot.View.Group(id)
	if !configured || !found {
		return sample{}
	}
	upstream, found := group.Upstream(state.Primary)
	if !found {
		return sample{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	e.stats.samples.Add(1)
	lsn, err := e.config.Positions.Current(ctx, group, upstream)
	if err != nil {
		return sample{}
	}
	proven := e.holdsPermit(id, state.Generation) || e.othersRecover(ctx, group, upstream.ID)
	return sample{at: model.Mark{Generation: state.Generation, LSN: lsn}, known: proven}
}

// othersRecover reports whether all upstreams but one answer that they are
// replicas.
func (e *Engine) othersRecover(ctx context.Context, group *bundle.Group, except model.UpstreamID) bool {
	for _, upstream := range others(group, except) {
		recovering, err := e.config.Positions.IsReplica(ctx, group, upstream)
		if err != nil || !recovering {
			return false
		}
	}
	return true
}
