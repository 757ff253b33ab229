package grants

import (
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
)

// KeyPrefix is the prefix of the keys of rows in the table. The upstream's ID
// follows it.
const KeyPrefix = "grant/"

// Key returns the key of an upstream's row in the table.
func Key(upstream model.UpstreamID) string { return KeyPrefix + string(upstream) }

// Row is the stored value of an upstream's row. The sum of its grants does not
// exceed the upstream's limit less its reserve, unless the limit was lowered
// since. A Row must not be modified once it was passed to or returned by a
// Machine.
type Row struct {
	// Entries is ordered by Instance.
	Entries []Entry `json:"entries"`
}

// Entry is the grant of one instance in a row.
type Entry struct {
	Instance model.InstanceID `json:"instance"`
	// Grant is the number of connections that the instance may have open.
	// Only the instance itself changes it, unless it is no longer a member.
	Grant int `json:"grant"`
	// Target is the number of connections to which others ask the instance to
	// shrink; it equals Grant if nothing is asked.
	Target int `json:"target"`
	// Wanted is the number of connections that the instance could use.
	Wanted int `json:"wanted"`
	// Since is the version of the member list under which the instance's lease
	// began when it wrote the entry.
	Since uint64 `json:"since"`
}

// Sum returns the total of the grants.
func (r *Row) Sum() int {
	sum := 0
	for _, e := range r.Entries {
		sum += e.Grant
	}
	return sum
}

// entry returns the entry of an instance, or nil.
func (r *Row) entry(id model.InstanceID) *Entry {
	for i := range r.Entries {
		if r.Entries[i].Instance == id {
			return &r.Entries[i]
		}
	}
	return nil
}

// withEntry returns a copy of r that has an entry for id, and a pointer to that
// entry.
func (r *Row) withEntry(id model.InstanceID) (*Row, *Entry) {
	next := &Row{Entries: slices.Clone(r.Entries)}
	if next.entry(id) == nil {
		next.Entries = append(next.Entries, Entry{Instance: id})
		slices.SortFunc(next.Entries, func(a, b Entry) int {
			return strings.Compare(string(a.Instance), string(b.Instance))
		})
	}
	return next, next.entry(id)
}

// without returns a copy of r without the instance's entry.
func (r *Row) without(id model.InstanceID) *Row {
	kept := slices.Clone(r.Entries)
	return &Row{Entries: slices.DeleteFunc(kept, func(e Entry) bool { return e.Instance == id })}
}
