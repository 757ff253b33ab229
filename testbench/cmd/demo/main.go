// Command demo starts the stand-ins and four instances, applies a folder of
// configuration, runs a technician's records and a desk's reads through
// different instances, loses a primary, prints what went where and what was
// proved, and stops everything.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// demoTimeout bounds the whole run.
const demoTimeout = 55 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	s, err := begin(ctx)
	if err != nil {
		return err
	}
	err = s.play(ctx)
	fmt.Println("\nStopping everything.")
	return errors.Join(err, s.cluster.Stop())
}
