// Package trace reads and writes recorded traces: requests of callers, faults,
// and the outcomes that a replay must reach. docs/TRACES.md has the format.
package trace

import "time"

// Version is the version of the format.
const Version = 1

// Trace is a recorded trace.
type Trace struct {
	Header Header
	// Events are ordered by time.
	Events []Event
	Expect Expect
}

// Header is the first line of a trace.
type Header struct {
	Trace   int    `json:"trace"`
	Title   string `json:"title"`
	Profile string `json:"profile"`
	// Instances is the number of instances at the start.
	Instances int `json:"instances"`
	// Scale is the number of recorded seconds that a replay runs in one.
	Scale int `json:"scale"`
}

// Do is what an event does.
type Do string

// The requests of callers.
const (
	DoWrite Do = "write"
	DoOnce  Do = "once"
	DoFresh Do = "fresh"
	DoAged  Do = "aged"
)

// The faults of upstreams, of instances and of the platform, and their ends.
const (
	DoKill     Do = "kill"
	DoRevive   Do = "revive"
	DoFollow   Do = "follow"
	DoLag      Do = "lag"
	DoStick    Do = "stick"
	DoUnstick  Do = "unstick"
	DoStop     Do = "stop_instance"
	DoCrash    Do = "crash_instance"
	DoFreeze   Do = "freeze_instance"
	DoThaw     Do = "thaw_instance"
	DoStart    Do = "start_instance"
	DoPlatform Do = "platform"
)

// The upstreams that an event may name besides an ID.
const (
	// UpstreamPrimary is the primary at the time of the event.
	UpstreamPrimary = "primary"
	// UpstreamReplicas is every other upstream of the group.
	UpstreamReplicas = "replicas"
)

// Event is a line of a trace. The fields that its Do does not use are empty.
type Event struct {
	AtMS int64 `json:"at_ms"`
	Do   Do    `json:"do"`

	Caller  string `json:"caller,omitempty"`
	Session string `json:"session,omitempty"`
	// Via is the index of the instance that the request or the fault goes to,
	// counted over all instances that run at that time.
	Via   int    `json:"via,omitempty"`
	Group string `json:"group,omitempty"`
	Key   string `json:"key,omitempty"`

	Upstream string    `json:"upstream,omitempty"`
	LagMS    int       `json:"lag_ms,omitempty"`
	Platform *Platform `json:"platform,omitempty"`
}

// Platform is the state of the platform.
type Platform struct {
	Down        bool `json:"down,omitempty"`
	DelayMS     int  `json:"delay_ms,omitempty"`
	LoseCommits int  `json:"lose_commits,omitempty"`
}

// Expect is the last line of a trace: the stated outcomes.
type Expect struct {
	// Violations is the number of broken promises that is allowed.
	Violations int `json:"violations"`
	// MinAnswered is the smallest share of requests that end with an answer.
	MinAnswered float64 `json:"min_answered"`
	// MaxGapMS is the longest time from the loss of a primary to the first
	// acknowledged write of its group; 0 states none.
	MaxGapMS int64 `json:"max_gap_ms,omitempty"`
	// MinReplicaShare is the smallest share of reads served by replicas.
	MinReplicaShare float64 `json:"min_replica_share,omitempty"`
}

// At returns the event's time since the start of the trace.
func (e Event) At() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// IsRequest reports whether the event is a caller's request.
func (e Event) IsRequest() bool {
	switch e.Do {
	case DoWrite, DoOnce, DoFresh, DoAged:
		return true
	default:
		return false
	}
}
