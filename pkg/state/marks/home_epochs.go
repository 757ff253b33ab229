package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// maxEpochs is the maximum number of versions that are kept. Normally they are
// dropped earlier; see prune.
const maxEpochs = 8

// homeEpoch is a version of the members and the home's progress in taking over
// the sessions that it assigns to the home.
type homeEpoch struct {
	set *MemberSet
	// exclusiveFrom is the time from which no instance uses a known earlier
	// version any more.
	exclusiveFrom time.Duration
	// floors holds the groups whose primary was sampled at or after
	// exclusiveFrom.
	floors map[model.GroupID]floorState
}

// floorState is the progress of one group in an epoch.
type floorState struct {
	// handoverRow is the version of the head row as of which every member must
	// have handed over its lost marks.
	handoverRow model.RowVersion
	// complete is true once all members have handed over.
	complete bool
}

// setMembers starts an epoch if the set is newer than those known.
func (h *Home) setMembers(now time.Duration, set *MemberSet) {
	known := len(h.epochs) > 0
	if known && set.version <= h.newest().version {
		return
	}
	if !known || set.version > h.newest().version+1 {
		h.beginJoin()
	}
	h.epochs = append(h.epochs, homeEpoch{
		set:           set,
		exclusiveFrom: now + h.window(),
		floors:        make(map[model.GroupID]floorState),
	})
	if len(h.epochs) > maxEpochs {
		h.epochs = h.epochs[1:]
	}
	h.forgetMembers(set)
}

// window returns the time after which a replaced version is no longer in use;
// see the package comment.
func (h *Home) window() time.Duration {
	if h.config.Rules.NoWindow {
		return 0
	}
	return h.config.Lease.window()
}

func (h *Home) newest() *MemberSet { return h.epochs[len(h.epochs)-1].set }

// beginJoin discards all versions, because this home may have missed some.
// Instances may still use a missed version, and may have renewed their leases
// through each other without this home. They have stopped for certain once one
// window has passed since every member reported the current head row or a newer
// one.
func (h *Home) beginJoin() {
	h.epochs = nil
	h.joining = !h.config.Rules.NoJoinWait
	h.joinRow = h.row
}

// Joined reports whether no instance uses a version that this home missed.
// Until then a stored mark does not suffice to acknowledge a write; see
// Placement.Complete.
func (h *Home) Joined(now time.Duration) bool {
	return len(h.epochs) > 0 && !h.joining && now >= h.joinedFrom
}

// isExclusive reports whether at the given time no instance uses a version
// before the epoch's.
func (h *Home) isExclusive(at time.Duration, epoch *homeEpoch) bool {
	return !h.joining && at >= max(epoch.exclusiveFrom, h.joinedFrom)
}

// forgetMembers drops the handover state of instances that are not in set.
func (h *Home) forgetMembers(set *MemberSet) {
	kept := make(map[model.InstanceID]model.RowVersion, len(set.members))
	for _, member := range set.members {
		if row, found := h.handedOver[member]; found {
			kept[member] = row
		}
	}
	h.handedOver = kept
}

// HandedOver records that a member has no more lost marks to hand over as of
// the given version of the head row, neither from its Home nor from its Ledger.
// The instance periodically calls it for itself too.
func (h *Home) HandedOver(now time.Duration, from model.InstanceID, row model.RowVersion) {
	h.handedOver[from] = max(row, h.handedOver[from])
	if h.joining && len(h.epochs) > 0 && h.allHandedOver(h.newest(), h.joinRow) {
		h.joining = false
		h.joinedFrom = now + h.window()
	}
	for _, group := range h.groups {
		group.expireLostFloor(now)
	}
	h.updateHandovers()
}

// SetFloor raises the group's floor to a sample of the primary's position where
// an epoch needs one. The sample must be proven: the instance held the group's
// permit when the answer came. askedAt is the time before the query was sent.
func (h *Home) SetFloor(askedAt time.Duration, group model.GroupID, position model.Mark) {
	raised := false
	for i := range h.epochs {
		epoch := &h.epochs[i]
		if _, sampled := epoch.floors[group]; !sampled && h.isExclusive(askedAt, epoch) {
			epoch.floors[group] = floorState{handoverRow: h.row}
			raised = true
		}
	}
	if raised {
		h.group(group).raiseFloor(position)
	}
	h.updateHandovers()
}

// NeedsFloor reports whether a query sent to the group's primary now would give
// a floor that an epoch lacks.
func (h *Home) NeedsFloor(now time.Duration, group model.GroupID) bool {
	for i := range h.epochs {
		epoch := &h.epochs[i]
		if _, sampled := epoch.floors[group]; !sampled && h.isExclusive(now, epoch) {
			return true
		}
	}
	return false
}

// holdsAllMarks reports whether this home holds all marks of the session: it
// has been the session's home without a break since a version for which it has
// the group's floor and all handovers.
func (h *Home) holdsAllMarks(key Key) bool {
	for i := len(h.epochs) - 1; i >= 0; i-- {
		epoch := &h.epochs[i]
		if epoch.set.Home(key.Session) != h.config.Self && !h.config.Rules.NoVersionCheck {
			return false
		}
		if h.isComplete(epoch, key.Group) {
			return true
		}
	}
	return false
}

// isComplete reports whether the epoch has the group's floor and all handovers
// for it.
func (h *Home) isComplete(epoch *homeEpoch, group model.GroupID) bool {
	state, sampled := epoch.floors[group]
	if !sampled {
		return h.config.Rules.NoFloor
	}
	return state.complete
}

// updateHandovers marks the floors whose handovers are complete. A floor that
// is complete stays so when members change.
func (h *Home) updateHandovers() {
	for i := range h.epochs {
		epoch := &h.epochs[i]
		for group, state := range epoch.floors {
			state.complete = state.complete || h.allHandedOver(epoch.set, state.handoverRow)
			epoch.floors[group] = state
		}
	}
	h.prune()
}

// allHandedOver reports whether every member of the set has handed over its
// lost marks as of the given version of the head row or a newer one.
func (h *Home) allHandedOver(set *MemberSet, row model.RowVersion) bool {
	if h.config.Rules.NoHandover {
		return true
	}
	for _, member := range set.members {
		if h.handedOver[member] < row {
			return false
		}
	}
	return true
}

// prune drops the versions before the newest one that is complete for all
// groups.
func (h *Home) prune() {
	for i := len(h.epochs) - 1; i > 0; i-- {
		if h.isCompleteForAllGroups(&h.epochs[i]) {
			h.epochs = h.epochs[i:]
			return
		}
	}
}

func (h *Home) isCompleteForAllGroups(epoch *homeEpoch) bool {
	for id := range h.groups {
		if !h.isComplete(epoch, id) {
			return false
		}
	}
	return true
}
