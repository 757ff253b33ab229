// Package catalog defines the configuration on a platform that stores it
// itself, in place of a bundle: versioned routes and groups, and the upstreams
// that have registered with the platform. It is plain data with deterministic
// lookups.
//
// Instances send Catalog, with the types in it, and Upstream to each other as
// JSON under the names of the fields, so the names must not change.
package catalog

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// Version is the version of a configuration; a higher one is newer.
type Version uint64

// Consistency tells which writes the reads of a route must see.
type Consistency uint8

const (
	// Strong reads see every acknowledged write. It is the zero value, as it is
	// the strictest.
	Strong Consistency = iota
	// BoundedStaleness reads see every acknowledged write that is older than
	// the route's MaxAge.
	BoundedStaleness
	// ReadYourWrites is BoundedStaleness, but reads also see every write of
	// their own session.
	ReadYourWrites
)

// String returns the text for logs.
func (c Consistency) String() string {
	names := [...]string{"latest data", "bounded age", "session writes"}
	return names[c]
}

// Route directs the sessions of a database to a group.
type Route struct {
	Name        string
	Database    string
	Group       model.GroupID
	Consistency Consistency
	// Timeout limits the time for one statement; zero means DefaultTimeout.
	Timeout time.Duration
	// Target is the intended latency of an operation; zero means none.
	Target time.Duration
	// Priority orders waiting requests of different routes; 0 comes first.
	Priority int
	// MaxAge is the maximum age of writes of other sessions that reads may
	// miss. It is zero with Strong.
	MaxAge time.Duration
	// Public is set if the route needs no access key.
	Public bool
}

// DefaultTimeout is the timeout of a statement whose route sets none.
const DefaultTimeout = time.Second

// Group is a set of upstreams that replicate one database: a primary and its
// replicas.
type Group struct {
	ID model.GroupID
	// MaxConnections is the number of connections that each upstream accepts
	// from all instances and all other clients together.
	MaxConnections int
	// SyncReplicas is the number of replicas that have a write by the time it
	// is acknowledged.
	SyncReplicas int
}

// Limits are the limits on all sessions.
type Limits struct {
	// TransactionIdle is the time for which a transaction may be idle before it
	// can be ended; zero means no limit.
	TransactionIdle time.Duration
}

// Catalog is one version of the configuration. It must not be modified after New
// returned it.
type Catalog struct {
	Version Version
	// Routes is ordered by Database.
	Routes []Route
	// Groups is ordered by ID.
	Groups []Group
	Limits Limits
	// Authenticates is set if callers need an access key, except for public
	// routes. Callers holds the accounts, ordered by name.
	Authenticates bool
	Callers       []Caller

	// keys is ordered by digest.
	keys []callerKey
}

// New returns a catalog with sorted copies of routes and groups.
func New(version Version, routes []Route, groups []Group, limits Limits) *Catalog {
	catalog := &Catalog{Version: version, Routes: slices.Clone(routes), Groups: slices.Clone(groups), Limits: limits}
	slices.SortStableFunc(catalog.Routes, func(a, b Route) int { return cmp.Compare(a.Database, b.Database) })
	slices.SortStableFunc(catalog.Groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return catalog
}

// WithCallers returns a copy of the catalog whose routes need a key of one of
// the accounts, unless they are public. A key that two accounts hold belongs to
// the first one by name.
func (c *Catalog) WithCallers(callers []Caller) *Catalog {
	authenticated := *c
	authenticated.Authenticates = true
	authenticated.setCallers(callers)
	return &authenticated
}

// UnmarshalJSON decodes a catalog that another instance has sent, and indexes its
// keys.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	type plain Catalog
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	c.indexKeys()
	return nil
}

// NeedsKey reports whether the sessions of a route need an access key.
func (c *Catalog) NeedsKey(route *Route) bool { return c.Authenticates && !route.Public }

// Route returns the route for a database.
func (c *Catalog) Route(database string) (*Route, bool) {
	at, found := slices.BinarySearchFunc(c.Routes, database, func(r Route, name string) int {
		return cmp.Compare(r.Database, name)
	})
	if !found {
		return nil, false
	}
	return &c.Routes[at], true
}

// Group returns the group named id.
func (c *Catalog) Group(id model.GroupID) (*Group, bool) {
	at, found := slices.BinarySearchFunc(c.Groups, id, func(g Group, id model.GroupID) int {
		return cmp.Compare(g.ID, id)
	})
	if !found {
		return nil, false
	}
	return &c.Groups[at], true
}

// RoutedGroups returns the groups to which at least one route leads, ordered by
// ID.
func (c *Catalog) RoutedGroups() []Group {
	var groups []Group
	for _, group := range c.Groups {
		routed := slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Group == group.ID })
		if routed {
			groups = append(groups, group)
		}
	}
	return groups
}

// Newer returns offered if it is newer than current, or current otherwise. Either
// may be nil.
func Newer(current, offered *Catalog) *Catalog {
	if current == nil || offered != nil && offered.Version > current.Version {
		return offered
	}
	return current
}

// Upstream is a database server that has registered with the platform.
type Upstream struct {
	ID         model.UpstreamID
	Group      model.GroupID
	Address    string
	DataCentre model.DataCentre
	// Slots is the number of statements that the server can run concurrently.
	Slots int
	// Draining is set while the server is being taken out of service.
	Draining bool
	// ClaimsPrimary reports whether the server registered itself as a primary.
	ClaimsPrimary bool
	// Started is when the server process started, in milliseconds of Unix time.
	// After a restart, connections from before it are gone.
	Started int64
}

// SameProcess reports whether u and other describe the same server process, so
// that open connections remain usable.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.Address == other.Address && u.Started == other.Started && u.Group == other.Group
}
