package pgfront

import (
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
)

// Limits of a batch's buffer.
const (
	// maxBatchBytes is the size above which a batch is run although neither
	// Sync nor Flush has come.
	maxBatchBytes = 256 << 10
	// maxPooledBatchBytes is the capacity up to which a buffer is kept in the pool.
	maxPooledBatchBytes = 64 << 10
)

// entryKind is the type of a frontend message in a batch.
type entryKind uint8

const (
	entryQuery entryKind = iota
	entryParse
	entryBind
	entryDescribeStatement
	entryDescribePortal
	entryExecute
	entryClose
	entrySync
)

// entry is one message of a batch.
type entry struct {
	kind entryKind
	// start and end delimit the encoded message in the batch's buffer. They
	// are equal if the message is not sent as the caller encoded it.
	start, end int
	// statement is the prepared statement that a Parse, Bind or Describe refers to.
	statement *statement
	// name is the caller's name for the statement that a Parse defines.
	name string
	// refusal is set if the proxy refuses the message. An invalid message is
	// sent in its place, and refusal replaces the upstream's error.
	refusal *pgproto3.ErrorResponse
}

// batch is a sequence of messages that run together: one simple query, or
// messages of the extended protocol up to a Sync or Flush.
type batch struct {
	buffer  []byte
	entries []entry
	tags    pgwire.Tags
	arrived time.Time
	// complete is true when the batch ends with the end of the request (a
	// simple query or a Sync).
	complete bool
	// Properties of the batch's statements: readOnly holds for all of them,
	// the others for at least one.
	readOnly        bool
	commits         bool
	changesSession  bool
	changesMode     bool
	mayDropPrepared bool
}

var batchPool = sync.Pool{New: func() any { return &batch{} }}

func newBatch() *batch {
	b := batchPool.Get().(*batch)
	b.arrived = time.Now()
	b.readOnly = true
	return b
}

// release puts the batch into the pool; it must not be used afterwards.
func (b *batch) release() {
	buffer := b.buffer[:0]
	if cap(buffer) > maxPooledBatchBytes {
		buffer = nil
	}
	entries := b.entries
	clear(entries)
	*b = batch{buffer: buffer, entries: entries[:0]}
	batchPool.Put(b)
}

// add appends e and encodes message, which is sent for it.
func (b *batch) add(e entry, message pgproto3.FrontendMessage) error {
	e.start = len(b.buffer)
	buffer, err := message.Encode(b.buffer)
	if err != nil {
		return err
	}
	b.buffer = buffer
	e.end = len(buffer)
	b.entries = append(b.entries, e)
	return nil
}

// addLocal appends an entry without an encoded message.
func (b *batch) addLocal(e entry) {
	e.start = len(b.buffer)
	e.end = e.start
	b.entries = append(b.entries, e)
}

// mergeClass adds the properties of one statement to those of the batch.
func (b *batch) mergeClass(class *pgwire.Class) {
	if b.tags.Route == "" {
		b.tags.Route = class.Tags.Route
	}
	if b.tags.Traceparent == "" {
		b.tags.Traceparent = class.Tags.Traceparent
	}
	b.readOnly = b.readOnly && (class.ReadOnly || class.Empty())
	b.commits = b.commits || class.MayCommit
	b.changesSession = b.changesSession || class.MayChangeSession
	b.changesMode = b.changesMode || class.MayEnableWrites
	isCleared := class.Keyword == "deallocate" || class.Keyword == "discard"
	b.mayDropPrepared = b.mayDropPrepared || isCleared || class.MultipleStatements
}

// isLocal reports whether the proxy can answer the batch without an upstream.
func (b *batch) isLocal() bool {
	for i := range b.entries {
		e := &b.entries[i]
		isSent := e.start != e.end || e.statement != nil
		if isSent && e.kind != entrySync {
			return false
		}
	}
	return true
}

// executes reports whether the batch executes a statement.
func (b *batch) executes() bool {
	for i := range b.entries {
		kind := b.entries[i].kind
		if kind == entryExecute || kind == entryQuery {
			return true
		}
	}
	return false
}
