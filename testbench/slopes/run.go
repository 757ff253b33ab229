package slopes

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/cluster"
)

// pointTimeout bounds the run of a point besides its settling and its window.
const pointTimeout = 90 * time.Second

// Run measures all points, one after the other. done is called with each.
func Run(ctx context.Context, config Config, done func(Measured)) ([]Measured, error) {
	var all []Measured
	for _, point := range config.Points {
		measured, err := measure(ctx, config, point)
		if err != nil {
			return all, errors.Wrapf(err, "%+v", point)
		}
		done(measured)
		all = append(all, measured)
	}
	return all, nil
}

func measure(ctx context.Context, config Config, p Point) (made Measured, err error) {
	ctx, cancel := context.WithTimeout(ctx, pointTimeout+config.Settle+config.Window)
	defer cancel()
	tuning := cluster.DefaultTuning()
	tuning.LogLevel = "warn"
	c, err := cluster.Start(ctx, cluster.Options{Profile: deployment(p), Instances: p.Instances, Tuning: tuning})
	if err != nil {
		return made, err
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	if err = c.Apply(ctx); err != nil {
		return made, err
	}
	stop := offer(ctx, c, p.Rate)
	defer stop()
	if err = pause(ctx, config.Settle); err != nil {
		return made, err
	}
	if made, err = window(ctx, c, p, config.Window); err != nil || !config.Changes {
		return made, err
	}
	made.Changes, err = change(ctx, c)
	return made, err
}

// window reads the counters before and after a pause.
func window(ctx context.Context, c *cluster.Cluster, p Point, length time.Duration) (Measured, error) {
	before, err := read(ctx, c)
	if err != nil {
		return Measured{}, err
	}
	if err = pause(ctx, length); err != nil {
		return Measured{}, err
	}
	after, err := read(ctx, c)
	if err != nil {
		return Measured{}, err
	}
	return between(p, before, after), nil
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
