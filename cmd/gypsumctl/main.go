// Command gypsumctl is the operators' command line: it checks and applies
// configuration, and shows and switches groups.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumdock/pkg/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, operator.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}
