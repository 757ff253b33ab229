package cluster

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Tuning holds the settings of all instances that tests change.
type Tuning struct {
	PermitLifetime time.Duration
	PermitDrift    time.Duration
	ReadInterval   time.Duration
	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	DetectAfter    time.Duration
	DrainTimeout   time.Duration
	LogLevel       string
	// Extra sets further settings, each as "section.key=value".
	Extra []string
}

// DefaultTuning has the default settings of an instance.
func DefaultTuning() Tuning {
	return Tuning{
		PermitLifetime: 3 * time.Second,
		PermitDrift:    200 * time.Millisecond,
		ReadInterval:   500 * time.Millisecond,
		ProbeInterval:  250 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		DetectAfter:    time.Second,
		DrainTimeout:   15 * time.Second,
		LogLevel:       "info",
	}
}

// section is a table of a settings file.
type section map[string]any

// settingsOf returns the settings file of an instance.
func (c *Cluster) settingsOf(i *Instance, extra []string) ([]byte, error) {
	t := c.options.Tuning
	sections := map[string]section{
		"instance": {"id": i.ID, "region": c.options.Profile.Region, "data_centre": i.DataCentre},
		"callers":  {"listen": i.Callers},
		"mesh":     {"listen": i.Mesh, "advertise": i.ToMesh.Address(), "peers": c.peers()},
		"platform": {"address": i.ToPlatform.Address(), "timeout": "1s"},
		"admin":    {"listen": i.Admin},
		"permits": {
			"lifetime": t.PermitLifetime.String(), "drift": t.PermitDrift.String(),
			"read_interval": t.ReadInterval.String(),
		},
		"failover": {
			"probe_interval": t.ProbeInterval.String(), "probe_timeout": t.ProbeTimeout.String(),
			"detect_after": t.DetectAfter.String(),
		},
		"stop": {"drain_timeout": t.DrainTimeout.String()},
		"log":  {"level": t.LogLevel},
	}
	for _, assignment := range slices.Concat(t.Extra, extra) {
		if err := set(sections, assignment); err != nil {
			return nil, err
		}
	}
	return toml.Marshal(sections)
}

// peers returns the mesh addresses of the instances that run.
func (c *Cluster) peers() []string {
	addresses := []string{}
	for _, i := range c.Instances {
		if !i.Exited() {
			addresses = append(addresses, i.ToMesh.Address())
		}
	}
	return addresses
}

// set applies "section.key=value"; a value that is a number stays one.
func set(sections map[string]section, extra string) error {
	path, value, hasValue := strings.Cut(extra, "=")
	name, key, hasKey := strings.Cut(path, ".")
	if !hasValue || !hasKey {
		return errors.Errorf("setting %q is not section.key=value", extra)
	}
	if sections[name] == nil {
		sections[name] = section{}
	}
	if number, err := strconv.ParseInt(value, 10, 64); err == nil {
		sections[name][key] = number
		return nil
	}
	if flag, err := strconv.ParseBool(value); err == nil {
		sections[name][key] = flag
		return nil
	}
	sections[name][key] = value
	return nil
}
