package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/settings"
)

// callsPerTimeout is the number of calls to the platform that fit into the
// timeout. It leaves time to find out the outcome of a call whose answer was
// lost.
const callsPerTimeout = 5

// Env holds the standard streams of the process.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// globalOptions are the options of all subcommands. They may be given before or
// after the subcommand's name.
type globalOptions struct {
	Settings  flags.Filename `long:"settings" env:"GYPSUMCTL_SETTINGS" description:"Settings file of an instance, for the platform and region"`
	Platform  string         `long:"platform" env:"GYPSUMCTL_PLATFORM" value-name:"IP:PORT" description:"Address of the platform"`
	Region    string         `long:"region" env:"GYPSUMCTL_REGION" description:"Region to work on"`
	TokenFile flags.Filename `long:"token-file" env:"GYPSUMCTL_TOKEN_FILE" description:"File with the platform's bearer token"`
	Instances []string       `long:"instance" env:"GYPSUMCTL_INSTANCES" env-delim:"," value-name:"IP:PORT" description:"Admin address of an instance; may be repeated"`
	Timeout   time.Duration  `long:"timeout" default:"10s" description:"Time for all calls to the platform together"`
	Wait      time.Duration  `long:"wait" default:"10s" description:"Time for the change to be in force everywhere"`
	Output    string         `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	Who       string         `long:"who" env:"USER" description:"Name for the history"`
}

// app is one run of the command line.
type app struct {
	ctx     context.Context
	env     Env
	options globalOptions
	// newPublisher returns a publisher for the platform and region of the
	// options. Tests replace it.
	newPublisher func() (*Publisher, error)
}

// Run runs the command with args, which exclude the program's name, and returns
// the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	a := &app{ctx: ctx, env: env}
	a.newPublisher = a.dialPublisher
	return a.run(args)
}

// run parses args, executes the subcommand and returns the exit code.
func (a *app) run(args []string) int {
	_, err := a.parser().ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(a.env.Stdout, flagsError.Message)
			return ExitOK
		}
		err = &usageError{text: flagsError.Message}
	}
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

// parser returns the parser with all subcommands. go-flags provides shell
// completion when GO_FLAGS_COMPLETION is set.
func (a *app) parser() *flags.Parser {
	parser := flags.NewNamedParser("gypsumctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "gypsumctl checks, compares and applies the configuration of a region, and shows and switches its groups.\n\n" + exitHelp
	a.addOptions(parser)
	group := a.add(parser.Command, "group", "Show or switch a group", nil)
	a.add(parser.Command, "check", "Check a folder", &checkCommand{app: a})
	a.add(parser.Command, "diff", "Compare a folder with the active configuration", &diffCommand{app: a})
	a.add(parser.Command, "apply", "Apply a folder and wait until the instances have adopted it", &applyCommand{app: a})
	a.add(parser.Command, "history", "List revisions", &historyCommand{app: a})
	a.add(parser.Command, "rollback", "Apply an older revision again, as a new revision", &rollbackCommand{app: a})
	a.add(parser.Command, "status", "Show instances and groups", &statusCommand{app: a})
	a.add(parser.Command, "verifier", "Create a caller's SCRAM verifier from a password on standard input", &verifierCommand{app: a})
	a.add(group, "show", "Show a group as each instance sees it", &groupShowCommand{app: a})
	a.add(group, "switch", "Make another upstream the group's primary", &groupSwitchCommand{app: a})
	return parser
}

// addOptions declares the global options.
func (a *app) addOptions(parser *flags.Parser) {
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		panic(err)
	}
}

// add declares a subcommand. An error can only come from a mistake in the
// declarations, so it panics.
func (a *app) add(parent *flags.Command, name, short string, data any) *flags.Command {
	if data == nil {
		data = &struct{}{}
	}
	command, err := parent.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return command
}

// dialPublisher returns a publisher for the platform and region of the options.
func (a *app) dialPublisher() (*Publisher, error) {
	target, err := a.target()
	if err != nil {
		return nil, err
	}
	client := platform.NewClient(platform.Options{
		Address: target.address,
		Timeout: a.options.Timeout / callsPerTimeout,
		Token:   target.token,
	})
	return &Publisher{
		Table:   platform.NewCountedTable(client),
		Objects: client.Objects(),
		Region:  target.region,
		Who:     a.options.Who,
		Now:     time.Now,
		NewOpID: uuid.NewString,
	}, nil
}

// target is the platform and region to work on, with the platform's bearer
// token.
type target struct{ address, region, token string }

// target returns the platform and region from the settings file. Options take
// precedence over it.
func (a *app) target() (target, error) {
	var chosen target
	if a.options.Settings != "" {
		loaded, problems := settings.Load(string(a.options.Settings))
		if len(problems) > 0 {
			return target{}, &InvalidFilesError{Problems: problems}
		}
		chosen = target{loaded.Platform.Address, loaded.Instance.Region, loaded.Platform.Token.Reveal()}
	}
	if a.options.Platform != "" {
		chosen.address = a.options.Platform
	}
	if a.options.Region != "" {
		chosen.region = a.options.Region
	}
	if a.options.TokenFile != "" {
		token, err := readToken(string(a.options.TokenFile))
		if err != nil {
			return target{}, err
		}
		chosen.token = token
	}
	if chosen.address == "" || chosen.region == "" {
		return target{}, &usageError{text: "give --platform and --region, or --settings"}
	}
	return chosen, nil
}

// readToken returns the first line of a token file.
func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &usageError{text: err.Error()}
	}
	return firstLine(data), nil
}

// instances returns the admin addresses from the options, of which at least one
// is required.
func (a *app) instances() ([]string, error) {
	if len(a.options.Instances) == 0 {
		return nil, &usageError{text: "give at least one --instance"}
	}
	return a.options.Instances, nil
}
