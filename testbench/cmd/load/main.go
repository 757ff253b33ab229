// Command load puts an open-loop load on a cluster of processes and reports
// what callers saw. Given two variants it runs them in turn and compares them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/load"
	"gypsumdock/testbench/profile"
)

type options struct {
	Profile string   `long:"profile" description:"deployment: tregwynt or lankapower" default:"tregwynt"`
	Set     string   `long:"set" description:"changes for all variants, such as rate=300,duration=20s,kill=5s"`
	Variant []string `long:"variant" description:"a variant as a list of changes, such as label=lagging,lag=100ms; may be given more than once"`
	Repeats int      `long:"repeats" description:"runs of each variant, in turn" default:"1"`
	Output  string   `long:"output" description:"form of the figures" choice:"text" choice:"json" default:"text"`
	Plots   string   `long:"plots" description:"directory for latency.svg and answers.svg"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts options) error {
	configs, err := configs(opts)
	if err != nil {
		return err
	}
	variants := make([][]*load.Report, len(configs))
	for repeat := range opts.Repeats {
		for i, config := range configs {
			config.Seed += uint64(repeat)
			report, err := load.Run(ctx, config)
			if err != nil {
				return errors.Wrapf(err, "%s, run %d", config.Label, repeat+1)
			}
			variants[i] = append(variants[i], report)
		}
	}
	if err = write(opts, variants); err != nil {
		return err
	}
	return violations(variants)
}

func configs(opts options) ([]load.Config, error) {
	deployment, known := profile.Named(opts.Profile)
	if !known {
		return nil, errors.Errorf("no profile %q", opts.Profile)
	}
	if len(opts.Variant) == 0 {
		opts.Variant = []string{""}
	}
	var all []load.Config
	for _, variant := range opts.Variant {
		config := load.Defaults(deployment)
		if err := errors.Join(config.Set(opts.Set), config.Set(variant)); err != nil {
			return nil, err
		}
		all = append(all, config)
	}
	return all, nil
}

func write(opts options, variants [][]*load.Report) error {
	if opts.Plots != "" {
		if err := load.WritePlots(opts.Plots, variants); err != nil {
			return err
		}
	}
	if opts.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(variants)
	}
	return load.WriteText(os.Stdout, variants)
}

// violations returns an error that names the first broken promises.
func violations(variants [][]*load.Report) error {
	for _, runs := range variants {
		for _, run := range runs {
			if len(run.Violations) > 0 {
				return errors.Errorf("%s: %d violations, the first: %+v", run.Label, len(run.Violations), run.Violations[0])
			}
		}
	}
	return nil
}
