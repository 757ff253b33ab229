package upstreamd

import (
	"sync"
	"time"

	"gypsumdock/pkg/state/model"
)

// EntryKind says what an entry of the log records.
type EntryKind string

// The kinds of entry.
const (
	// EntryRead is a read that was executed.
	EntryRead EntryKind = "read"
	// EntryWrite is a writing statement that was executed; it may be rolled
	// back later.
	EntryWrite EntryKind = "write"
	// EntryCommit is a change that was committed.
	EntryCommit EntryKind = "commit"
	// EntryPromote is a change of timeline.
	EntryPromote EntryKind = "promote"
)

// Entry records that an upstream executed something.
type Entry struct {
	Seq      uint64    `json:"seq"`
	At       time.Time `json:"at"`
	Group    string    `json:"group"`
	Upstream string    `json:"upstream"`
	Timeline uint32    `json:"timeline"`
	// LSN is the position reached by a commit, or the position that a read saw.
	LSN  model.LSN `json:"lsn"`
	Kind EntryKind `json:"kind"`
	SQL  string    `json:"sql,omitempty"`
	// Key and Value are those of the change, or of the first row read.
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
	// Deleted is true for the commit of a deletion.
	Deleted bool `json:"deleted,omitempty"`
	// Backend is the connection within the process, and Transaction the
	// transaction within the group; a statement on its own has one too.
	Backend     uint32 `json:"backend"`
	Transaction uint64 `json:"transaction,omitempty"`
}

// execLog keeps the last entries; its methods are safe for concurrent use.
type execLog struct {
	mu      sync.Mutex
	limit   int
	last    uint64
	entries []Entry
}

func newExecLog(limit int) *execLog {
	if limit <= 0 {
		limit = DefaultLogLimit
	}
	return &execLog{limit: limit}
}

func (l *execLog) add(entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	entry.Seq = l.last
	entry.At = time.Now()
	l.entries = append(l.entries, entry)
	if len(l.entries) > l.limit+l.limit/4 {
		l.entries = append([]Entry(nil), l.entries[len(l.entries)-l.limit:]...)
	}
}

// after returns the entries that follow the sequence number seq.
func (l *execLog) after(seq uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.last - uint64(len(l.entries))
	if seq < oldest {
		seq = oldest
	}
	return append([]Entry(nil), l.entries[seq-oldest:]...)
}
