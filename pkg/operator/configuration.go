package operator

import (
	"context"

	"github.com/jessevdk/go-flags"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// folderArgument is the DIR argument of a subcommand.
type folderArgument struct {
	Dir flags.Filename `positional-arg-name:"DIR" description:"Folder of *.toml files"`
}

// checkCommand is gypsumctl check.
type checkCommand struct {
	app  *app
	Args folderArgument `positional-args:"yes" required:"yes"`
}

// Execute checks a folder and prints a summary of it.
func (c *checkCommand) Execute([]string) error {
	b, err := ReadFolder(string(c.Args.Dir))
	if err != nil {
		return err
	}
	_, digest, err := bundle.Encode(b)
	if err != nil {
		return err
	}
	result := checkResult{
		Digest:  digest,
		Groups:  len(b.Groups),
		Routes:  len(b.Routes),
		Callers: len(b.Callers),
	}
	result.addCallers(b.Callers)
	return c.app.print(result)
}

// diffCommand is gypsumctl diff.
type diffCommand struct {
	app  *app
	Args folderArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the differences between the active configuration and a folder.
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
	current, err := publisher.Active(ctx)
	if err != nil {
		return err
	}
	return c.app.print(diffResult{Revision: current.Revision(), Changes: bundle.Diff(current.Bundle, b)})
}

// applyCommand is gypsumctl apply.
type applyCommand struct {
	app   *app
	Base  *model.Revision `long:"base" value-name:"REVISION" description:"Apply only if this revision is in force; goes before the folder's .gypsumctl-base"`
	Track bool            `long:"track" description:"Keep the revision in DIR/.gypsumctl-base from now on; later calls apply only on it"`
	Note  string          `long:"note" description:"Text for the history"`
	Args  folderArgument  `positional-args:"yes" required:"yes"`
}

// Execute makes a folder the active configuration.
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
	applied, err := c.apply(ctx, publisher, b)
	if err != nil {
		return err
	}
	return c.app.finish(applied)
}

// apply applies b. If the revision that the operator started from is known, from
// --base or the folder's base file, and is no longer active, it returns a
// ConflictError.
func (c *applyCommand) apply(ctx context.Context, publisher *Publisher, b *bundle.Bundle) (Applied, error) {
	dir := string(c.Args.Dir)
	tracked, err := readBase(dir, publisher.Region)
	if err != nil {
		return Applied{}, err
	}
	base := c.Base
	if base == nil {
		base = tracked
	}
	current, err := publisher.Active(ctx)
	if err != nil {
		return Applied{}, err
	}
	if base != nil && *base != current.Revision() && !current.has(b) {
		started := ActiveConfiguration{Head: &model.Head{Revision: *base}}
		return Applied{}, publisher.conflict(ctx, started, current)
	}
	applied, err := publisher.Apply(ctx, current, b, c.Note)
	if err != nil || (tracked == nil && !c.Track) {
		return applied, err
	}
	applied.BaseProblem = problemOf(writeBase(dir, publisher.Region, applied.Revision))
	return applied, nil
}

// problemOf returns the text of err, or "".
func problemOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// rollbackCommand is gypsumctl rollback.
type rollbackCommand struct {
	app  *app
	Args struct {
		Revision model.Revision `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute applies an older revision again, as a new revision.
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

// historyCommand is gypsumctl history.
type historyCommand struct{ app *app }

// Execute prints the revisions in the history.
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

// finish waits until the instances given by --instance and their peers have
// adopted the revision, and prints the result. Without --instance it does not
// wait.
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

// platformContext returns a context that bounds all calls to the platform of one
// command by --timeout.
func (a *app) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.options.Timeout)
}
