package cluster

import (
	"context"
	"fmt"
	"os/exec"
	"strings"

	"github.com/go-faster/errors"
)

// Ctl runs gypsumctl and returns its output and exit code.
func (c *Cluster) Ctl(ctx context.Context, args ...string) (string, int, error) {
	command := exec.CommandContext(ctx, c.binaries.Gypsumctl, args...)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(output), exit.ExitCode(), nil
	}
	return string(output), 0, err
}

// Apply applies the operators' folder and waits until all instances are ready.
func (c *Cluster) Apply(ctx context.Context) error {
	output, code, err := c.ApplyFolder(ctx, c.Folder)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("gypsumctl apply exited with %d: %s%s", code, output, c.endedLogs())
	}
	return c.WaitReady(ctx)
}

// endedLogs returns the last lines of the instances that have ended.
func (c *Cluster) endedLogs() string {
	var logs strings.Builder
	for _, i := range c.Instances {
		if i.Exited() {
			fmt.Fprintf(&logs, "%s ended; log: %s", i.ID, tail(i.LogPath))
		}
	}
	return logs.String()
}

// ApplyFolder applies a folder with further options and returns the output and
// exit code of gypsumctl.
func (c *Cluster) ApplyFolder(ctx context.Context, folder string, options ...string) (string, int, error) {
	return c.Ctl(ctx, append(append(c.applyArgs(), options...), folder)...)
}

func (c *Cluster) applyArgs() []string {
	args := []string{"apply", "--platform", c.platformAddress, "--region", c.options.Profile.Region}
	for _, i := range c.Instances {
		if !i.Exited() {
			args = append(args, "--instance", i.Admin)
		}
	}
	return args
}
