package operator

import (
	"context"

	"github.com/jessevdk/go-flags"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// folderArgument is the DIR of a subcommand.
type folderArgument struct {
	Dir flags.Filename `positional-arg-name:"DIR" description:"Folder of *.toml files"`
}

type checkCommand struct {
	app  *app
	Args folderArgument `positional-args:"yes" required:"yes"`
}

// Execute checks a folder.
func (c *checkCommand) Execute([]string) error {
	b, err := ReadFolder(string(c.Args.Dir))
	if err != nil {
		return err
	}
	_, digest, err := bundle.Encode(b)
	if err != nil {
		return err
	}
	return c.app.print(checkResult{
		Digest:  digest,
		Groups:  len(b.Groups),
		Routes:  len(b.Routes),
		Callers: len(b.Callers),
	})
}

type diffCommand struct {
	app  *app
	Args folderArgument `positional-args:"yes" required:"yes"`
}

// Execute compares a folder with what is in force.
func (c *diffCommand) Execute([]string) error {
	b, err := ReadFolder(string(c.Args.Dir))
	if err != nil {
		return err
	}
	publisher, err := c.app.newPublisher()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.platformContext()
	defer cancel()
	current, err := publisher.Current(ctx)
	if err != nil {
		return err
	}
	return c.app.print(diffResult{Revision: current.Revision(), Changes: bundle.Diff(current.Bundle, b)})
}

type applyCommand struct {
	app  *app
	Base *model.Revision `long:"base" value-name:"REVISION" description:"Apply only if this revision is in force"`
	Note string          `long:"note" description:"Text for the history"`
	Args folderArgument  `positional-args:"yes" required:"yes"`
}

// Execute puts a folder in force.
func (c *applyCommand) Execute([]string) error {
	b, err := ReadFolder(string(c.Args.Dir))
	if err != nil {
		return err
	}
	publisher, err := c.app.newPublisher()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.platformContext()
	defer cancel()
	current, err := publisher.Current(ctx)
	if err != nil {
		return err
	}
	if c.Base != nil && *c.Base != current.Revision() {
		base := Current{Head: &model.Head{Revision: *c.Base}}
		return publisher.conflict(ctx, base, current)
	}
	applied, err := publisher.Apply(ctx, current, b, c.Note)
	if err != nil {
		return err
	}
	return c.app.finish(applied)
}

type rollbackCommand struct {
	app  *app
	Args struct {
		Revision model.Revision `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute puts an older revision in force.
func (c *rollbackCommand) Execute([]string) error {
	publisher, err := c.app.newPublisher()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.platformContext()
	defer cancel()
	applied, err := publisher.Rollback(ctx, c.Args.Revision)
	if err != nil {
		return err
	}
	return c.app.finish(applied)
}

type historyCommand struct{ app *app }

// Execute lists revisions.
func (c *historyCommand) Execute([]string) error {
	publisher, err := c.app.newPublisher()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.platformContext()
	defer cancel()
	entries, err := publisher.History(ctx)
	if err != nil {
		return err
	}
	return c.app.print(historyResult{Revisions: entries})
}

// finish waits for the instances that are given and prints what was done.
func (a *app) finish(applied Applied) error {
	result := applyResult{Applied: applied}
	if len(a.options.Instances) == 0 {
		return a.print(result)
	}
	rollout, waitErr := awaitRollout(a.ctx, a.options.Wait, a.options.Instances, applied.Revision)
	result.Rollout = &rollout
	if err := a.print(result); err != nil {
		return err
	}
	return waitErr
}

// platformContext bounds all calls to the platform of one command.
func (a *app) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.options.Timeout)
}
