package failover

import "gypsumdock/pkg/state/model"

// firstGeneration is the generation in which a new group starts.
const firstGeneration model.Generation = 1

// decideStart writes the first generation of a group that the head row does not
// name: a majority of its upstreams must answer, exactly one of them must take
// writes, and none may be on a newer timeline.
func (m *Machine) decideStart(g *group, changes *edits) {
	if !m.member.registered || !g.specKnown {
		return
	}
	primary := m.onlyPrimary(g)
	if primary == nil || !m.isFresh() {
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

func (m *Machine) onlyPrimary(g *group) *upstream {
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
