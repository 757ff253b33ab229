// Package command implements the command line of gypsumdock.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"gypsumdock/pkg/instance"
	"gypsumdock/pkg/settings"
	"gypsumdock/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// options are the command-line flags.
type options struct {
	Settings       string `long:"settings" short:"s" value-name:"FILE" description:"settings of the instance, in TOML"`
	Hosted         bool   `long:"hosted" description:"run on the users' platform, by the settings file that it provides"`
	Check          bool   `long:"check" description:"check the settings and exit: 0 if they are good, 2 if not"`
	PrintEffective bool   `long:"print-effective" description:"print the settings in force, without secrets, and exit"`
}

// Run runs the command with args, which exclude the program's name, and returns
// the exit code: 0 after a stop that interrupted no work, 1 after a failure, 2
// for invalid arguments or settings.
func Run(args []string, stdout, stderr io.Writer) int {
	var chosen options
	parser := flags.NewParser(&chosen, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "gypsumdock"
	parser.LongDescription = "Serves callers over the PostgreSQL protocol and forwards their statements to groups of databases. " +
		"SIGTERM and SIGINT stop it gracefully."
	if _, err := parser.ParseArgs(args); err != nil {
		return reportArguments(err, stdout, stderr)
	}
	if chosen.Hosted {
		return serveHosted(stdout, stderr)
	}
	if chosen.Settings == "" {
		return reportArguments(errNoSettings, stdout, stderr)
	}
	loaded, problems := settings.Load(chosen.Settings)
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(stderr, problem)
		}
		return exitSettings
	}
	switch {
	case chosen.Check:
		return exitOK
	case chosen.PrintEffective:
		return printEffective(loaded, stdout, stderr)
	default:
		return serve(loaded, stderr)
	}
}

// reportArguments prints the help text, or the error of the command line, and
// returns the exit code.
func reportArguments(err error, stdout, stderr io.Writer) int {
	var fault *flags.Error
	if errors.As(err, &fault) && fault.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	return exitSettings
}

// serve runs an instance with the settings until a signal stops it.
func serve(loaded *settings.Settings, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := instance.NewLogger(loaded.Log, stderr)
	running, err := instance.New(ctx, loaded, logger)
	if err != nil {
		logger.Error("start failed", "error", err)
		return exitFailed
	}
	if err := running.Run(ctx); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}

// errNoSettings is the error of a command line without --settings and --hosted.
var errNoSettings = errors.New("one of --settings and --hosted is required")

// serveHosted runs an instance on the users' platform until a signal stops it.
// It logs to standard output.
func serveHosted(stdout, stderr io.Writer) int {
	path := os.Getenv(platform.SettingsEnvVar)
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", path, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	logger := instance.NewLogger(settings.Log{}, stdout)
	running, err := instance.NewHosted(loaded, logger)
	if err != nil {
		logger.Error("start failed", "error", err)
		return exitFailed
	}
	if err := running.Run(ctx, reload); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}

// printEffective prints the settings with their defaults, secrets masked.
func printEffective(loaded *settings.Settings, stdout, stderr io.Writer) int {
	if err := loaded.WriteEffective(stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
