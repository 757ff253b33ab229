package region

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/hedge"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
)

// Timeouts and intervals of reading the store for other instances. One instance
// of a region, the reader, follows the tables and reads the head row; the
// others query it.
const (
	// minHeadReadInterval is the least time between two reads of the head row
	// by the reader, unless a query is urgent. Each query is answered by a read
	// that started after it arrived.
	minHeadReadInterval = 350 * time.Millisecond
	// urgentPollInterval is the time between two checks for an urgent query.
	urgentPollInterval = 30 * time.Millisecond
	// stateQueryTimeout bounds a query to the reader. After that the instance
	// reads the store itself.
	stateQueryTimeout = 900 * time.Millisecond
	// readerRetryDelay is how long a reader that failed isn't queried.
	readerRetryDelay = 2 * time.Second
	// readerLossTimeout is the age of the newest query with a current reply
	// after which an instance follows the tables itself.
	readerLossTimeout = 1800 * time.Millisecond
	// maxAnswerAge is the age of the store's newest answer, beyond the wait of
	// the feed, up to which a reader counts as following a table.
	maxAnswerAge = 800 * time.Millisecond
)

// StateQuery asks the reader for the head row, and for the tables as far as
// they have changed since the versions that the sender knows. In mesh.proto it
// is RegionAsk.
type StateQuery struct {
	// Head is the newest head row that the sender knows; only its version is
	// sent.
	Head             *model.Head
	CatalogVersion   catalog.Version
	UpstreamsVersion int64
	// Urgent asks for an immediate read of the head row, before
	// minHeadReadInterval has passed.
	Urgent bool
	// TakesOffers is set by an instance that can fetch tables in parts.
	TakesOffers bool
	// Observer is set by an instance that is no member. It gets what the queried
	// instance knows, without a read of the head row.
	Observer bool
}

// StateReply answers a StateQuery. Parts that the sender of the query knows are
// left out. In mesh.proto it is RegionAnswer.
type StateReply struct {
	// Head is the head row, read after the query arrived; nil if there is none.
	// An observer gets the newest one that is known.
	Head *model.Head
	// Current is set if the reader follows both tables or, in the reply to an
	// observer, if it has them from a reader that does.
	Current bool
	// Catalog is the configuration as JSON; nil if the sender has the newest, or
	// gets CatalogOffer instead.
	Catalog      []byte
	CatalogOffer *TableOffer
	// Upstreams is the list of upstreams as JSON; nil if the sender has the
	// newest, or gets UpstreamsOffer instead.
	Upstreams        []byte
	UpstreamsOffer   *TableOffer
	UpstreamsVersion int64
	// Suspects holds the members that the queried one does not hear from. It is
	// set for observers only.
	Suspects []model.InstanceID
	// CutOff holds the members that cannot renew their permits. It is set for
	// observers only.
	CutOff []model.InstanceID
	// ConfirmationAge is the age of the answering instance's confirmation, if
	// Confirmed is set; see Snapshot.ConfirmedAt.
	ConfirmationAge time.Duration
	Confirmed       bool
}

// currentReader returns the instance that reads the store for the region: the
// first live member that is not cut off and hasn't failed within
// readerRetryDelay.
func (l *Loop) currentReader(now time.Duration) model.InstanceID {
	for _, member := range l.view.Members {
		if member.Member.ID == l.config.Self.ID {
			return member.Member.ID
		}
		if member.State == members.Live && !member.CutOff && !l.hasReaderFailed(member.Member.ID, now) {
			return member.Member.ID
		}
	}
	return l.config.Self.ID
}

// updateFollowing decides whether this instance follows the tables itself. An
// observer, and an instance that waits for a head row from a peer, leave that to
// others for longer.
func (l *Loop) updateFollowing(now time.Duration) {
	switch {
	case l.view.Head == nil:
		l.followsTables.Store(now >= l.config.Failover.FirstReadDelay)
	case l.view.Observer:
		l.followsTables.Store(now-max(l.lastCurrentQueryAt, l.observerSince) > observerLossTimeout)
	default:
		isReader := l.currentReader(now) == l.config.Self.ID
		l.followsTables.Store(isReader || l.lastCurrentQueryAt == 0 || now-l.lastCurrentQueryAt > readerLossTimeout)
	}
}

// isCurrent reports whether this instance follows both tables or has recently
// got them from a reader that does.
func (l *Loop) isCurrent(now time.Duration) bool {
	if l.followsTables.Load() {
		return l.followsBothTables()
	}
	return l.lastCurrentQueryAt != 0 && now-l.lastCurrentQueryAt <= readerLossTimeout
}

// isUrgent reports whether a decision waits for the head row: this instance
// isn't registered yet, or a group has no primary that accepts writes.
func (l *Loop) isUrgent() bool {
	if !l.view.Registered {
		return true
	}
	for _, group := range l.view.Groups {
		if group.Sealed || group.PermitUntil == 0 {
			return true
		}
	}
	return false
}

// readHeadShared returns the result of a read of the head row that starts after
// the call; concurrent calls share it. It returns false if ctx ended first.
func (l *Loop) readHeadShared(ctx context.Context, urgent bool) (headResult, bool) {
	if urgent {
		l.urgentHeadRead.Store(true)
	}
	return l.sharedHeadRead.Do(ctx)
}

// headResult is the result of a read of the head row.
type headResult struct {
	head *model.Head
	err  error
}

// paceHeadReads waits until minHeadReadInterval has passed since the start of
// the previous read of the head row, until an urgent query arrives, or until the
// loop is closed.
func (l *Loop) paceHeadReads() {
	for l.ctx.Err() == nil && !l.urgentHeadRead.Swap(false) && l.now() < l.lastHeadReadAt+minHeadReadInterval {
		sleep(l.ctx, urgentPollInterval)
	}
}

// readHeadOnce reads the head row from the store.
func (l *Loop) readHeadOnce() headResult {
	l.lastHeadReadAt = l.now()
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := hedge.Do(ctx, storeReadPolicy, l.config.Heads.Read)
	return headResult{head: head, err: err}
}

// handleReply applies the reply of a member to a query that was sent at started.
func (l *Loop) handleReply(started time.Duration, from model.InstanceID, reply *StateReply) {
	l.applyTables(started, from, reply)
	l.step(failover.HeadRead{StartedAt: started, Head: reply.Head})
}

// followsBothTables reports whether the store has answered recently for both
// tables.
func (l *Loop) followsBothTables() bool {
	now := l.now()
	return now-time.Duration(l.configurationAnsweredAt.Load()) < configurationMaxWait+maxAnswerAge &&
		now-time.Duration(l.databasesAnsweredAt.Load()) < databasesMaxWait+maxAnswerAge
}

// errNoAnswer means that the reader couldn't read the head row.
var errNoAnswer = errors.New("the reader got no head row from the store")

// AnswerStateQuery answers a peer's query. It waits for a read of the head row,
// unless the peer is an observer.
func (l *Loop) AnswerStateQuery(ctx context.Context, known StateQuery) (*StateReply, error) {
	if known.Observer {
		return l.answerObserver(known)
	}
	read, answered := l.readHeadShared(ctx, known.Urgent)
	if !answered || read.err != nil {
		return nil, errNoAnswer
	}
	reply := &StateReply{Head: read.head, Current: l.followsBothTables()}
	l.addConfirmation(reply, l.latest.Load())
	return reply, l.addTables(reply, known)
}
