// Package settings reads the settings of one instance from a TOML file. They
// hold what differs between instances: addresses, keys and timeouts. What all
// instances share stands in the operators' folder; see package bundle.
package settings

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// Settings are the settings of one instance. Addresses are IP:port; port 0 of
// a listener lets the system choose one.
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

// Instance says which instance this is and where it runs.
type Instance struct {
	// ID must be new for each start of a process; it is made up when empty.
	ID         model.InstanceID `toml:"id"`
	Region     string           `toml:"region"`
	DataCentre model.DataCentre `toml:"data_centre"`
}

// Callers is the listener for callers.
type Callers struct {
	Listen string `toml:"listen"`
	// TLSCertificate and TLSKey name PEM files; both or none.
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
	// Advertise is the address that peers dial; the listener's when empty.
	Advertise string `toml:"advertise"`
	// TLSAuthority, TLSCertificate and TLSKey name PEM files for mutual TLS;
	// all or none.
	TLSAuthority   string `toml:"tls_authority"`
	TLSCertificate string `toml:"tls_certificate"`
	TLSKey         string `toml:"tls_key"`
	// Peers are addresses to try at the start, while the platform is down.
	Peers         []string      `toml:"peers"`
	CallTimeout   time.Duration `toml:"call_timeout"`
	MaxFrameBytes int           `toml:"max_frame_bytes"`
}

// Platform is the platform's service.
type Platform struct {
	Address string `toml:"address"`
	// Timeout bounds one request.
	Timeout time.Duration `toml:"timeout"`
	// Token is sent as a bearer token when not empty. TokenFile names a file
	// that holds it instead.
	Token     Secret `toml:"token"`
	TokenFile string `toml:"token_file"`
}

// Admin is the listener for metrics, health checks and gypsumctl.
type Admin struct {
	Listen string `toml:"listen"`
}

// Permits are the bounds on write permits. They must be the same on all
// instances of a region.
type Permits struct {
	// Lifetime is how long a permit lasts, from before its renewal was sent.
	Lifetime time.Duration `toml:"lifetime"`
	// Drift is added by whoever waits for a permit to lapse.
	Drift        time.Duration `toml:"drift"`
	ReadInterval time.Duration `toml:"read_interval"`
}

// Failover says when a primary counts as lost.
type Failover struct {
	ProbeInterval time.Duration `toml:"probe_interval"`
	ProbeTimeout  time.Duration `toml:"probe_timeout"`
	// DetectAfter is the time without an answer after which an instance
	// observes a primary as unreachable.
	DetectAfter     time.Duration `toml:"detect_after"`
	ObserveInterval time.Duration `toml:"observe_interval"`
	// PromoteTimeout bounds one order to a replica to become primary.
	PromoteTimeout time.Duration `toml:"promote_timeout"`
}

// Stop bounds a planned stop.
type Stop struct {
	DrainTimeout time.Duration `toml:"drain_timeout"`
}

// Log is the form of the log on standard error.
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

// LogLevel is the lowest level that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Traces says where spans go.
type Traces struct {
	Exporter TraceExporter `toml:"exporter"`
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the share of traces kept that a caller has not decided on.
	SampleRatio float64 `toml:"sample_ratio"`
}

// TraceExporter is a destination of spans.
type TraceExporter string

// The trace exporters.
const (
	TracesNone   TraceExporter = "none"
	TracesOTLP   TraceExporter = "otlp"
	TracesStderr TraceExporter = "stderr"
)

// Defaults returns the settings that a file starts from.
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
