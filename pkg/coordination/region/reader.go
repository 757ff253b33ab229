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

// Times of reading the store for others. One instance of a region, the reader,
// follows the tables and reads the head row; the others ask it.
const (
	// readSpacing is the least time between two reads of the head row by the
	// reader. It answers each question with a read that started afterwards.
	readSpacing = 350 * time.Millisecond
	// readPoll is the time between two looks for a question that is urgent.
	readPoll = 30 * time.Millisecond
	// askTimeout bounds a question to the reader, after which the store is
	// asked directly.
	askTimeout = 900 * time.Millisecond
	// avoidReader is the time for which a reader that failed is not asked.
	avoidReader = 2 * time.Second
	// followAfter is the time without a good answer of a reader after which an
	// instance follows the tables itself.
	followAfter = 1800 * time.Millisecond
	// currentFor is the age of the newest answer of the store up to which a
	// reader counts as following a table, beyond the wait of its feed.
	currentFor = 800 * time.Millisecond
)

// StateQuery asks the reader for the head row, and for what has changed since
// the versions that are known.
type StateQuery struct {
	Head             *model.Head
	CatalogVersion   catalog.Version
	UpstreamsVersion int64
	// Urgent asks for the head row at once, not with the next regular read.
	Urgent bool
}

// StateReply answers a StateQuery. What is known is left out.
type StateReply struct {
	// Head was read after the question arrived; nil while there is no row.
	Head *model.Head
	// Current is set while the reader follows both tables.
	Current bool
	// Catalog is nil if it is not newer.
	Catalog []byte
	// Upstreams is nil if it is not newer than UpstreamsVersion.
	Upstreams        []byte
	UpstreamsVersion int64
}

// tables is what a reader serves of the tables. It is immutable.
type tables struct {
	catalog   *catalog.Catalog
	upstreams []catalog.Upstream
	// version is that of the newest change of the upstreams.
	version int64

	encode        sync.Once
	catalogJSON   []byte
	upstreamsJSON []byte
	err           error
}

func (t *tables) encoded() error {
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

// reader returns the instance that reads the store for all: the first live
// member that has not failed lately.
func (l *Loop) reader(now time.Duration) model.InstanceID {
	for _, member := range l.view.Members {
		if member.Member.ID == l.config.Self.ID {
			return member.Member.ID
		}
		failedAt, failed := l.failedReaders[member.Member.ID]
		if member.State == members.Live && (!failed || now-failedAt > avoidReader) {
			return member.Member.ID
		}
	}
	return l.config.Self.ID
}

// decideFollowing sets whether this instance follows the tables itself.
func (l *Loop) decideFollowing(now time.Duration) {
	alone := l.reader(now) == l.config.Self.ID
	l.following.Store(alone || l.goodReplyAt == 0 || now-l.goodReplyAt > followAfter)
}

// readHead reads the head row, from the reader if there is one.
func (l *Loop) readHead() {
	if l.reads.Add(1) > maxHeadReads {
		l.reads.Add(-1)
		return
	}
	reader := l.reader(l.now())
	question := StateQuery{Head: l.view.Head, UpstreamsVersion: l.upstreamsVersion, Urgent: l.isUrgent()}
	if l.catalog != nil {
		question.CatalogVersion = l.catalog.Version
	}
	l.tasks.Go(func() {
		defer l.reads.Add(-1)
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		started := l.now()
		if reader != l.config.Self.ID && question.Head != nil && l.askReader(ctx, reader, question, started) {
			return
		}
		started = l.now()
		read, answered := l.readShared(ctx, question.Urgent)
		l.post(func() {
			l.step(failover.HeadRead{StartedAt: started, Head: read.head, Failed: !answered || read.err != nil})
		})
	})
}

// isUrgent reports whether a decision waits for the head row: this instance is
// new, or a primary is being replaced.
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

// readShared returns a read of the head row that starts after the call.
func (l *Loop) readShared(ctx context.Context, urgent bool) (headResult, bool) {
	if urgent {
		l.urgent.Store(true)
	}
	return l.headRead.Do(ctx)
}

// headResult is the outcome of a read of the head row.
type headResult struct {
	head *model.Head
	err  error
}

// spacedHeadRead reads the head row, not sooner than readSpacing after the
// read before.
func (l *Loop) spacedHeadRead() headResult {
	for !l.urgent.Swap(false) && l.now() < l.lastHeadRead+readSpacing {
		wait(l.ctx, readPoll)
	}
	l.lastHeadRead = l.now()
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	head, err := l.config.Heads.Read(ctx)
	return headResult{head: head, err: err}
}

// askReader asks the reader, and reports whether it has answered.
func (l *Loop) askReader(ctx context.Context, reader model.InstanceID, question StateQuery, started time.Duration) bool {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.config.Peers.QueryState(asking, reader, question)
	if err != nil {
		events.Log(l.ctx, l.config.Logger, events.ReaderFailed,
			slog.String("reader", string(reader)), slog.Any("error", err))
		l.post(func() { l.failedReaders[reader] = l.now() })
		return false
	}
	l.post(func() { l.replied(started, reply) })
	return true
}

// replied takes the reply of a reader.
func (l *Loop) replied(started time.Duration, reply *StateReply) {
	if reply.Current {
		l.goodReplyAt = started
	}
	if reply.Catalog != nil {
		l.takeCatalog(reply.Catalog)
	}
	if reply.Upstreams != nil && reply.UpstreamsVersion > l.upstreamsVersion {
		l.takeUpstreams(reply)
	}
	l.step(failover.HeadRead{StartedAt: started, Head: reply.Head})
}

func (l *Loop) takeCatalog(data []byte) {
	offered := &catalog.Catalog{}
	if err := json.Unmarshal(data, offered); err != nil {
		l.refuseRow("configuration of a peer", Entry{}, err)
		return
	}
	l.adopt(offered)
}

func (l *Loop) takeUpstreams(reply *StateReply) {
	var all []catalog.Upstream
	if err := json.Unmarshal(reply.Upstreams, &all); err != nil {
		l.refuseRow("databases of a peer", Entry{}, err)
		return
	}
	l.upstreamsVersion = reply.UpstreamsVersion
	l.noteChanges(all)
	if l.registry.replace(l.now(), all) {
		l.specify()
	}
	l.serveTables()
	l.publish()
}

// serveTables makes what is known of the tables available to peers.
func (l *Loop) serveTables() {
	l.tables.Store(&tables{
		catalog:   l.catalog,
		upstreams: l.registry.present(),
		version:   l.upstreamsVersion,
	})
}

// isCurrent reports whether both tables are followed.
func (l *Loop) isCurrent() bool {
	now := l.now()
	return now-time.Duration(l.configurationSeen.Load()) < configurationWait+currentFor &&
		now-time.Duration(l.databasesSeen.Load()) < databasesWait+currentFor
}

// errNoAnswer means that the store has not answered a reader.
var errNoAnswer = errors.New("the store gave no answer")

// AnswerStateQuery answers a question of a peer. It waits for a read of the head
// row.
func (l *Loop) AnswerStateQuery(ctx context.Context, known StateQuery) (*StateReply, error) {
	read, answered := l.readShared(ctx, known.Urgent)
	if !answered || read.err != nil {
		return nil, errNoAnswer
	}
	held := l.tables.Load()
	reply := &StateReply{Head: read.head, Current: l.isCurrent()}
	if held == nil {
		return reply, nil
	}
	if err := held.encoded(); err != nil {
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
