// Package settings reads the settings of one instance from a TOML file. The
// settings hold what differs between instances (addresses, keys and timeouts),
// while the configuration that all instances share is in the operators' folder;
// see package bundle.
package settings

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Settings are the settings of one instance. Addresses are IP:port; with port 0,
// the system chooses a listener's port.
type Settings struct {
	Instance Instance `toml:"instance"`
	Callers  Callers  `toml:"callers"`
	Mesh     Mesh     `toml:"mesh"`
	Platform Platform `toml:"platform"`
	Admin    Admin    `toml:"admin"`
	Permits  Permits  `toml:"permits"`
	Failover Failover `toml:"failover"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
	Traces   Traces   `toml:"traces"`
}

// Instance identifies the instance and its location.
type Instance struct {
	// ID must be different for each start of a process. If empty, one is
	// generated.
	ID         model.InstanceID `toml:"id"`
	Region     string           `toml:"region"`
	DataCentre model.DataCentre `toml:"data_centre"`
}

// Callers is the listener for callers.
type Callers struct {
	Listen string `toml:"listen"`
	// TLSCertificate and TLSKey name PEM files; both or none must be given.
	TLSCertificate string `toml:"tls_certificate"`
	TLSKey         string `toml:"tls_key"`
	// StartupTimeout bounds the time from accept to the end of authentication.
	StartupTimeout  time.Duration `toml:"startup_timeout"`
	MaxMessageBytes int           `toml:"max_message_bytes"`
	MaxConnections  int           `toml:"max_connections"`
}

// Mesh is the network between instances.
type Mesh struct {
	Listen string `toml:"listen"`
	// Advertise is the address that peers dial. If empty, it is the listener's.
	Advertise string `toml:"advertise"`
	// TLSAuthority, TLSCertificate and TLSKey name PEM files for mutual TLS;
	// all or none must be given.
	TLSAuthority   string `toml:"tls_authority"`
	TLSCertificate string `toml:"tls_certificate"`
	TLSKey         string `toml:"tls_key"`
	// Peers are mesh addresses to dial at the start, so that peers are found
	// even while the platform is unreachable.
	Peers         []string      `toml:"peers"`
	CallTimeout   time.Duration `toml:"call_timeout"`
	MaxFrameBytes int           `toml:"max_frame_bytes"`
}

// Platform is how to reach the platform, which stores the state of groups.
type Platform struct {
	Address string `toml:"address"`
	// Timeout bounds one request.
	Timeout time.Duration `toml:"timeout"`
	// Token is the bearer token of requests; if empty, none is sent. TokenFile
	// names a file that contains the token, in place of Token.
	Token     Secret `toml:"token"`
	TokenFile string `toml:"token_file"`
}

// Admin is the listener for metrics, health checks and gypsumctl.
type Admin struct {
	Listen string `toml:"listen"`
}

// Permits are the times of write permits. They must be the same on all instances
// of a region.
type Permits struct {
	// Lifetime is how long a permit is valid, counted from the moment before its
	// renewal was sent.
	Lifetime time.Duration `toml:"lifetime"`
	// Drift bounds how far two clocks drift apart during a permit's lifetime. An
	// instance that waits for a permit to expire waits this much longer.
	Drift        time.Duration `toml:"drift"`
	ReadInterval time.Duration `toml:"read_interval"`
}

// Failover configures how upstreams are probed and when a primary counts as lost.
type Failover struct {
	ProbeInterval time.Duration `toml:"probe_interval"`
	ProbeTimeout  time.Duration `toml:"probe_timeout"`
	// DetectAfter is the time without an answer after which an instance
	// observes a primary as unreachable.
	DetectAfter     time.Duration `toml:"detect_after"`
	ObserveInterval time.Duration `toml:"observe_interval"`
	// PromoteTimeout bounds one request to promote a replica.
	PromoteTimeout time.Duration `toml:"promote_timeout"`
}

// Stop configures a planned stop.
type Stop struct {
	// DrainTimeout bounds the wait for work in flight.
	DrainTimeout time.Duration `toml:"drain_timeout"`
}

// Log configures the log on standard error.
type Log struct {
	Format LogFormat `toml:"format"`
	Level  LogLevel  `toml:"level"`
}

// LogFormat is the encoding of log lines.
type LogFormat string

// The log formats.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// LogLevel is the least severe level that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Traces configures the export of spans.
type Traces struct {
	Exporter TraceExporter `toml:"exporter"`
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the fraction, from 0 to 1, of traces that are sampled if
	// the caller has not decided whether to sample.
	SampleRatio float64 `toml:"sample_ratio"`
}

// TraceExporter is the destination of spans.
type TraceExporter string

// The trace exporters.
const (
	TracesNone   TraceExporter = "none"
	TracesOTLP   TraceExporter = "otlp"
	TracesStderr TraceExporter = "stderr"
)

// Defaults returns the default settings.
func Defaults() *Settings {
	return &Settings{
		Callers: Callers{
			Listen:          "127.0.0.1:5432",
			StartupTimeout:  10 * time.Second,
			MaxMessageBytes: 16 << 20,
			MaxConnections:  10_000,
		},
		Mesh: Mesh{
			Listen:        "127.0.0.1:7432",
			CallTimeout:   2 * time.Second,
			MaxFrameBytes: 1 << 20,
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Admin:    Admin{Listen: "127.0.0.1:7433"},
		Permits: Permits{
			Lifetime:     3 * time.Second,
			Drift:        200 * time.Millisecond,
			ReadInterval: 500 * time.Millisecond,
		},
		Failover: Failover{
			ProbeInterval:   250 * time.Millisecond,
			ProbeTimeout:    500 * time.Millisecond,
			DetectAfter:     time.Second,
			ObserveInterval: 250 * time.Millisecond,
			PromoteTimeout:  5 * time.Second,
		},
		Stop:   Stop{DrainTimeout: 30 * time.Second},
		Log:    Log{Format: LogJSON, Level: LogInfo},
		Traces: Traces{Exporter: TracesNone, SampleRatio: 0.01},
	}
}
