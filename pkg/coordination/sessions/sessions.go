// Package sessions implements read-your-writes for sessions that use several
// instances. It stores the mark (log position) of each write at the session's home,
// an instance chosen by the session's ID, before the write is acknowledged, and asks
// the home before a read is routed. Package marks holds the rules; this package adds
// locking and the calls to other instances.
package sessions

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Maximum number of marks that one instance holds for a group.
const (
	maxMarks       = 100_000
	maxLostMarks   = 10_000
	maxLedgerMarks = 100_000
)

const (
	// handoverInterval is the time between two rounds of handing over lost marks.
	handoverInterval = 500 * time.Millisecond
	// storeRetryInterval is the time between two attempts to store a mark.
	storeRetryInterval = 50 * time.Millisecond
	// peerTimeout bounds one call to another instance.
	peerTimeout = time.Second
)

// Rounds of handoverInterval in which the members are told that this instance has
// nothing left to hand over: the first firstAnnounceRounds after a new head row, and
// then one in announceEveryRounds.
const (
	firstAnnounceRounds = 6
	announceEveryRounds = 20
)

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// Peers calls the homes of sessions on other instances.
type Peers interface {
	// StoreMark stores the mark of a write at the home.
	StoreMark(ctx context.Context, home marks.Target, key marks.Key, mark model.Mark) (marks.StoreStatus, error)
	// AskMark asks the home for the session's marks.
	AskMark(ctx context.Context, home marks.Target, key marks.Key) (marks.Answer, error)
	// SendLossReported tells the home that the session was told of the loss of its
	// writes up to mark. Delivery is not guaranteed.
	SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark)
	// HandOver gives the mark of a lost write to its home.
	HandOver(ctx context.Context, lost marks.LostMark) (marks.StoreStatus, error)
	// HandedOver tells a member that this instance has nothing left to hand over
	// as of this version of the head row. Delivery is not guaranteed.
	HandedOver(to model.InstanceID, version model.RowVersion)
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self  model.InstanceID
	Lease marks.Lease
	Clock Clock
	Peers Peers
	// RefreshHead requests a read of the head row and returns at once.
	RefreshHead func()
	// Rules switches off rules of package marks in tests.
	Rules marks.Rules
}

// Service stores and looks up the marks of sessions, as the instance that serves
// their callers and as the home of some. It is safe for concurrent use.
type Service struct {
	config Config

	// mu guards the fields below. It is never held during I/O.
	mu     sync.Mutex
	home   *marks.Home
	ledger *marks.Ledger
	view   *marks.MembershipView
	// memberSet and headVersion, and members below, are those of the newest head row.
	memberSet   *marks.MemberSet
	headVersion model.RowVersion
	// rounds is the number of rounds since the head row has announcedVersion.
	announcedVersion model.RowVersion
	rounds           int
	members          []model.Member
	groups           map[model.GroupID]*groupState
}

// groupState is the replication progress of a group, for which writes may wait.
type groupState struct {
	// appliedByAll is the position that every replica in use has applied.
	appliedByAll model.Mark
	// appliedChanged is closed, and replaced, when appliedByAll rises.
	appliedChanged chan struct{}
}

// New returns a service without members.
func New(config Config) *Service {
	return &Service{
		config: config,
		home: marks.NewHome(marks.HomeConfig{
			Self:     config.Self,
			Lease:    config.Lease,
			MaxMarks: maxMarks,
			MaxLost:  maxLostMarks,
			Rules:    config.Rules,
		}),
		ledger: marks.NewLedger(config.Self, maxLedgerMarks, maxLostMarks),
		view:   marks.NewMembershipView(config.Lease, config.Rules),
		groups: make(map[model.GroupID]*groupState),
	}
}

// HeadSeen processes a head row. confirmedAt is the start of the newest read that
// returned this row.
func (s *Service) HeadSeen(confirmedAt, now time.Duration, head *model.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Version < s.headVersion {
		return
	}
	if s.memberSet == nil || s.memberSet.Version() != head.MembersVersion {
		s.memberSet = marks.NewMemberSet(head.MembersVersion, head.Members)
	}
	s.view.Confirm(confirmedAt, now, s.memberSet)
	if head.Version == s.headVersion {
		return
	}
	s.headVersion = head.Version
	s.members = head.Members
	s.home.ApplyHead(now, head, s.memberSet)
	s.ledger.SetGroups(head.Groups)
}

// PrimarySampled processes a confirmed log position of a group's primary, which was
// requested at askedAt.
func (s *Service) PrimarySampled(askedAt time.Duration, group model.GroupID, at model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.SetFloor(askedAt, group, at)
}

// AllReplicasApplied records that every replica in use has applied the position.
func (s *Service) AllReplicasApplied(group model.GroupID, at model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.group(group)
	if !state.appliedByAll.Before(at) {
		return
	}
	state.appliedByAll = at
	close(state.appliedChanged)
	state.appliedChanged = make(chan struct{})
	s.home.AllReplicasApplied(group, at)
	s.ledger.AllReplicasApplied(group, at)
}

// SetGroups sets the groups of the active configuration and drops the state of
// others.
func (s *Service) SetGroups(groups []model.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[model.GroupID]*groupState, len(groups))
	for _, id := range groups {
		kept[id] = s.group(id)
	}
	for id := range s.groups {
		if _, found := kept[id]; !found {
			s.home.Forget(id)
		}
	}
	s.groups = kept
}

// Size returns the number of marks held as a home, and in the ledger of the writes
// acknowledged by this instance.
func (s *Service) Size() (home, ledger marks.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Size(), s.ledger.Size()
}

// group returns the state of a group, and creates it on first use. s.mu must be
// held.
func (s *Service) group(id model.GroupID) *groupState {
	state, found := s.groups[id]
	if !found {
		state = &groupState{appliedChanged: make(chan struct{})}
		s.groups[id] = state
	}
	return state
}
