package grants

import (
	"slices"
	"strings"

	"gypsumdock/pkg/state/model"
)

// KeyPrefix is the prefix of the table's keys; the upstream's ID follows.
const KeyPrefix = "grant/"

// Key returns the table's key of an upstream's row.
func Key(upstream model.UpstreamID) string { return KeyPrefix + string(upstream) }

// Row is the stored value of an upstream's row. The sum of its grants never
// exceeds what the upstream can give.
type Row struct {
	// Entries is ordered by instance.
	Entries []Entry `json:"entries"`
}

// Entry is the part of one instance.
type Entry struct {
	Instance model.InstanceID `json:"instance"`
	// Grant is the number of connections that the instance may have open.
	// Only the instance itself changes it, unless it is no longer a member.
	Grant int `json:"grant"`
	// Target is the number to which the instance is asked to shrink; it is
	// Grant where nothing is asked.
	Target int `json:"target"`
	// Wanted is the number that the instance could use.
	Wanted int `json:"wanted"`
	// Since is the version of the members under which the instance took up
	// the entry.
	Since uint64 `json:"since"`
}

// Sum returns the connections granted to all instances.
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

// withEntry returns a copy of r that has an entry for id, and that entry.
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
