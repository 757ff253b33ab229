package operator

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// firstGeneration is the generation of a group's initial primary.
const firstGeneration model.Generation = 1

// nextHead returns the head row that makes the bundle active. Groups that the
// bundle no longer contains stay in the head row, so that a group that is added
// again continues from its last generation and marks stay comparable.
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
		if err := checkKeepsPrimary(group, state); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(next.Groups, func(a, b model.GroupHead) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next, nil
}

// firstHead returns the state of a group that is new.
func firstHead(group *bundle.Group) model.GroupHead {
	return model.GroupHead{
		ID:         group.ID,
		Generation: firstGeneration,
		Primary:    group.InitialPrimary(),
		Timeline:   group.InitialTimeline(),
	}
}

// checkKeepsPrimary returns an error if the bundle removes or drains the group's
// primary or, while the group is sealed, the candidate that is to become it.
func checkKeepsPrimary(group *bundle.Group, state model.GroupHead) error {
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
			return errors.Errorf("group %s: upstream %s is the primary and must not be marked as leaving; switch the group first", group.ID, id)
		}
	}
	return nil
}
