package sessions

import (
	"context"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// RecordResult is the result of Service.Record.
type RecordResult uint8

// The results of Service.Record.
const (
	// NotStored means that the mark could not be stored before the context ended.
	// The write must not be acknowledged.
	NotStored RecordResult = iota
	// StoredAtHome means that the session's home has the mark.
	StoredAtHome
	// AppliedByReplicas means that every replica in use has applied the write, so
	// that its mark need not be stored.
	AppliedByReplicas
	// WriteLost means that the write did not survive a change of primary.
	WriteLost
)

// Record stores the mark of a write, so that later reads of the session through
// any instance see the write. It must be called after the commit and before the
// acknowledgement. It retries until the mark is stored or not needed, or ctx ends.
func (s *Service) Record(ctx context.Context, key marks.Key, mark model.Mark) RecordResult {
	s.mu.Lock()
	s.ledger.Record(key, mark)
	s.mu.Unlock()
	for {
		progress, lost := s.tryPlace(ctx, key, mark)
		switch {
		case lost:
			return WriteLost
		case progress == marks.PlacementStored:
			return StoredAtHome
		case progress == marks.PlacementRetry:
			s.config.RefreshHead()
		}
		if s.isAppliedByAll(key.Group, mark) {
			return AppliedByReplicas
		}
		if !s.waitForProgress(ctx, key.Group) {
			return NotStored
		}
	}
}

// tryPlace tries once to store the mark at all homes that need it.
func (s *Service) tryPlace(ctx context.Context, key marks.Key, mark model.Mark) (progress marks.Progress, lost bool) {
	s.mu.Lock()
	now := s.config.Clock.Now()
	placement, confirmed := s.view.PlaceMark(now, key.Session)
	placement.Complete = placement.Complete && s.home.Joined(now)
	s.mu.Unlock()
	if !confirmed {
		return marks.PlacementRetry, false
	}
	for i, status := range s.storeAll(ctx, placement.Targets, key, mark) {
		if status.answered {
			placement.RecordAnswer(i, status.status)
			lost = lost || status.status == marks.StoreLost
		}
	}
	return placement.Progress(), lost
}

// storeAnswer is a home's answer; answered is false if there was none.
type storeAnswer struct {
	status   marks.StoreStatus
	answered bool
}

// storeAll sends the mark to all targets at once. Usually the current home is the
// only one.
func (s *Service) storeAll(ctx context.Context, targets []marks.Target, key marks.Key, mark model.Mark) []storeAnswer {
	answers := make([]storeAnswer, len(targets))
	if len(targets) == 1 {
		answers[0] = s.storeAt(ctx, targets[0], key, mark)
		return answers
	}
	done := make(chan struct{}, len(targets))
	for i, target := range targets {
		go func() {
			answers[i] = s.storeAt(ctx, target, key, mark)
			done <- struct{}{}
		}()
	}
	for range targets {
		<-done
	}
	return answers
}

// storeAt stores the mark at one home, which may be this instance.
func (s *Service) storeAt(ctx context.Context, target marks.Target, key marks.Key, mark model.Mark) storeAnswer {
	if target.Home == s.config.Self {
		return storeAnswer{status: s.StoreMark(key, mark, target.Version), answered: true}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, err := s.config.Peers.StoreMark(ctx, target, key, mark)
	return storeAnswer{status: status, answered: err == nil}
}

// isAppliedByAll reports whether every replica in use has applied the mark.
func (s *Service) isAppliedByAll(group model.GroupID, mark model.Mark) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.groups[group]
	return found && !state.appliedByAll.Before(mark)
}

// waitForProgress waits until the replicas have applied more or storeRetryInterval
// has passed. It reports false once ctx has ended.
func (s *Service) waitForProgress(ctx context.Context, group model.GroupID) bool {
	s.mu.Lock()
	changed := s.group(group).appliedChanged
	s.mu.Unlock()
	retry := time.NewTimer(storeRetryInterval)
	defer retry.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-retry.C:
	}
	return true
}
