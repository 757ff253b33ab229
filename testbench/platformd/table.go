package platformd

import (
	"slices"
	"strings"
	"sync"
)

// Row is a row of the table, in the protocol's form.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	OpID    string `json:"op_id"`
}

// write is one conditional write of a commit.
type write struct {
	Key       string `json:"key"`
	IfVersion int64  `json:"if_version"`
	Value     []byte `json:"value"`
	Delete    bool   `json:"delete"`
}

// table keeps the rows; its methods are safe for concurrent use.
type table struct {
	mu sync.Mutex
	// version is that of the last write of any row, so that a row that was
	// deleted and written again never has an old version.
	version int64
	rows    map[string]Row
}

func newTable() *table { return &table{rows: make(map[string]Row)} }

// get returns nil for a row that does not exist.
func (t *table) get(key string) *Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(key)
}

func (t *table) find(key string) *Row {
	row, found := t.rows[key]
	if !found {
		return nil
	}
	return &row
}

// list returns the rows whose key starts with prefix, ordered by key.
func (t *table) list(prefix string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// commit applies all writes or none, and returns the rows in their order.
func (t *table) commit(opID string, writes []write) (bool, []*Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := !slices.ContainsFunc(writes, func(w write) bool { return t.rows[w.Key].Version != w.IfVersion })
	if applied {
		for _, w := range writes {
			t.apply(opID, w)
		}
	}
	rows := make([]*Row, 0, len(writes))
	for _, w := range writes {
		rows = append(rows, t.find(w.Key))
	}
	return applied, rows
}

func (t *table) apply(opID string, w write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.version++
	t.rows[w.Key] = Row{Key: w.Key, Version: t.version, Value: w.Value, OpID: opID}
}
