package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// Allowed ranges of the settings' values.
const (
	minMessageBytes = 1 << 10
	maxMessageBytes = 1 << 30
	minFrameBytes   = 16 << 10
	maxFrameBytes   = 64 << 20
	maxConnections  = 1_000_000
	minInterval     = 10 * time.Millisecond
	maxInterval     = time.Minute
	maxDrain        = time.Hour
	maxNameBytes    = 63
)

// Check returns all problems of the settings' values. They have a key but no
// file and line.
func Check(s *Settings) []Problem {
	c := &checker{}
	c.instance(&s.Instance)
	c.callers(&s.Callers)
	c.mesh(&s.Mesh)
	c.platform(&s.Platform)
	c.address("admin.listen", s.Admin.Listen)
	c.permits(&s.Permits)
	c.failover(&s.Failover)
	c.duration("stop.drain_timeout", s.Stop.DrainTimeout, minInterval, maxDrain)
	c.oneOf("log.format", string(s.Log.Format), string(LogJSON), string(LogText))
	c.oneOf("log.level", string(s.Log.Level), string(LogDebug), string(LogInfo), string(LogWarn), string(LogError))
	c.traces(&s.Traces)
	return c.problems
}

// checker collects the problems of the settings.
type checker struct{ problems []Problem }

func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) instance(s *Instance) {
	c.optionalName("instance.id", string(s.ID))
	c.name("instance.region", s.Region)
	c.name("instance.data_centre", string(s.DataCentre))
}

func (c *checker) callers(s *Callers) {
	c.address("callers.listen", s.Listen)
	c.allOrNone(
		namedFile{"callers.tls_certificate", s.TLSCertificate},
		namedFile{"callers.tls_key", s.TLSKey},
	)
	c.duration("callers.startup_timeout", s.StartupTimeout, minInterval, maxInterval)
	c.count("callers.max_message_bytes", s.MaxMessageBytes, minMessageBytes, maxMessageBytes)
	c.count("callers.max_connections", s.MaxConnections, 1, maxConnections)
}

func (c *checker) mesh(s *Mesh) {
	c.address("mesh.listen", s.Listen)
	if s.Advertise != "" {
		c.reachable("mesh.advertise", s.Advertise)
	}
	c.allOrNone(
		namedFile{"mesh.tls_authority", s.TLSAuthority},
		namedFile{"mesh.tls_certificate", s.TLSCertificate},
		namedFile{"mesh.tls_key", s.TLSKey},
	)
	for i, peer := range s.Peers {
		c.reachable(fmt.Sprintf("mesh.peers[%d]", i), peer)
	}
	c.duration("mesh.call_timeout", s.CallTimeout, minInterval, maxInterval)
	c.count("mesh.max_frame_bytes", s.MaxFrameBytes, minFrameBytes, maxFrameBytes)
}

func (c *checker) platform(s *Platform) {
	c.reachable("platform.address", s.Address)
	c.duration("platform.timeout", s.Timeout, minInterval, maxInterval)
	if s.Token != "" && s.TokenFile != "" {
		c.report("platform.token_file", "must not be given together with platform.token")
	}
}

func (c *checker) permits(s *Permits) {
	c.duration("permits.lifetime", s.Lifetime, 100*time.Millisecond, maxInterval)
	c.duration("permits.drift", s.Drift, time.Millisecond, s.Lifetime)
	c.duration("permits.read_interval", s.ReadInterval, minInterval, s.Lifetime/2)
}

func (c *checker) failover(s *Failover) {
	c.duration("failover.probe_interval", s.ProbeInterval, minInterval, maxInterval)
	c.duration("failover.probe_timeout", s.ProbeTimeout, minInterval, maxInterval)
	c.duration("failover.detect_after", s.DetectAfter, s.ProbeInterval, maxInterval)
	c.duration("failover.observe_interval", s.ObserveInterval, minInterval, maxInterval)
	c.duration("failover.promote_timeout", s.PromoteTimeout, minInterval, maxInterval)
}

func (c *checker) traces(s *Traces) {
	c.oneOf("traces.exporter", string(s.Exporter), string(TracesNone), string(TracesOTLP), string(TracesStderr))
	if s.SampleRatio < 0 || s.SampleRatio > 1 {
		c.report("traces.sample_ratio", "must be from 0 to 1, not %g", s.SampleRatio)
	}
	if s.Exporter != TracesOTLP {
		return
	}
	endpoint, err := url.Parse(s.Endpoint)
	if err != nil || (endpoint.Scheme != "http" && endpoint.Scheme != "https") || endpoint.Host == "" {
		c.report("traces.endpoint", "must be an http or https URL where traces.exporter is %q, not %q", TracesOTLP, s.Endpoint)
	}
}

// address checks the address of a listener. Port 0 is allowed.
func (c *checker) address(key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.report(key, "must be IP:port, not %q", text)
	}
}

// reachable checks an address that other processes are to dial.
func (c *checker) reachable(key, text string) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.report(key, "must be IP:port with a port above 0 and an IP of one machine, not %q", text)
	}
}

// duration checks that value is in the range from least to most.
func (c *checker) duration(key string, value, least, most time.Duration) {
	if value < least || value > most {
		c.report(key, "must be from %s to %s, not %s", least, most, value)
	}
}

// count checks that value is in the range from least to most.
func (c *checker) count(key string, value, least, most int) {
	if value < least || value > most {
		c.report(key, "must be from %d to %d, not %d", least, most, value)
	}
}

// oneOf checks that value is one of the allowed ones.
func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(key, "must be one of %q, not %q", allowed, value)
	}
}

// allOrNone checks that either all of the files are given or none.
func (c *checker) allOrNone(files ...namedFile) {
	given := 0
	for _, file := range files {
		if file.path != "" {
			given++
		}
	}
	if given == 0 || given == len(files) {
		return
	}
	for _, file := range files {
		if file.path == "" {
			c.report(file.key, "must name a file, as the other files of this listener are given")
		}
	}
}

// name checks a name that must not be empty.
func (c *checker) name(key, text string) {
	if !ValidName(text) {
		c.report(key, "must have 1 to %d letters, digits, '-', '_' or '.', not %q", maxNameBytes, text)
	}
}

func (c *checker) optionalName(key, text string) {
	if text != "" {
		c.name(key, text)
	}
}

// ValidName reports whether text is a valid name of an instance, region or data
// centre.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	return !slices.ContainsFunc([]byte(text), func(b byte) bool { return !isNameByte(b) })
}

func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}
