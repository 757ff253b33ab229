// Package admin serves metrics, profiles, health checks and the status of an
// instance over HTTP, and accepts an operator's request to change a primary. It has
// no authentication, so its listener should be reachable from loopback only.
package admin

import (
	"context"

	"gypsumdock/pkg/state/model"
)

// State is the state of an instance.
type State string

// The states of an instance.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Role is the role of an upstream in its group.
type Role string

// The roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleDeposed Role = "deposed"
	RoleUnknown Role = "unknown"
)

// Status is the status of an instance.
type Status struct {
	Instance   model.InstanceID `json:"instance"`
	Region     string           `json:"region"`
	DataCentre model.DataCentre `json:"data_centre"`
	State      State            `json:"state"`
	// Revision and Digest identify the active configuration.
	Revision model.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	// TargetRevision is the highest revision that the instance knows of.
	TargetRevision    model.Revision `json:"target_revision"`
	PlatformReachable bool           `json:"platform_reachable"`
	// CallerConnections is the number of open connections of callers, and
	// InFlight the number of units of work without an answer so far.
	CallerConnections int           `json:"caller_connections"`
	InFlight          int           `json:"in_flight"`
	SessionMarks      int           `json:"session_marks"`
	Groups            []GroupStatus `json:"groups"`
	Peers             []PeerStatus  `json:"peers"`
	Callers           CallersStatus `json:"callers"`
}

// GroupStatus is an instance's view of a group.
type GroupStatus struct {
	ID         model.GroupID    `json:"id"`
	Generation model.Generation `json:"generation"`
	Primary    model.UpstreamID `json:"primary"`
	// Sealed is true while a change of primary is in progress.
	Sealed bool `json:"sealed"`
	// WritePermit is true while the instance holds a permit to send writes.
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
	// LSN is the last log position that was read, in PostgreSQL's text form.
	LSN string `json:"lsn"`
	// LagSeconds is an upper bound on a replica's lag; nil when unknown.
	LagSeconds *float64 `json:"lag_seconds"`
	// Grant is the number of connections that the instance may open, and Open
	// the number that are open.
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
	// Revision is that of the configuration in the peer's last status.
	Revision model.Revision `json:"revision"`
	// Live is false for a registered peer that does not answer.
	Live bool `json:"live"`
}

// Source provides the status and carries out requests. Its methods must be safe for
// concurrent use.
type Source interface {
	// Status returns a copy that the caller owns.
	Status() Status
	// Switch requests a change of the group's primary to target. It returns nil
	// once the request is accepted, before the change is complete, or an error
	// with the reason of a refusal.
	Switch(ctx context.Context, group model.GroupID, target model.UpstreamID) error
}

// SwitchRequest is the body of POST /group/switch.
type SwitchRequest struct {
	Group  model.GroupID    `json:"group"`
	Target model.UpstreamID `json:"target"`
}

// Failure is the body of an answer with a status of 400 or more.
type Failure struct {
	Error string `json:"error"`
}
