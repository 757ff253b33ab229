package access

import (
	"slices"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// Changes lists the accounts whose keys differ between two configurations, by
// name and in order of name.
type Changes struct {
	// KeysAdded holds the accounts that have a new key, and KeysRemoved those that
	// have lost one. An account can be in both.
	KeysAdded   []model.CallerName
	KeysRemoved []model.CallerName
	// Removed holds the accounts that no longer exist.
	Removed []model.CallerName
}

// IsEmpty reports whether no account differs.
func (c Changes) IsEmpty() bool {
	return len(c.KeysAdded) == 0 && len(c.KeysRemoved) == 0 && len(c.Removed) == 0
}

// Compare returns the changes from one configuration to the next. before may be
// nil.
func Compare(before, after *catalog.Catalog) Changes {
	if before == nil {
		before = &catalog.Catalog{}
	}
	var changes Changes
	for i := range after.Callers {
		caller := &after.Callers[i]
		known, existed := before.CallerNamed(caller.Name)
		if !existed {
			changes.KeysAdded = append(changes.KeysAdded, caller.Name)
			continue
		}
		if lacks(known.Keys, caller.Keys) {
			changes.KeysAdded = append(changes.KeysAdded, caller.Name)
		}
		if lacks(caller.Keys, known.Keys) {
			changes.KeysRemoved = append(changes.KeysRemoved, caller.Name)
		}
	}
	for i := range before.Callers {
		if _, exists := after.CallerNamed(before.Callers[i].Name); !exists {
			changes.Removed = append(changes.Removed, before.Callers[i].Name)
		}
	}
	return changes
}

// lacks reports whether one of the wanted keys is not among keys.
func lacks(keys, wanted []model.KeyDigest) bool {
	return slices.ContainsFunc(wanted, func(key model.KeyDigest) bool { return !slices.Contains(keys, key) })
}
