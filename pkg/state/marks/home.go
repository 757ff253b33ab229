package marks

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// StoreStatus is a home's answer to a Store.
type StoreStatus uint8

// The answers to a Store.
const (
	// StoreRefused means that the home does not know the version or the
	// generation yet, or is not the session's home. Nothing was stored; the
	// home should read the head row.
	StoreRefused StoreStatus = iota
	// StoreDone means that the mark is stored.
	StoreDone
	// StoreRetired means that the home has moved on to a newer version, and
	// answers no more questions under the one asked.
	StoreRetired
	// StoreLost means that the mark's generation has ended below it: the
	// write did not survive, and must not be acknowledged.
	StoreLost
)

// AskStatus is a home's answer to a question.
type AskStatus uint8

// The answers to a question.
const (
	// AskUnknown means that the home cannot tell; see the package comment.
	AskUnknown AskStatus = iota
	// AskKnown means that the session's writes are at or below the answer's
	// mark, which is zero if all replicas in use have passed them.
	AskKnown
	// AskLost means that a write of the session up to the answer's mark did
	// not survive a change of primary. The session has to be told, and Told
	// be sent, before it reads anything.
	AskLost
)

// Answer is a home's answer to a question.
type Answer struct {
	Status AskStatus
	Mark   model.Mark
}

// Key names a session's marks in one group.
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
	// MaxLost bounds the marks of lost writes held for one group.
	MaxLost int
	Rules   Rules
}

// Rules switches single rules off, for tests. The zero value has all on.
type Rules struct {
	// NoEarlierHomes stores marks at the present home only.
	NoEarlierHomes bool
	// NoWindow answers for new sessions without waiting for the users of the
	// earlier version.
	NoWindow bool
	// NoFloor answers for new sessions without a sample of the primary.
	NoFloor bool
	// NoVersionCheck serves questions under any version.
	NoVersionCheck bool
	// NoJoinWait trusts the window alone after versions that are not known.
	NoJoinWait bool
	// NoHandover answers without waiting for marks of lost writes.
	NoHandover bool
}

// Home stores the marks of the sessions whose home this instance is.
type Home struct {
	config HomeConfig
	// row is the version of the newest head row learned.
	row model.RowVersion
	// epochs is in ascending order of version; the last is the newest.
	epochs []homeEpoch
	groups map[model.GroupID]*groupMarks
	// handedOver holds, for each member, the head row as of which it has
	// handed over the marks of lost writes.
	handedOver map[model.InstanceID]model.RowVersion
	// joining is true until all members were heard of at joinRow or later.
	joining    bool
	joinRow    model.RowVersion
	joinedFrom time.Duration
}

// NewHome returns a home that knows no version.
func NewHome(config HomeConfig) *Home {
	return &Home{
		config:     config,
		groups:     make(map[model.GroupID]*groupMarks),
		handedOver: make(map[model.InstanceID]model.RowVersion),
	}
}

// ApplyHead takes a head row that was read. set is made of the row's members.
// Marks of an ended generation above the position at which the next one starts
// become lost.
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

// Store takes the mark of a write that has committed.
func (h *Home) Store(key Key, mark model.Mark, version uint64) StoreStatus {
	if status := h.accepts(key.Session, version); status != StoreDone {
		return status
	}
	group := h.group(key.Group)
	switch {
	case mark.Generation > group.head.Generation:
		// It would replace a mark of which the loss is not known yet.
		return StoreRefused
	case group.isLost(mark):
		return StoreLost
	}
	group.store(key.Session, mark, h.config.MaxMarks)
	return StoreDone
}

// accepts checks the version and the place of a session.
func (h *Home) accepts(session model.SessionID, version uint64) StoreStatus {
	if len(h.epochs) == 0 {
		return StoreRefused
	}
	set := h.epochs[len(h.epochs)-1].set
	retired := version < set.version && !h.config.Rules.NoVersionCheck
	switch {
	case retired:
		return StoreRetired
	case version > set.version || set.Home(session) != h.config.Self && !h.config.Rules.NoVersionCheck:
		return StoreRefused
	}
	return StoreDone
}

// Ask returns what the session's reads have to respect.
func (h *Home) Ask(key Key, version uint64) Answer {
	if h.accepts(key.Session, version) != StoreDone {
		return Answer{}
	}
	group := h.group(key.Group)
	if lost, found := group.lostMark(key.Session); found {
		return Answer{Status: AskLost, Mark: lost}
	}
	if !h.isSettled(key) {
		return Answer{}
	}
	return Answer{Status: AskKnown, Mark: group.answer(key.Session)}
}

// LossReported says that the session has been told of the loss of its writes up to
// mark. Until then each question is answered with AskLost.
func (h *Home) LossReported(key Key, mark model.Mark) {
	h.group(key.Group).told(key.Session, mark)
}

// AllReplicasApplied says that every replica in use has applied the position at. The
// configuration that names the replicas must be confirmed within the lease.
func (h *Home) AllReplicasApplied(group model.GroupID, at model.Mark) { h.group(group).drop(at) }

// Forget removes a group that is out of use.
func (h *Home) Forget(group model.GroupID) { delete(h.groups, group) }

// Size counts what a home holds.
type Size struct{ Marks, Lost, Overflowed int }

// Size returns what the home holds of all groups.
func (h *Home) Size() Size { return sizeOf(h.groups) }

func (h *Home) group(id model.GroupID) *groupMarks {
	group, found := h.groups[id]
	if !found {
		group = newGroupMarks(h.config.MaxLost)
		h.groups[id] = group
	}
	return group
}
