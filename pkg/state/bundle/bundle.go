// Package bundle holds the configuration that operators write as a folder of
// TOML files: groups of upstreams, routes and callers. A bundle is immutable
// once it is in force.
package bundle

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Bundle is a folder of files, merged in the order of their names.
type Bundle struct {
	// Groups, Routes and Callers are ordered by ID or name.
	Groups  []Group  `json:"groups"`
	Routes  []Route  `json:"routes"`
	Callers []Caller `json:"callers"`

	index *index
}

// Group is a database group: a primary and its replicas.
type Group struct {
	ID model.GroupID `json:"id"`
	// Database is the database name that callers connect to.
	Database string `json:"database"`
	// User and Password log in to the upstreams.
	User     string `json:"user"`
	Password string `json:"password"`
	// Primary is the upstream that starts as primary when the group is new;
	// the first of Upstreams when empty.
	Primary model.UpstreamID `json:"primary,omitempty"`
	// Timeline is the primary's PostgreSQL timeline when the group is new; 1
	// when zero.
	Timeline  uint32     `json:"timeline,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one database server.
type Upstream struct {
	ID model.UpstreamID `json:"id"`
	// Address is IP:port.
	Address    string           `json:"address"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Slots is the number of statements that the server runs at once.
	Slots int `json:"slots"`
	// Connections is the server's limit on open connections, from all
	// instances together.
	Connections int `json:"connections"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Route states how the requests that it matches are treated.
type Route struct {
	Name  string        `json:"name"`
	Group model.GroupID `json:"group"`
	// Tag matches the sqlcommenter key "route"; empty matches any statement
	// of the group.
	Tag string `json:"tag,omitempty"`
	// Callers limits the route to these callers; empty means all.
	Callers []model.CallerName `json:"callers,omitempty"`
	// ReadOnly promises that the route's statements write nothing.
	ReadOnly bool `json:"read_only"`
	// MaxAge is the age of data that a read accepts; zero means that it
	// accepts no stated age.
	MaxAge time.Duration `json:"max_age"`
	// AtMostOnce routes are sent to an upstream at most once.
	AtMostOnce bool `json:"at_most_once"`
	// Deadline bounds the time from the request's arrival to its answer.
	Deadline time.Duration `json:"deadline"`
	// WaitReplicas is the number of replicas that must have applied a write
	// before it is acknowledged.
	WaitReplicas int `json:"wait_replicas"`
}

// Caller is a user who may connect.
type Caller struct {
	Name model.CallerName `json:"name"`
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's format.
	Verifier string `json:"verifier"`
	// Weight is the caller's share under overload, relative to the others.
	Weight int `json:"weight"`
	// MaxConnections bounds the caller's connections to one instance.
	MaxConnections int `json:"max_connections"`
}

// Upstream returns the upstream named id.
func (g *Group) Upstream(id model.UpstreamID) (*Upstream, bool) {
	for i := range g.Upstreams {
		if g.Upstreams[i].ID == id {
			return &g.Upstreams[i], true
		}
	}
	return nil, false
}
