// Command replay runs recorded traces against real processes and checks the
// outcomes that they state. It exits with 1 when one is not reached.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/cluster"
	"gypsumdock/testbench/profile"
	"gypsumdock/testbench/replay"
	"gypsumdock/testbench/trace"
	"gypsumdock/testbench/traces"
)

// readyTimeout bounds the start of a cluster.
const readyTimeout = 60 * time.Second

type options struct {
	Args struct {
		Traces []string `positional-arg-name:"trace" description:"name of a recorded trace, or a file; all when none is given"`
	} `positional-args:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	names := opts.Args.Traces
	if len(names) == 0 {
		names = traces.Names()
	}
	failed := false
	for _, name := range names {
		if err := run(ctx, name); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}

func run(ctx context.Context, name string) error {
	recorded, err := open(name)
	if err != nil {
		return err
	}
	deployment, known := profile.Named(recorded.Header.Profile)
	if !known {
		return errors.Errorf("no profile %q", recorded.Header.Profile)
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Profile: deployment, Instances: recorded.Header.Instances, Tuning: cluster.DefaultTuning(),
	})
	if err != nil {
		return err
	}
	result, err := play(ctx, c, recorded)
	if err = errors.Join(err, c.Stop()); err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err = encoder.Encode(result); err != nil {
		return err
	}
	if len(result.Failures) > 0 {
		return errors.Errorf("outcomes not reached: %q", result.Failures)
	}
	return nil
}

func play(ctx context.Context, c *cluster.Cluster, recorded *trace.Trace) (*replay.Result, error) {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.Apply(ready); err != nil {
		return nil, err
	}
	return replay.Run(ctx, c, recorded)
}

func open(name string) (*trace.Trace, error) {
	if recorded, err := traces.Open(name); err == nil {
		return recorded, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Parse(file)
}
