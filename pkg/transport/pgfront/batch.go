package pgfront

import (
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/protocol/pgwire"
)

// Sizes of a batch, in bytes.
const (
	// maxBatch is the size at which a batch is carried out although neither
	// Sync nor Flush has come.
	maxBatch = 256 << 10
	// keepBatch is the largest buffer that is kept for later use.
	keepBatch = 64 << 10
)

// entryKind is the kind of a message in a batch.
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

// entry is a message of a batch.
type entry struct {
	kind entryKind
	// start and end delimit the encoded message in the batch's buffer; they
	// are equal for a message that is not sent as it came.
	start, end int
	// statement is what a Parse, Bind or Describe refers to.
	statement *statement
	// name is the caller's name of a statement that a Parse defines.
	name string
	// refusal replaces the error that the message is made to raise.
	refusal *pgproto3.ErrorResponse
}

// batch is a run of messages that is carried out together: a simple query, or
// messages of the extended protocol.
type batch struct {
	buffer  []byte
	entries []entry
	tags    pgwire.Tags
	arrived time.Time
	// complete is true when the batch ends the request.
	complete bool
	// Facts about all statements in the batch.
	readOnly       bool
	commits        bool
	changesSession bool
	changesMode    bool
	reprepares     bool
}

var batches = sync.Pool{New: func() any { return &batch{} }}

func newBatch() *batch {
	b := batches.Get().(*batch)
	b.arrived = time.Now()
	b.readOnly = true
	return b
}

// release gives the batch back; it must not be used afterwards.
func (b *batch) release() {
	buffer := b.buffer[:0]
	if cap(buffer) > keepBatch {
		buffer = nil
	}
	entries := b.entries
	clear(entries)
	*b = batch{buffer: buffer, entries: entries[:0]}
	batches.Put(b)
}

// add appends an entry that is sent as message.
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

// addLocal appends an entry that has no message of its own.
func (b *batch) addLocal(e entry) {
	e.start = len(b.buffer)
	e.end = e.start
	b.entries = append(b.entries, e)
}

// note takes in what is known of a statement of the batch.
func (b *batch) note(class *pgwire.Class) {
	if b.tags.Route == "" {
		b.tags.Route = class.Tags.Route
	}
	if b.tags.Traceparent == "" {
		b.tags.Traceparent = class.Tags.Traceparent
	}
	b.readOnly = b.readOnly && (class.ReadOnly || class.Empty())
	b.commits = b.commits || class.Commits
	b.changesSession = b.changesSession || class.ChangesSession
	b.changesMode = b.changesMode || class.ChangesMode
	isCleared := class.Keyword == "deallocate" || class.Keyword == "discard"
	b.reprepares = b.reprepares || isCleared || class.Multi
}

// isLocal reports whether the batch needs no upstream.
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

// executes reports whether the batch runs a statement.
func (b *batch) executes() bool {
	for i := range b.entries {
		kind := b.entries[i].kind
		if kind == entryExecute || kind == entryQuery {
			return true
		}
	}
	return false
}
