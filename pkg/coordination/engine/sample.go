package engine

import (
	"context"
	"sync"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// sampler shares samples of a primary's position: one question is under way at
// a time, and all units that arrive meanwhile share the next one, which starts
// after they arrived.
type sampler struct {
	mu      sync.Mutex
	asking  bool
	waiting []chan sampleResult
}

type sampleResult struct {
	at    model.Mark
	known bool
}

// samplePrimary returns a position of the group's primary that was sampled
// after the call, under the permit of its generation.
func (e *Engine) samplePrimary(ctx context.Context, group *bundle.Group) (model.Mark, bool) {
	s := e.sampler(group.ID)
	result := make(chan sampleResult, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, result)
	start := !s.asking
	s.asking = true
	s.mu.Unlock()
	if start {
		go e.runSampler(s, group)
	}
	select {
	case answer := <-result:
		return answer.at, answer.known
	case <-ctx.Done():
		return model.Mark{}, false
	}
}

// runSampler asks until nobody waits.
func (e *Engine) runSampler(s *sampler, group *bundle.Group) {
	for {
		s.mu.Lock()
		waiting := s.waiting
		s.waiting = nil
		s.asking = len(waiting) > 0
		s.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		answer := e.askPrimary(group)
		for _, result := range waiting {
			result <- answer
		}
	}
}

// askPrimary asks the primary once. The answer counts only if no other
// generation can have started before it was given: the permit still holds
// afterwards, or all other upstreams are still replicas.
func (e *Engine) askPrimary(group *bundle.Group) sampleResult {
	state, found := e.snapshot.Load().View.Group(group.ID)
	if !found {
		return sampleResult{}
	}
	upstream, found := group.Upstream(state.Primary)
	if !found {
		return sampleResult{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	e.stats.samples.Add(1)
	lsn, err := e.config.Positions.Current(ctx, group, upstream)
	if err != nil {
		return sampleResult{}
	}
	proven := e.holdsPermit(group.ID, state.Generation) || e.othersRecover(ctx, group, upstream.ID)
	return sampleResult{at: model.Mark{Generation: state.Generation, LSN: lsn}, known: proven}
}

// othersRecover reports whether all upstreams but one answer that they are
// replicas.
func (e *Engine) othersRecover(ctx context.Context, group *bundle.Group, except model.UpstreamID) bool {
	for _, upstream := range others(group, except) {
		recovering, err := e.config.Positions.Recovering(ctx, group, upstream)
		if err != nil || !recovering {
			return false
		}
	}
	return true
}

func (e *Engine) sampler(id model.GroupID) *sampler {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, exists := e.samplers[id]
	if !exists {
		found = &sampler{}
		e.samplers[id] = found
	}
	return found
}
