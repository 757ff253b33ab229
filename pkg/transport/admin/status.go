// Package admin serves metrics, health checks, the status of an instance and
// an operator's change of primary over HTTP. Its listener is meant for
// loopback, as it asks for no password.
package admin

import (
	"context"

	"gypsumdock/pkg/state/model"
)

// State is the state of an instance.
type State string

// The states.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Role is the part that an upstream has in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleDeposed Role = "deposed"
	RoleUnknown Role = "unknown"
)

// Status is what an instance tells of itself.
type Status struct {
	Instance   model.InstanceID `json:"instance"`
	Region     string           `json:"region"`
	DataCentre model.DataCentre `json:"data_centre"`
	State      State            `json:"state"`
	// Revision and Digest name the configuration in force.
	Revision model.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	// TargetRevision is the highest revision that the instance knows of.
	TargetRevision    model.Revision `json:"target_revision"`
	PlatformReachable bool           `json:"platform_reachable"`
	// CallerConnections are open connections of callers, and InFlight units
	// of work that are not answered yet.
	CallerConnections int           `json:"caller_connections"`
	InFlight          int           `json:"in_flight"`
	SessionMarks      int           `json:"session_marks"`
	Groups            []GroupStatus `json:"groups"`
	Peers             []PeerStatus  `json:"peers"`
}

// GroupStatus is an instance's view of a group.
type GroupStatus struct {
	ID         model.GroupID    `json:"id"`
	Generation model.Generation `json:"generation"`
	Primary    model.UpstreamID `json:"primary"`
	// Sealed is true while a change of primary is under way.
	Sealed bool `json:"sealed"`
	// WritePermit is true while the instance may send writes.
	WritePermit bool             `json:"write_permit"`
	Upstreams   []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is an instance's view of an upstream.
type UpstreamStatus struct {
	ID         model.UpstreamID `json:"id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Role       Role             `json:"role"`
	Reachable  bool             `json:"reachable"`
	Leaving    bool             `json:"leaving"`
	// LSN is the last position seen, in PostgreSQL's form.
	LSN string `json:"lsn"`
	// LagSeconds bounds a replica's lag from above; nil when it is unknown.
	LagSeconds *float64 `json:"lag_seconds"`
	// Grant is the number of connections that the instance may hold, and Open
	// the number that it holds.
	Grant int `json:"grant"`
	Open  int `json:"open"`
}

// PeerStatus is what an instance knows of a peer.
type PeerStatus struct {
	ID         model.InstanceID `json:"id"`
	DataCentre model.DataCentre `json:"data_centre"`
	Address    string           `json:"address"`
	// Admin is the address of the peer's admin listener; empty when unknown.
	Admin string `json:"admin,omitempty"`
	// Revision is the configuration that the peer last announced.
	Revision model.Revision `json:"revision"`
	// Live is false for a registered peer that does not answer.
	Live bool `json:"live"`
}

// Source gives what the handler serves. Its methods are safe for concurrent
// use.
type Source interface {
	// Status returns a copy that the caller owns.
	Status() Status
	// Switch orders a change of the group's primary to target. It returns
	// once the order is taken, or with the reason why it cannot be.
	Switch(ctx context.Context, group model.GroupID, target model.UpstreamID) error
}

// SwitchRequest is the body of POST /group/switch.
type SwitchRequest struct {
	Group  model.GroupID    `json:"group"`
	Target model.UpstreamID `json:"target"`
}

// Failure is the body of an answer above 399.
type Failure struct {
	Error string `json:"error"`
}
