package operator

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

const firstGeneration model.Generation = 1

// nextHead returns the head row with the bundle in force. Groups that the
// bundle no longer has keep their row, so that a group that comes back goes on
// from its last generation and marks stay comparable.
func nextHead(current *model.Head, b *bundle.Bundle, entry HistoryEntry) (*model.Head, error) {
	next := &model.Head{}
	if current != nil {
		*next = *current
		next.Groups = slices.Clone(current.Groups)
	}
	next.Revision, next.Digest = entry.Revision, entry.Digest
	for i := range b.Groups {
		group := &b.Groups[i]
		state, ok := next.Group(group.ID)
		if !ok {
			next.Groups = append(next.Groups, firstHead(group))
			continue
		}
		if err := keepsPrimary(group, state); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(next.Groups, func(a, b model.GroupHead) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next, nil
}

func firstHead(group *bundle.Group) model.GroupHead {
	return model.GroupHead{
		ID:         group.ID,
		Generation: firstGeneration,
		Primary:    group.InitialPrimary(),
		Timeline:   group.InitialTimeline(),
	}
}

// keepsPrimary refuses a bundle that takes away the primary, or the upstream
// that is becoming it.
func keepsPrimary(group *bundle.Group, state model.GroupHead) error {
	needed := []model.UpstreamID{state.Primary}
	if state.Seal != nil {
		needed = []model.UpstreamID{state.Seal.Candidate}
	}
	for _, id := range needed {
		upstream, ok := group.Upstream(id)
		if !ok {
			return errors.Errorf("group %s: upstream %s is the primary and must not be removed; switch the group first", group.ID, id)
		}
		if upstream.Leaving {
			return errors.Errorf("group %s: upstream %s is the primary and must not leave; switch the group first", group.ID, id)
		}
	}
	return nil
}
