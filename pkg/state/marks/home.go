package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// StoreStatus is a home's answer to Store and AcceptLostMark. Its values are
// sent to other instances as numbers.
type StoreStatus uint8

// The values of StoreStatus.
const (
	// StoreRefused means that the home does not know the version of the members
	// or the generation yet, or is not the session's home. Nothing was stored;
	// the home should read the head row.
	StoreRefused StoreStatus = iota
	// StoreDone means that the mark is stored.
	StoreDone
	// StoreSuperseded means that the home knows a newer version of the members
	// and no longer answers reads under the requested one. Nothing was stored.
	StoreSuperseded
	// StoreLost means that the mark's generation ended at a position below the
	// mark: the write did not survive and must not be acknowledged.
	StoreLost
)

// AskStatus is the kind of a home's answer to Ask. Its values are sent to other
// instances as numbers.
type AskStatus uint8

// The values of AskStatus.
const (
	// AskUnknown means that the home may lack marks of the session, or does not
	// answer under the requested version; see the package comment.
	AskUnknown AskStatus = iota
	// AskKnown means that the session's writes are at or below the answer's
	// mark. The mark is zero if all replicas in use have applied them.
	AskKnown
	// AskLost means that a write of the session up to the answer's mark did not
	// survive a change of primary. Before the session reads anything, it has to
	// be told, and the home informed through LossReported.
	AskLost
)

// Answer is a home's answer to Ask.
type Answer struct {
	Status AskStatus
	Mark   model.Mark
}

// Key identifies a session's marks in one group.
type Key struct {
	Session model.SessionID
	Group   model.GroupID
}

// HomeConfig configures a Home.
type HomeConfig struct {
	Self  model.InstanceID
	Lease Lease
	// MaxMarks bounds the marks held for one group. Beyond it the oldest are
	// merged into the group's floor.
	MaxMarks int
	// MaxLost bounds the lost marks held for one group.
	MaxLost int
	Rules   Rules
}

// Rules switches off single rules of the protocol, so that tests can show what
// each of them prevents. With the zero value all rules apply.
type Rules struct {
	// NoEarlierHomes stores marks at the current home only.
	NoEarlierHomes bool
	// NoWindow answers for new sessions without waiting for one window.
	NoWindow bool
	// NoFloor answers for new sessions without a sample of the primary.
	NoFloor bool
	// NoVersionCheck answers under any version of the members.
	NoVersionCheck bool
	// NoJoinWait does not wait to hear from every member after joining or
	// missing a version.
	NoJoinWait bool
	// NoHandover answers without waiting for the handover of lost marks.
	NoHandover bool
}

// Home stores the marks of the sessions that are assigned to this instance.
type Home struct {
	config HomeConfig
	// row is the version of the newest head row applied.
	row model.RowVersion
	// epochs is in ascending order of version.
	epochs []homeEpoch
	groups map[model.GroupID]*groupMarks
	// handedOver holds, for each member, the version of the head row as of
	// which it has handed over its lost marks.
	handedOver map[model.InstanceID]model.RowVersion
	// joining is true until every member has handed over as of joinRow or a
	// newer head row; the home has joined at joinedFrom.
	joining    bool
	joinRow    model.RowVersion
	joinedFrom time.Duration
}

// NewHome returns a home that has seen no head row.
func NewHome(config HomeConfig) *Home {
	return &Home{
		config:     config,
		groups:     make(map[model.GroupID]*groupMarks),
		handedOver: make(map[model.InstanceID]model.RowVersion),
	}
}

// ApplyHead applies a head row that was read; set is made from the row's
// members. Marks above the start of a new generation become lost marks.
func (h *Home) ApplyHead(now time.Duration, head *model.Head, set *MemberSet) {
	if head.Version <= h.row {
		return
	}
	h.row = head.Version
	h.setMembers(now, set)
	for _, group := range head.Groups {
		h.group(group.ID).setGeneration(now, group)
	}
}

// Store stores the mark of a write that has committed. version is the version
// of the members under which the writer chose this home.
func (h *Home) Store(key Key, mark model.Mark, version uint64) StoreStatus {
	if status := h.checkVersion(key.Session, version); status != StoreDone {
		return status
	}
	group := h.group(key.Group)
	switch {
	case mark.Generation > group.head.Generation:
		// Storing would replace a mark whose loss is not yet known here.
		return StoreRefused
	case group.isLost(mark):
		return StoreLost
	}
	group.store(key.Session, mark, h.config.MaxMarks)
	return StoreDone
}

// checkVersion returns StoreDone if version is the newest and this instance is
// the session's home under it, and otherwise the reason to refuse.
func (h *Home) checkVersion(session model.SessionID, version uint64) StoreStatus {
	if len(h.epochs) == 0 {
		return StoreRefused
	}
	set := h.epochs[len(h.epochs)-1].set
	superseded := version < set.version && !h.config.Rules.NoVersionCheck
	switch {
	case superseded:
		return StoreSuperseded
	case version > set.version || set.Home(session) != h.config.Self && !h.config.Rules.NoVersionCheck:
		return StoreRefused
	}
	return StoreDone
}

// Ask returns the mark that a replica must have applied to serve the session's
// reads, or the mark of a lost write. version is as for Store.
func (h *Home) Ask(key Key, version uint64) Answer {
	if h.checkVersion(key.Session, version) != StoreDone {
		return Answer{}
	}
	group := h.group(key.Group)
	if lost, found := group.lostMark(key.Session); found {
		return Answer{Status: AskLost, Mark: lost}
	}
	if !h.holdsAllMarks(key) {
		return Answer{}
	}
	return Answer{Status: AskKnown, Mark: group.lookup(key.Session)}
}

// LossReported records that the session has been told of the loss of its writes
// up to mark. Until then Ask answers AskLost.
func (h *Home) LossReported(key Key, mark model.Mark) {
	h.group(key.Group).lossReported(key.Session, mark)
}

// AllReplicasApplied sets the group's low watermark: every replica in use has
// applied the position. Marks up to it are dropped. The configuration that names
// the replicas must have been confirmed within the lease.
func (h *Home) AllReplicasApplied(group model.GroupID, position model.Mark) {
	h.group(group).removeApplied(position)
}

// Forget removes a group that is no longer in use.
func (h *Home) Forget(group model.GroupID) { delete(h.groups, group) }

// Size counts the entries of a Home or a Ledger. Lost includes the sessions that
// were told of a lost floor; Overflowed counts what did not fit since the start.
type Size struct{ Marks, Lost, Overflowed int }

// Size returns the number of entries of all groups.
func (h *Home) Size() Size { return sizeOf(h.groups) }

func (h *Home) group(id model.GroupID) *groupMarks {
	group, found := h.groups[id]
	if !found {
		group = newGroupMarks(h.config.MaxLost)
		h.groups[id] = group
	}
	return group
}
