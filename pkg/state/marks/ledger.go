package marks

import (
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
)

// LostMark is the mark of a write that did not survive, on its way to the
// session's home.
type LostMark struct {
	Key  Key
	Mark model.Mark
	// Home is where to send it with AcceptLostMark.
	Home Target
}

// PendingHandover returns the marks of lost writes whose sessions have another home
// under the newest version, ordered by key. Told is called for each that the
// other home has taken.
func (h *Home) PendingHandover() []LostMark {
	if len(h.epochs) == 0 {
		return nil
	}
	return lostElsewhere(h.groups, h.epochs[len(h.epochs)-1].set, h.config.Self)
}

// AcceptLostMark takes the mark of a lost write from another instance.
func (h *Home) AcceptLostMark(key Key, mark model.Mark, version uint64) StoreStatus {
	status := h.accepts(key.Session, version)
	if status == StoreDone {
		h.group(key.Group).addLost(entry{session: key.Session, mark: mark})
	}
	return status
}

// Ledger holds the marks of the writes that one instance has acknowledged, so
// that a loss is noticed also if the session's home is gone.
type Ledger struct {
	self     model.InstanceID
	maxMarks int
	maxLost  int
	groups   map[model.GroupID]*groupMarks
	// taken holds the lost marks that a home has taken.
	taken map[Key]LostMark
}

// NewLedger returns an empty ledger; the bounds are per group.
func NewLedger(self model.InstanceID, maxMarks, maxLost int) *Ledger {
	return &Ledger{
		self:     self,
		maxMarks: maxMarks,
		maxLost:  maxLost,
		groups:   make(map[model.GroupID]*groupMarks),
		taken:    make(map[Key]LostMark),
	}
}

// Record takes the mark of a write before it is acknowledged.
func (l *Ledger) Record(key Key, mark model.Mark) {
	l.group(key.Group).store(key.Session, mark, l.maxMarks)
}

// Lost returns the mark up to which writes of the session, acknowledged by this
// instance, did not survive and the session was not told yet. It answers also
// while the session's home cannot.
func (l *Ledger) Lost(key Key) (model.Mark, bool) {
	group, found := l.groups[key.Group]
	if !found {
		return model.Mark{}, false
	}
	mark, lost := group.lost[key.Session]
	return mark, lost
}

// SetGroups takes the state of the groups from the head row.
func (l *Ledger) SetGroups(groups []model.GroupHead) {
	for _, head := range groups {
		// A ledger has a floor only if it overflowed, and tells no session of it.
		l.group(head.ID).setGeneration(0, head)
	}
}

// AllReplicasApplied says that every replica in use has applied the position at.
func (l *Ledger) AllReplicasApplied(group model.GroupID, at model.Mark) { l.group(group).drop(at) }

// PendingHandover returns the marks of lost writes that the homes in the newest set
// have not taken yet, ordered by key.
func (l *Ledger) PendingHandover(set *MemberSet) []LostMark {
	all := lostElsewhere(l.groups, set, "")
	missing := all[:0]
	for _, lost := range all {
		if l.taken[lost.Key] != lost {
			missing = append(missing, lost)
		}
	}
	return missing
}

// HandoverAccepted says that the session's home has taken the mark. The ledger keeps it,
// since that home may be lost too.
func (l *Ledger) HandoverAccepted(lost LostMark) { l.taken[lost.Key] = lost }

// LossReported says that the session was told of the loss of its writes up to mark.
// The home sends it to all members.
func (l *Ledger) LossReported(key Key, mark model.Mark) {
	l.group(key.Group).told(key.Session, mark)
	delete(l.taken, key)
}

// Size returns the number of marks and of lost marks held.
func (l *Ledger) Size() Size { return sizeOf(l.groups) }

func (l *Ledger) group(id model.GroupID) *groupMarks {
	group, found := l.groups[id]
	if !found {
		group = newGroupMarks(l.maxLost)
		l.groups[id] = group
	}
	return group
}

func lostElsewhere(groups map[model.GroupID]*groupMarks, set *MemberSet, self model.InstanceID) []LostMark {
	var found []LostMark
	for id, group := range groups {
		for session, mark := range group.lost {
			home, known := target(set, session)
			if known && home.Home != self {
				found = append(found, LostMark{Key: Key{Session: session, Group: id}, Mark: mark, Home: home})
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
		size.Lost += len(group.lost) + len(group.toldFloor)
		size.Overflowed += group.overflowed
	}
	return size
}
