package catalog

import (
	"bytes"
	"cmp"
	"slices"

	"gypsumdock/pkg/state/model"
)

// Caller is a client account.
type Caller struct {
	Name model.CallerName
	// Keys holds the digests of the account's access keys.
	Keys []model.KeyDigest
	// Rate is the number of operations a second that the account may run over all
	// instances, and Burst how many more it may run at once. A Rate of zero sets
	// no limit.
	Rate  float64
	Burst float64
	// Priority orders accounts; 0 comes first.
	Priority int
}

// Policy returns the account's rate limit and priority.
func (c *Caller) Policy() model.CallerPolicy {
	return model.CallerPolicy{Name: c.Name, Rate: c.Rate, Burst: c.Burst, Priority: c.Priority}
}

// callerKey is an access key with its account.
type callerKey struct {
	digest model.KeyDigest
	caller int
}

// setCallers replaces the accounts, which are given in any order.
func (c *Catalog) setCallers(callers []Caller) {
	c.Callers = slices.Clone(callers)
	slices.SortStableFunc(c.Callers, func(a, b Caller) int { return cmp.Compare(a.Name, b.Name) })
	c.indexKeys()
}

// indexKeys orders the keys of all accounts by digest.
func (c *Catalog) indexKeys() {
	c.keys = nil
	for i, caller := range c.Callers {
		for _, digest := range caller.Keys {
			c.keys = append(c.keys, callerKey{digest: digest, caller: i})
		}
	}
	slices.SortStableFunc(c.keys, func(a, b callerKey) int { return bytes.Compare(a.digest[:], b.digest[:]) })
}

// CallerByKey returns the account that holds a key.
func (c *Catalog) CallerByKey(digest model.KeyDigest) (*Caller, bool) {
	at, found := slices.BinarySearchFunc(c.keys, digest, func(k callerKey, digest model.KeyDigest) int {
		return bytes.Compare(k.digest[:], digest[:])
	})
	if !found {
		return nil, false
	}
	return &c.Callers[c.keys[at].caller], true
}

// CallerNamed returns the account of a name.
func (c *Catalog) CallerNamed(name model.CallerName) (*Caller, bool) {
	at, found := slices.BinarySearchFunc(c.Callers, name, func(caller Caller, name model.CallerName) int {
		return cmp.Compare(caller.Name, name)
	})
	if !found {
		return nil, false
	}
	return &c.Callers[at], true
}
