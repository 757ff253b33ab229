// Package bundle defines the configuration that operators write as a folder of
// TOML files: groups of upstreams, routes and callers. It merges and checks the
// files, encodes the result for storage, compares two versions, and looks up
// entries. A Bundle must not be modified after Merge or Decode returned it.
package bundle

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Bundle is the whole configuration, merged from the files of a folder.
type Bundle struct {
	// Groups, Routes and Callers are ordered by ID or name.
	Groups  []Group  `json:"groups"`
	Routes  []Route  `json:"routes"`
	Callers []Caller `json:"callers"`

	index *index
}

// Group is a set of upstreams that replicate one database: a primary and its
// replicas.
type Group struct {
	ID model.GroupID `json:"id"`
	// Database is the database name that callers connect to.
	Database string `json:"database"`
	// User and Password are the credentials for the upstreams.
	User     string `json:"user"`
	Password string `json:"password"`
	// Primary is the upstream that is the primary when the group is new; if
	// empty, it is the first of Upstreams.
	Primary model.UpstreamID `json:"primary,omitempty"`
	// Timeline is the primary's PostgreSQL timeline when the group is new; 0
	// means 1.
	Timeline  uint32     `json:"timeline,omitempty"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one database server.
type Upstream struct {
	ID model.UpstreamID `json:"id"`
	// Address has the form IP:port.
	Address    string           `json:"address"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Slots is the number of statements that the server can run concurrently.
	Slots int `json:"slots"`
	// Connections is the server's limit on open connections, from all
	// instances together.
	Connections int `json:"connections"`
	// Leaving means that the upstream is being taken out of service and gets
	// no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Route sets how the requests that match it are executed.
type Route struct {
	Name  string        `json:"name"`
	Group model.GroupID `json:"group"`
	// Tag matches the sqlcommenter key "route"; empty matches any statement
	// of the group.
	Tag string `json:"tag,omitempty"`
	// Callers limits the route to these callers; empty means all.
	Callers []model.CallerName `json:"callers,omitempty"`
	// ReadOnly declares that the route's statements write nothing.
	ReadOnly bool `json:"read_only"`
	// MaxAge is the maximum staleness of the data that a read accepts. Zero
	// means that a read must see the writes of all sessions that were committed
	// when it arrived.
	MaxAge time.Duration `json:"max_age"`
	// AtMostOnce forbids retries: a request is sent to an upstream at most
	// once.
	AtMostOnce bool `json:"at_most_once"`
	// Deadline is the maximum time from the arrival of a request to its answer.
	Deadline time.Duration `json:"deadline"`
	// WaitReplicas is the number of replicas that must have applied a write
	// before the caller gets its answer.
	WaitReplicas int `json:"wait_replicas"`
}

// Caller is a client account that may connect.
type Caller struct {
	Name model.CallerName `json:"name"`
	// Verifier is the SCRAM-SHA-256 verifier of the password, in PostgreSQL's
	// format.
	Verifier string `json:"verifier"`
	// Weight is the caller's share of the capacity under overload, relative to
	// the weights of the other callers.
	Weight int `json:"weight"`
	// MaxConnections limits the caller's connections to one instance.
	MaxConnections int `json:"max_connections"`
	// Rate, Burst and Priority are read through Policy. A Priority of nil means
	// model.DefaultPriority.
	Rate     float64 `json:"rate,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
	Priority *int    `json:"priority,omitempty"`
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
