package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// maxEpochs bounds the versions kept while their floors are outstanding.
const maxEpochs = 8

// homeEpoch is a version of the members, as a home knows it.
type homeEpoch struct {
	set *MemberSet
	// settledAt is when the users of earlier versions are gone.
	settledAt time.Duration
	// floors holds the groups sampled at or after settledAt.
	floors map[model.GroupID]floorState
}

// floorState is the progress of one group in an epoch.
type floorState struct {
	// row is the head row as of which marks of lost writes must have been
	// handed over.
	row model.RowVersion
	// settled is true once they have.
	settled bool
}

func (h *Home) setMembers(now time.Duration, set *MemberSet) {
	known := len(h.epochs) > 0
	if known && set.version <= h.newest().version {
		return
	}
	if !known || set.version > h.newest().version+1 {
		h.join()
	}
	h.epochs = append(h.epochs, homeEpoch{
		set:       set,
		settledAt: now + h.window(),
		floors:    make(map[model.GroupID]floorState),
	})
	if len(h.epochs) > maxEpochs {
		h.epochs = h.epochs[1:]
	}
	h.forgetMembers(set)
}

// window is the wait for users of an earlier version.
func (h *Home) window() time.Duration {
	if h.config.Rules.NoWindow {
		return 0
	}
	return h.config.Lease.window()
}

func (h *Home) newest() *MemberSet { return h.epochs[len(h.epochs)-1].set }

// join starts anew after versions that this home does not know of. Their users
// may have renewed their leases by promises of each other, without this home.
// They are certainly gone when the lease has passed since the last member was
// heard of at the present row.
func (h *Home) join() {
	h.epochs = nil
	h.joining = !h.config.Rules.NoJoinWait
	h.joinRow = h.row
}

// Joined reports whether the users of all versions that this home does not
// know of are gone. Until then no write may be acknowledged because its mark
// is stored; see Placement.Complete.
func (h *Home) Joined(now time.Duration) bool {
	return len(h.epochs) > 0 && !h.joining && now >= h.joinedFrom
}

// isDue reports whether the users of the versions before the epoch are gone.
func (h *Home) isDue(at time.Duration, epoch *homeEpoch) bool {
	return !h.joining && at >= max(epoch.settledAt, h.joinedFrom)
}

// forgetMembers drops what is kept of instances that are gone.
func (h *Home) forgetMembers(set *MemberSet) {
	kept := make(map[model.InstanceID]model.RowVersion, len(set.members))
	for _, member := range set.members {
		if row, found := h.handedOver[member]; found {
			kept[member] = row
		}
	}
	h.handedOver = kept
}

// HandedOver says that a member, this instance included, has no more marks of
// lost writes to hand over, neither from its Home nor from its Ledger, as of
// the given version of the head row. It is called for this instance in each
// round.
func (h *Home) HandedOver(now time.Duration, from model.InstanceID, row model.RowVersion) {
	h.handedOver[from] = max(row, h.handedOver[from])
	if h.joining && len(h.epochs) > 0 && h.allHandedOver(h.newest(), h.joinRow) {
		h.joining = false
		h.joinedFrom = now + h.window()
	}
	for _, group := range h.groups {
		group.expireLostFloor(now)
	}
	h.settle()
}

// SetFloor takes a proven sample of the primary's position: the instance held
// the group's permit when the answer came. askedAt is the time before the
// question was sent.
func (h *Home) SetFloor(askedAt time.Duration, group model.GroupID, at model.Mark) {
	raised := false
	for i := range h.epochs {
		epoch := &h.epochs[i]
		if _, sampled := epoch.floors[group]; !sampled && h.isDue(askedAt, epoch) {
			epoch.floors[group] = floorState{row: h.row}
			raised = true
		}
	}
	if raised {
		h.group(group).raiseFloor(at)
	}
	h.settle()
}

// NeedsFloor reports whether a sample of the group's primary, asked now, would
// let the home answer for more sessions.
func (h *Home) NeedsFloor(now time.Duration, group model.GroupID) bool {
	for i := range h.epochs {
		epoch := &h.epochs[i]
		if _, sampled := epoch.floors[group]; !sampled && h.isDue(now, epoch) {
			return true
		}
	}
	return false
}

// isSettled reports whether this home holds all marks of the session: it was
// the session's home, without a break, since a version that is settled.
func (h *Home) isSettled(key Key) bool {
	for i := len(h.epochs) - 1; i >= 0; i-- {
		epoch := &h.epochs[i]
		if epoch.set.Home(key.Session) != h.config.Self && !h.config.Rules.NoVersionCheck {
			return false
		}
		if h.epochSettled(epoch, key.Group) {
			return true
		}
	}
	return false
}

func (h *Home) epochSettled(epoch *homeEpoch, group model.GroupID) bool {
	state, sampled := epoch.floors[group]
	if !sampled {
		return h.config.Rules.NoFloor
	}
	return state.settled
}

// settle notes the floors whose handovers are complete. What is settled stays
// so when a member leaves.
func (h *Home) settle() {
	for i := range h.epochs {
		epoch := &h.epochs[i]
		for group, state := range epoch.floors {
			state.settled = state.settled || h.allHandedOver(epoch.set, state.row)
			epoch.floors[group] = state
		}
	}
	h.prune()
}

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

// prune drops the versions before the newest that is settled for all groups.
func (h *Home) prune() {
	for i := len(h.epochs) - 1; i > 0; i-- {
		if h.allSettled(&h.epochs[i]) {
			h.epochs = h.epochs[i:]
			return
		}
	}
}

func (h *Home) allSettled(epoch *homeEpoch) bool {
	for id := range h.groups {
		if !h.epochSettled(epoch, id) {
			return false
		}
	}
	return true
}
