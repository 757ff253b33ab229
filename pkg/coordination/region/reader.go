package region

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/events"
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
}

// StateReply answers a StateQuery. Parts that the sender of the query knows are
// left out. In mesh.proto it is RegionAnswer.
type StateReply struct {
	// Head is the head row, read after the query arrived; nil if there is none.
	Head *model.Head
	// Current is set if the reader follows both tables.
	Current bool
	// Catalog is the configuration as JSON; nil if the sender has the newest.
	Catalog []byte
	// Upstreams is the list of upstreams as JSON; nil if the sender has the
	// newest.
	Upstreams        []byte
	UpstreamsVersion int64
}

// servedTables holds the tables as this instance sends them to peers. It is
// immutable, except that encodeOnce fills in the JSON.
type servedTables struct {
	catalog   *catalog.Catalog
	upstreams []catalog.Upstream
	// version is the version of the newest change of the upstreams.
	version int64

	encode        sync.Once
	catalogJSON   []byte
	upstreamsJSON []byte
	err           error
}

// encodeOnce encodes the tables on the first call.
func (t *servedTables) encodeOnce() error {
	t.encode.Do(func() {
		if t.catalog != nil {
			t.catalogJSON, t.err = json.Marshal(t.catalog)
		}
		if t.err == nil {
			t.upstreamsJSON, t.err = json.Marshal(t.upstreams)
		}
	})
	return t.err
}

// currentReader returns the instance that reads the store for the region: the
// first live member that hasn't failed within readerRetryDelay.
func (l *Loop) currentReader(now time.Duration) model.InstanceID {
	for _, member := range l.view.Members {
		if member.Member.ID == l.config.Self.ID {
			return member.Member.ID
		}
		failedAt, failed := l.readerFailedAt[member.Member.ID]
		if member.State == members.Live && (!failed || now-failedAt > readerRetryDelay) {
			return member.Member.ID
		}
	}
	return l.config.Self.ID
}

// updateFollowing decides whether this instance follows the tables itself.
func (l *Loop) updateFollowing(now time.Duration) {
	isReader := l.currentReader(now) == l.config.Self.ID
	l.followsTables.Store(isReader || l.lastCurrentQueryAt == 0 || now-l.lastCurrentQueryAt > readerLossTimeout)
}

// readHead requests the head row from the reader. This instance reads it from
// the store if it is the reader, knows no head row yet, or gets no answer.
func (l *Loop) readHead() {
	if l.headReadsInFlight.Add(1) > maxConcurrentHeadReads {
		l.headReadsInFlight.Add(-1)
		return
	}
	reader := l.currentReader(l.now())
	query := StateQuery{Head: l.view.Head, UpstreamsVersion: l.upstreamsVersion, Urgent: l.isUrgent()}
	if l.catalog != nil {
		query.CatalogVersion = l.catalog.Version
	}
	l.tasks.Go(func() {
		defer l.headReadsInFlight.Add(-1)
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		started := l.now()
		if reader != l.config.Self.ID && query.Head != nil && l.queryReader(ctx, reader, query, started) {
			return
		}
		started = l.now()
		read, answered := l.readHeadShared(ctx, query.Urgent)
		l.post(func() {
			l.step(failover.HeadRead{StartedAt: started, Head: read.head, Failed: !answered || read.err != nil})
		})
	})
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

// readHeadRateLimited reads the head row from the store, minHeadReadInterval
// after the start of the previous read or when an urgent query arrives.
func (l *Loop) readHeadRateLimited() headResult {
	for !l.urgentHeadRead.Swap(false) && l.now() < l.lastHeadReadAt+minHeadReadInterval {
		sleep(l.ctx, urgentPollInterval)
	}
	l.lastHeadReadAt = l.now()
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Heads.Read(ctx)
	return headResult{head: head, err: err}
}

// queryReader queries the reader, and reports whether it has answered.
func (l *Loop) queryReader(ctx context.Context, reader model.InstanceID, query StateQuery, started time.Duration) bool {
	queryCtx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
	defer cancel()
	reply, err := l.config.Peers.QueryState(queryCtx, reader, query)
	if err != nil {
		events.Log(l.ctx, l.config.Logger, events.ReaderFailed,
			slog.String("reader", string(reader)), slog.Any("error", err))
		l.post(func() { l.readerFailedAt[reader] = l.now() })
		return false
	}
	l.post(func() { l.handleReply(started, reply) })
	return true
}

// handleReply applies the reply to a query that was sent at started.
func (l *Loop) handleReply(started time.Duration, reply *StateReply) {
	if reply.Current {
		l.lastCurrentQueryAt = started
	}
	if reply.Catalog != nil {
		l.applyPeerCatalog(reply.Catalog)
	}
	if reply.Upstreams != nil && reply.UpstreamsVersion > l.upstreamsVersion {
		l.applyPeerUpstreams(reply)
	}
	l.step(failover.HeadRead{StartedAt: started, Head: reply.Head})
}

// applyPeerCatalog adopts the configuration in a reply, as JSON.
func (l *Loop) applyPeerCatalog(data []byte) {
	offered := &catalog.Catalog{}
	if err := json.Unmarshal(data, offered); err != nil {
		l.logRejectedRow("configuration of a peer", Entry{}, err)
		return
	}
	l.adoptCatalog(offered)
}

// applyPeerUpstreams replaces the list of upstreams by the one in a reply.
func (l *Loop) applyPeerUpstreams(reply *StateReply) {
	var all []catalog.Upstream
	if err := json.Unmarshal(reply.Upstreams, &all); err != nil {
		l.logRejectedRow("databases of a peer", Entry{}, err)
		return
	}
	l.upstreamsVersion = reply.UpstreamsVersion
	l.logUpstreamChanges(all)
	if l.registry.replace(l.now(), all) {
		l.updateGroupSpecs()
	}
	l.updateServedTables()
	l.publish()
}

// updateServedTables makes the present state of the tables available to peers.
func (l *Loop) updateServedTables() {
	l.served.Store(&servedTables{
		catalog:   l.catalog,
		upstreams: l.registry.present(),
		version:   l.upstreamsVersion,
	})
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

// AnswerStateQuery answers a peer's query. It waits for a read of the head row.
func (l *Loop) AnswerStateQuery(ctx context.Context, known StateQuery) (*StateReply, error) {
	read, answered := l.readHeadShared(ctx, known.Urgent)
	if !answered || read.err != nil {
		return nil, errNoAnswer
	}
	held := l.served.Load()
	reply := &StateReply{Head: read.head, Current: l.followsBothTables()}
	if held == nil {
		return reply, nil
	}
	if err := held.encodeOnce(); err != nil {
		return nil, err
	}
	if held.catalog != nil && held.catalog.Version > known.CatalogVersion {
		reply.Catalog = held.catalogJSON
	}
	if held.version > known.UpstreamsVersion {
		reply.Upstreams = held.upstreamsJSON
		reply.UpstreamsVersion = held.version
	}
	return reply, nil
}
