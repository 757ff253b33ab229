package upstreamd

import "time"

// Spec says what one process hosts.
type Spec struct {
	// Listen is the IP address of all listeners.
	Listen string `json:"listen"`
	// LogLimit bounds the log of executed statements, in entries; the oldest
	// go first. Zero stands for DefaultLogLimit.
	LogLimit int         `json:"log_limit"`
	Groups   []GroupSpec `json:"groups"`
}

// DefaultLogLimit is the number of log entries that are kept.
const DefaultLogLimit = 1_000_000

// Auth is the way in which an upstream asks for a password.
type Auth string

// The ways to ask for a password.
const (
	AuthScram     Auth = "scram"
	AuthCleartext Auth = "cleartext"
)

// GroupSpec describes a group; its first upstream starts as the primary.
type GroupSpec struct {
	ID       string `json:"id"`
	Database string `json:"database"`
	User     string `json:"user"`
	Password string `json:"password"`
	// Auth is AuthScram when empty.
	Auth      Auth           `json:"auth"`
	Upstreams []UpstreamSpec `json:"upstreams"`
}

// UpstreamSpec describes one database server.
type UpstreamSpec struct {
	ID string `json:"id"`
	// Port is 0 for a port that the system picks.
	Port int `json:"port"`
	// Slots is the number of statements that run at once; 0 sets no limit.
	Slots int `json:"slots"`
	// Connections is the limit on open connections; 0 sets no limit.
	Connections int   `json:"connections"`
	Costs       Costs `json:"costs"`
	// LagMS is the replication lag in milliseconds.
	LagMS int `json:"lag_ms"`
}

// Costs are the times that an upstream's work takes.
type Costs struct {
	ConnectMS   int `json:"connect_ms"`
	StatementUS int `json:"statement_us"`
	PromoteMS   int `json:"promote_ms"`
}

func (c Costs) connect() time.Duration   { return time.Duration(c.ConnectMS) * time.Millisecond }
func (c Costs) statement() time.Duration { return time.Duration(c.StatementUS) * time.Microsecond }
func (c Costs) promote() time.Duration   { return time.Duration(c.PromoteMS) * time.Millisecond }

// Layout says where the listeners of a process are.
type Layout struct {
	// Control is the URL of the control endpoint.
	Control string        `json:"control"`
	Groups  []GroupLayout `json:"groups"`
}

// GroupLayout gives the addresses of a group.
type GroupLayout struct {
	ID        string           `json:"id"`
	Database  string           `json:"database"`
	User      string           `json:"user"`
	Password  string           `json:"password"`
	Upstreams []UpstreamLayout `json:"upstreams"`
}

// UpstreamLayout gives the address of an upstream.
type UpstreamLayout struct {
	ID string `json:"id"`
	// Address is IP:port.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}
