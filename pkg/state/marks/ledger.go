package marks

import (
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
)

// LostMark is a lost mark that is to be handed over to the session's home.
type LostMark struct {
	Key  Key
	Mark model.Mark
	// Target is the session's home, whose AcceptLostMark takes the mark.
	Target Target
}

// PendingHandover returns the lost marks whose sessions have another home under
// the newest version, ordered by key. The caller calls LossReported for each
// mark that the other home has accepted, which removes it here.
func (h *Home) PendingHandover() []LostMark {
	if len(h.epochs) == 0 {
		return nil
	}
	return lostMarksToSend(h.groups, h.epochs[len(h.epochs)-1].set, h.config.Self)
}

// AcceptLostMark adds a lost mark that another instance hands over. It returns
// StoreDone if this instance is the session's home, and otherwise does nothing.
func (h *Home) AcceptLostMark(key Key, mark model.Mark, version uint64) StoreStatus {
	status := h.checkVersion(key.Session, version)
	if status == StoreDone {
		h.group(key.Group).addLost(entry{session: key.Session, mark: mark})
	}
	return status
}

// Ledger holds the marks of the writes that one instance has acknowledged, so
// that a lost write is detected even if the session's home has failed.
type Ledger struct {
	self     model.InstanceID
	maxMarks int
	maxLost  int
	groups   map[model.GroupID]*groupMarks
	// accepted holds the lost marks that a home has accepted.
	accepted map[Key]LostMark
}

// NewLedger returns an empty ledger. maxMarks and maxLost apply to each group.
func NewLedger(self model.InstanceID, maxMarks, maxLost int) *Ledger {
	return &Ledger{
		self:     self,
		maxMarks: maxMarks,
		maxLost:  maxLost,
		groups:   make(map[model.GroupID]*groupMarks),
		accepted: make(map[Key]LostMark),
	}
}

// Record adds the mark of a write that is about to be acknowledged.
func (l *Ledger) Record(key Key, mark model.Mark) {
	l.group(key.Group).store(key.Session, mark, l.maxMarks)
}

// Lost returns the newest lost mark of the session among the writes that this
// instance acknowledged, if the session has not been told of it yet. It does
// not depend on the session's home.
func (l *Ledger) Lost(key Key) (model.Mark, bool) {
	group, found := l.groups[key.Group]
	if !found {
		return model.Mark{}, false
	}
	mark, lost := group.lost[key.Session]
	return mark, lost
}

// SetGroups applies the groups of a head row.
func (l *Ledger) SetGroups(groups []model.GroupHead) {
	for _, head := range groups {
		// The time only matters for a lost floor. A ledger has a floor only if
		// it overflowed, and does not report its loss to sessions.
		l.group(head.ID).setGeneration(0, head)
	}
}

// AllReplicasApplied sets the group's low watermark: every replica in use has
// applied the position. Marks up to it are dropped.
func (l *Ledger) AllReplicasApplied(group model.GroupID, position model.Mark) {
	l.group(group).removeApplied(position)
}

// PendingHandover returns the lost marks that the homes in set, the newest one,
// have not accepted yet, ordered by key.
func (l *Ledger) PendingHandover(set *MemberSet) []LostMark {
	all := lostMarksToSend(l.groups, set, "")
	missing := all[:0]
	for _, lost := range all {
		if l.accepted[lost.Key] != lost {
			missing = append(missing, lost)
		}
	}
	return missing
}

// HandoverAccepted records that the session's home has accepted the mark. The
// ledger keeps the mark, because that home may fail too.
func (l *Ledger) HandoverAccepted(lost LostMark) { l.accepted[lost.Key] = lost }

// LossReported records that the session was told of the loss of its writes up
// to mark. The session's home informs all members of it (MarkTold in
// mesh.proto).
func (l *Ledger) LossReported(key Key, mark model.Mark) {
	l.group(key.Group).lossReported(key.Session, mark)
	delete(l.accepted, key)
}

// Size returns the number of entries of all groups.
func (l *Ledger) Size() Size { return sizeOf(l.groups) }

func (l *Ledger) group(id model.GroupID) *groupMarks {
	group, found := l.groups[id]
	if !found {
		group = newGroupMarks(l.maxLost)
		l.groups[id] = group
	}
	return group
}

// lostMarksToSend returns the lost marks whose sessions have a home in the set
// other than self, ordered by key.
func lostMarksToSend(groups map[model.GroupID]*groupMarks, set *MemberSet, self model.InstanceID) []LostMark {
	var found []LostMark
	for id, group := range groups {
		for session, mark := range group.lost {
			home, known := homeTarget(set, session)
			if known && home.Home != self {
				found = append(found, LostMark{Key: Key{Session: session, Group: id}, Mark: mark, Target: home})
			}
		}
	}
	slices.SortFunc(found, func(a, b LostMark) int {
		if byGroup := strings.Compare(string(a.Key.Group), string(b.Key.Group)); byGroup != 0 {
			return byGroup
		}
		return strings.Compare(string(a.Key.Session), string(b.Key.Session))
	})
	return found
}

func sizeOf(groups map[model.GroupID]*groupMarks) Size {
	var size Size
	for _, group := range groups {
		size.Marks += len(group.marks)
		size.Lost += len(group.lost) + len(group.reportedTo)
		size.Overflowed += group.overflowed
	}
	return size
}
