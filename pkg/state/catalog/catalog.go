// Package catalog holds the configuration in force on a platform that keeps
// it: routes and groups by version, and the upstreams that have announced
// themselves. It is plain data with deterministic lookups.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"gypsumdock/pkg/state/model"
)

// Version numbers the configurations; a higher one is newer.
type Version uint64

// Consistency says which data the reads of a route may see.
type Consistency uint8

// The consistencies.
const (
	// Strong reads see every acknowledged write.
	Strong Consistency = iota
	// BoundedStaleness reads see every write older than the route's MaxAge.
	BoundedStaleness
	// ReadYourWrites reads see in addition every write of their own session.
	ReadYourWrites
)

// String returns the consistency as it stands in logs.
func (c Consistency) String() string {
	names := [...]string{"latest data", "bounded age", "session writes"}
	return names[c]
}

// Route leads the sessions of a database to a group.
type Route struct {
	Name        string
	Database    string
	Group       model.GroupID
	Consistency Consistency
	// Timeout bounds one statement; zero takes DefaultTimeout.
	Timeout time.Duration
	// Target is the time within which an operation is wanted.
	Target time.Duration
	// Priority orders the routes; 0 comes first.
	Priority int
	// MaxAge is the age up to which reads may miss writes of others; zero for
	// Strong.
	MaxAge time.Duration
}

// DefaultTimeout is that of a statement whose route names none.
const DefaultTimeout = time.Second

// Group is a group of databases.
type Group struct {
	ID model.GroupID
	// MaxConnections is what each upstream takes from all instances and all
	// other clients together.
	MaxConnections int
	// SyncReplicas is the number of replicas that have a write when it is
	// acknowledged.
	SyncReplicas int
}

// Limits bound sessions.
type Limits struct {
	// TransactionIdle is the pause within a transaction after which it may be
	// ended; zero for no bound.
	TransactionIdle time.Duration
}

// Catalog is a configuration. It is immutable.
type Catalog struct {
	Version Version
	// Routes is ordered by Database.
	Routes []Route
	// Groups is ordered by ID.
	Groups []Group
	Limits Limits
}

// New returns a catalog with its parts in order.
func New(version Version, routes []Route, groups []Group, limits Limits) *Catalog {
	made := &Catalog{Version: version, Routes: slices.Clone(routes), Groups: slices.Clone(groups), Limits: limits}
	slices.SortStableFunc(made.Routes, func(a, b Route) int { return cmp.Compare(a.Database, b.Database) })
	slices.SortStableFunc(made.Groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return made
}

// Route returns the route of a database.
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

// RoutedGroups returns the groups that a route leads to, ordered by ID.
func (c *Catalog) RoutedGroups() []Group {
	var used []Group
	for _, group := range c.Groups {
		leads := slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Group == group.ID })
		if leads {
			used = append(used, group)
		}
	}
	return used
}

// Newer returns the newer of two catalogs; either may be nil.
func Newer(held, offered *Catalog) *Catalog {
	if held == nil || offered != nil && offered.Version > held.Version {
		return offered
	}
	return held
}

// Upstream is a database that has announced itself.
type Upstream struct {
	ID         model.UpstreamID
	Group      model.GroupID
	Address    string
	DataCentre model.DataCentre
	// Slots is the number of statements that run at once.
	Slots int
	// Draining is set once it is about to leave.
	Draining bool
	// ClaimsPrimary is how the database sees itself.
	ClaimsPrimary bool
	// Started is its start, in milliseconds of Unix time: a database that
	// starts again holds no connection of before.
	Started int64
}

// SameProcess reports whether connections to one upstream are good for the
// other.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.Address == other.Address && u.Started == other.Started && u.Group == other.Group
}
