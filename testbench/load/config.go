// Package load puts an open-loop load on a cluster: requests arrive at a set
// rate whether or not earlier ones have been answered, from sessions that roam
// between instances, and latency counts from the arrival.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
)

// Config is the load and its surroundings.
type Config struct {
	Label   string
	Profile profile.Profile
	// Instances is the number of instances.
	Instances int
	Tuning    cluster.Tuning
	Policy    caller.Policy
	Seed      uint64

	// Rate is the number of requests a second.
	Rate     float64
	Warmup   time.Duration
	Duration time.Duration
	// Good is the latency up to which an answer counts as goodput.
	Good time.Duration
	// Sessions is the number of sessions of each caller.
	Sessions int
	Mix      Mix
	// Roam sends each request through an instance picked anew; otherwise a
	// session keeps its instance.
	Roam bool
	// Tags sends the tags of the routes; without them no read states an age.
	Tags bool
	// Replicas gives each group its replicas; without them all work goes to
	// the primary.
	Replicas bool
	// Lag is the replication lag of all replicas.
	Lag time.Duration
	// StickOne stops the replay of one replica in each group.
	StickOne bool
	// KillAfter kills the primary of the first group that long after the
	// warm-up; 0 kills none.
	KillAfter time.Duration
	// CrashAfter kills the first instance that long after the warm-up; 0 kills
	// none.
	CrashAfter time.Duration
	// Network adds the deployment's network latency between processes.
	Network bool
}

// Mix holds the weights of the kinds of request.
type Mix struct{ Write, Once, Fresh, Aged int }

func (m Mix) total() int { return m.Write + m.Once + m.Fresh + m.Aged }

// Defaults returns a load for a deployment.
func Defaults(p profile.Profile) Config {
	return Config{
		Label:     "default",
		Profile:   p,
		Instances: 4,
		Tuning:    cluster.DefaultTuning(),
		Policy:    caller.DefaultPolicy(),
		Seed:      1,
		Rate:      200,
		Warmup:    8 * time.Second,
		Duration:  10 * time.Second,
		Good:      time.Second,
		Sessions:  16,
		Mix:       Mix{Write: 15, Once: 5, Fresh: 30, Aged: 50},
		Roam:      true,
		Tags:      true,
		Replicas:  true,
	}
}

// Set changes the configuration by a list such as "lag=100ms,roam=false".
// A key with a dot is a setting of the instances.
func (c *Config) Set(list string) error {
	for _, assignment := range strings.Split(list, ",") {
		if assignment == "" {
			continue
		}
		key, value, found := strings.Cut(assignment, "=")
		if !found {
			return errors.Errorf("%q is not key=value", assignment)
		}
		if err := c.assign(key, value); err != nil {
			return errors.Wrapf(err, "%s", assignment)
		}
	}
	return nil
}

func (c *Config) assign(key, value string) error {
	if strings.Contains(key, ".") {
		c.Tuning.Extra = append(append([]string(nil), c.Tuning.Extra...), key+"="+value)
		return nil
	}
	var err error
	switch key {
	case "label":
		c.Label = value
	case "rate":
		c.Rate, err = strconv.ParseFloat(value, 64)
	case "sessions":
		c.Sessions, err = strconv.Atoi(value)
	case "instances":
		c.Instances, err = strconv.Atoi(value)
	case "duration":
		c.Duration, err = time.ParseDuration(value)
	case "warmup":
		c.Warmup, err = time.ParseDuration(value)
	case "good":
		c.Good, err = time.ParseDuration(value)
	case "lag":
		c.Lag, err = time.ParseDuration(value)
	case "kill":
		c.KillAfter, err = time.ParseDuration(value)
	case "crash":
		c.CrashAfter, err = time.ParseDuration(value)
	case "statement":
		c.Profile.Statement, err = time.ParseDuration(value)
	case "deadline":
		c.Policy.Deadline, err = time.ParseDuration(value)
	case "roam":
		c.Roam, err = strconv.ParseBool(value)
	case "tags":
		c.Tags, err = strconv.ParseBool(value)
	case "replicas":
		c.Replicas, err = strconv.ParseBool(value)
	case "stick":
		c.StickOne, err = strconv.ParseBool(value)
	case "network":
		c.Network, err = strconv.ParseBool(value)
	case "seed":
		c.Seed, err = strconv.ParseUint(value, 10, 64)
	default:
		err = errors.New("unknown key")
	}
	return err
}
