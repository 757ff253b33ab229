// Command slopes runs clusters of several sizes and prints what one more
// instance and one more group cost.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/slopes"
)

type options struct {
	Instances   []int         `long:"instances" description:"numbers of instances" default:"2" default:"4" default:"8" default:"16"`
	Groups      []int         `long:"groups" description:"numbers of groups" default:"3" default:"6" default:"12"`
	DataCentres int           `long:"data-centres" description:"data centres that the instances are spread over" default:"6"`
	Rate        int           `long:"rate" description:"requests a second to each instance"`
	Settle      time.Duration `long:"settle" description:"time before the window" default:"5s"`
	Window      time.Duration `long:"window" description:"time that the counters are read over" default:"8s"`
	Changes     bool          `long:"changes" description:"apply a configuration and kill a primary after the window"`
	Output      string        `long:"output" description:"form of the figures" choice:"text" choice:"json" default:"text"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts options) error {
	config := slopes.Config{Points: points(opts), Settle: opts.Settle, Window: opts.Window, Changes: opts.Changes}
	measured, err := slopes.Run(ctx, config, func(m slopes.Measured) { fmt.Fprint(os.Stderr, slopes.Line(m)) })
	if err != nil {
		return err
	}
	report := slopes.NewReport(measured)
	if opts.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.Text(os.Stdout)
}

func points(opts options) []slopes.Point {
	var made []slopes.Point
	for _, instances := range opts.Instances {
		for _, groups := range opts.Groups {
			made = append(made, slopes.Point{
				Instances: instances, Groups: groups, DataCentres: opts.DataCentres, Rate: opts.Rate,
			})
		}
	}
	return made
}
