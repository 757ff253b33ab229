package failover

import "gypsumdock/pkg/state/model"

// firstGeneration is the generation in which a new group starts.
const firstGeneration model.Generation = 1

// decideFirstGeneration writes the first generation of a group that the head
// row does not contain, once its primary is clear.
func (m *Machine) decideFirstGeneration(g *group, changes *edits) {
	if !m.membership.registered || !g.specKnown {
		return
	}
	primary := m.solePrimary(g)
	if primary == nil || !m.isHeadFresh() {
		return
	}
	started := model.GroupHead{
		ID:         g.id,
		Generation: firstGeneration,
		Primary:    primary.spec.ID,
		Timeline:   primary.probe.Timeline,
	}
	changes.add(func(head *model.Head) { insertGroup(head, started) })
}

// solePrimary returns the only upstream that takes writes, or nil. A majority
// of the upstreams must have answered the last probe, and none of them may be
// on a newer timeline than the result.
func (m *Machine) solePrimary(g *group) *upstream {
	var primary *upstream
	answering := 0
	newest := uint32(0)
	for _, up := range g.upstreams {
		if !m.isProbeFresh(up) {
			continue
		}
		answering++
		newest = max(newest, up.probe.Timeline)
		if up.probe.Recovering {
			continue
		}
		if primary != nil {
			return nil
		}
		primary = up
	}
	if primary == nil || answering*2 <= len(g.upstreams) || primary.probe.Timeline < newest {
		return nil
	}
	return primary
}

// insertGroup adds group to the groups of head, which are ordered by ID, unless
// one with the same ID is there already.
func insertGroup(head *model.Head, group model.GroupHead) {
	at := 0
	for at < len(head.Groups) && head.Groups[at].ID < group.ID {
		at++
	}
	if at < len(head.Groups) && head.Groups[at].ID == group.ID {
		return
	}
	head.Groups = append(head.Groups[:at], append([]model.GroupHead{group}, head.Groups[at:]...)...)
}
