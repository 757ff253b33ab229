package slopes

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/upstreamd"
)

// Changes are the times of one configuration apply and one failover, each from
// its start until all instances had it in force.
type Changes struct {
	ApplySeconds    float64 `json:"apply_s"`
	FailoverSeconds float64 `json:"failover_s"`
}

// statusPoll is the pause between two questions to all instances.
const statusPoll = 20 * time.Millisecond

// change applies a configuration, and then kills a primary.
func change(ctx context.Context, c *cluster.Cluster) (*Changes, error) {
	apply, err := applied(ctx, c)
	if err != nil {
		return nil, errors.Wrap(err, "apply")
	}
	replaced, err := replacedPrimary(ctx, c)
	if err != nil {
		return nil, errors.Wrap(err, "failover")
	}
	return &Changes{ApplySeconds: apply.Seconds(), FailoverSeconds: replaced.Seconds()}, nil
}

// applied adds a route to the folder and applies it.
func applied(ctx context.Context, c *cluster.Cluster) (time.Duration, error) {
	before, err := c.Instances[0].Status(ctx)
	if err != nil {
		return 0, err
	}
	if err = addRoute(c); err != nil {
		return 0, err
	}
	started := time.Now()
	output, code, err := c.ApplyFolder(ctx, c.Folder)
	if err != nil {
		return 0, err
	}
	if code != 0 {
		return 0, errors.Errorf("gypsumctl apply exited with %d: %s", code, output)
	}
	err = allStatus(ctx, c, func(s cluster.Status) bool { return s.Revision > before.Revision })
	return time.Since(started), err
}

func addRoute(c *cluster.Cluster) error {
	path := filepath.Join(c.Folder, profile.RoutesFile)
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	route := "[[route]]\nname = \"added\"\ngroup = \"" + c.Layout.Groups[0].ID + "\"\ntag = \"added\"\ndeadline = \"1s\"\n"
	_, err = file.WriteString(route)
	return errors.Join(err, file.Close())
}

// replacedPrimary kills the primary of the first group and waits until every
// instance holds a permit for the next generation.
func replacedPrimary(ctx context.Context, c *cluster.Cluster) (time.Duration, error) {
	id := c.Layout.Groups[0].ID
	primary, err := c.Primary(ctx, id)
	if err != nil {
		return 0, err
	}
	fault := upstreamd.Fault{Group: id, Upstream: primary, Action: upstreamd.ActionKill}
	started := time.Now()
	if err = c.Upstreams.Apply(ctx, fault); err != nil {
		return 0, err
	}
	err = allStatus(ctx, c, func(s cluster.Status) bool { return writesTo(s, id, primary) })
	return time.Since(started), err
}

// writesTo reports whether the group is written to another primary than old.
func writesTo(s cluster.Status, id, old string) bool {
	for _, g := range s.Groups {
		if g.ID == id {
			return g.WritePermit && g.Primary != old
		}
	}
	return false
}

// allStatus waits until the status of every instance holds.
func allStatus(ctx context.Context, c *cluster.Cluster, holds func(cluster.Status) bool) error {
	for _, i := range c.Instances {
		for {
			status, err := i.Status(ctx)
			if err == nil && holds(status) {
				break
			}
			if err = pause(ctx, statusPoll); err != nil {
				return errors.Wrap(err, i.ID)
			}
		}
	}
	return nil
}
