// Package sessions keeps read-your-writes for sessions that roam between
// instances: it stores the mark of each write at the session's home before the
// write is acknowledged, and asks the home before a read is routed. The rules
// are those of package marks.
package sessions

import (
	"context"
	"sync"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Bounds on what one instance holds for a group.
const (
	maxMarks       = 100_000
	maxLost        = 10_000
	maxLedgerMarks = 100_000
)

// Times of the service.
const (
	handoverInterval = 500 * time.Millisecond
	storeRetry       = 50 * time.Millisecond
	peerTimeout      = time.Second
)

// Rounds of handoverInterval in which members are told that nothing is left to
// hand over: the first announceRounds of a row, and each announceInterval-th.
const (
	announceRounds   = 6
	announceInterval = 20
)

// Clock gives the time since the process's start, from a monotonic clock.
type Clock interface{ Now() time.Duration }

// Peers asks the homes of sessions on other instances.
type Peers interface {
	StoreMark(ctx context.Context, home marks.Target, key marks.Key, mark model.Mark) (marks.StoreStatus, error)
	AskMark(ctx context.Context, home marks.Target, key marks.Key) (marks.Answer, error)
	// SendLossReported says that the session was told of a loss; it may be lost.
	SendLossReported(home model.InstanceID, key marks.Key, mark model.Mark)
	HandOver(ctx context.Context, lost marks.LostMark) (marks.StoreStatus, error)
	// HandedOver tells a member that this instance has nothing to hand over
	// as of the row; it may be lost.
	HandedOver(to model.InstanceID, row model.RowVersion)
}

// Config is what a Service needs.
type Config struct {
	Self  model.InstanceID
	Lease marks.Lease
	Clock Clock
	Peers Peers
	// RefreshHead asks for a read of the head row; it does not wait.
	RefreshHead func()
	// Rules switches rules off, for tests.
	Rules marks.Rules
}

// Service is safe for concurrent use.
type Service struct {
	config Config

	// mu guards the fields below. It is never held during I/O.
	mu     sync.Mutex
	home   *marks.Home
	ledger *marks.Ledger
	view   *marks.MembershipView
	set    *marks.MemberSet
	row    model.RowVersion
	// announcedRow and rounds count the rounds since the row was new.
	announcedRow model.RowVersion
	rounds       int
	// members are those of the newest row.
	members []model.Member
	groups  map[model.GroupID]*groupState
}

// groupState holds what writes wait for.
type groupState struct {
	// passed is the position that every replica in use has applied.
	passed model.Mark
	// moved is closed when passed rises.
	moved chan struct{}
}

// New returns a service that knows no members.
func New(config Config) *Service {
	return &Service{
		config: config,
		home: marks.NewHome(marks.HomeConfig{
			Self:     config.Self,
			Lease:    config.Lease,
			MaxMarks: maxMarks,
			MaxLost:  maxLost,
			Rules:    config.Rules,
		}),
		ledger: marks.NewLedger(config.Self, maxLedgerMarks, maxLost),
		view:   marks.NewMembershipView(config.Lease, config.Rules),
		groups: make(map[model.GroupID]*groupState),
	}
}

// HeadSeen takes a head row. confirmedFrom is the time before the question was
// sent to which the table answered with this row.
func (s *Service) HeadSeen(confirmedFrom, now time.Duration, head *model.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.Version < s.row {
		return
	}
	if s.set == nil || s.set.Version() != head.MembersVersion {
		s.set = marks.NewMemberSet(head.MembersVersion, head.Members)
	}
	s.view.Confirm(confirmedFrom, now, s.set)
	if head.Version == s.row {
		return
	}
	s.row = head.Version
	s.members = head.Members
	s.home.ApplyHead(now, head, s.set)
	s.ledger.SetGroups(head.Groups)
}

// PrimarySampled takes a proven position of a group's primary.
func (s *Service) PrimarySampled(askedAt time.Duration, group model.GroupID, at model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.SetFloor(askedAt, group, at)
}

// AllReplicasApplied reports that every replica in use has applied the position.
func (s *Service) AllReplicasApplied(group model.GroupID, at model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.group(group)
	if !state.passed.Before(at) {
		return
	}
	state.passed = at
	close(state.moved)
	state.moved = make(chan struct{})
	s.home.AllReplicasApplied(group, at)
	s.ledger.AllReplicasApplied(group, at)
}

// SetGroups names the groups in use; what is kept of others is dropped.
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

// Size returns the number of marks held, as a home and of writes acknowledged
// here.
func (s *Service) Size() (home, ledger marks.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Size(), s.ledger.Size()
}

// group returns the state of a group. s.mu is held.
func (s *Service) group(id model.GroupID) *groupState {
	state, found := s.groups[id]
	if !found {
		state = &groupState{moved: make(chan struct{})}
		s.groups[id] = state
	}
	return state
}
