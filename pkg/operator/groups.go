package operator

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/admin"
)

// statusCommand is gypsumctl status.
type statusCommand struct{ app *app }

// Execute prints the status of the instances and their groups.
func (c *statusCommand) Execute([]string) error {
	addresses, err := c.app.instances()
	if err != nil {
		return err
	}
	result := statusResultOf(askAll(c.app.ctx, addresses))
	if err := c.app.print(result); err != nil {
		return err
	}
	return result.failure()
}

// groupShowCommand is gypsumctl group show.
type groupShowCommand struct {
	app  *app
	Args struct {
		Group model.GroupID `positional-arg-name:"GROUP"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a group as each instance sees it.
func (c *groupShowCommand) Execute([]string) error {
	addresses, err := c.app.instances()
	if err != nil {
		return err
	}
	result := groupResult{Group: c.Args.Group}
	status := statusResultOf(askAll(c.app.ctx, addresses))
	for _, instance := range status.Instances {
		if view, ok := groupOf(instance, c.Args.Group); ok {
			result.Views = append(result.Views, GroupView{Instance: instance.Instance, Group: view})
		}
	}
	if err := status.failure(); err != nil && len(result.Views) == 0 {
		return err
	}
	if len(result.Views) == 0 {
		return errors.Errorf("no instance that answered has a group %q", c.Args.Group)
	}
	return c.app.print(result)
}

// groupOf returns a group's part of an instance's status.
func groupOf(status admin.Status, id model.GroupID) (admin.GroupStatus, bool) {
	for _, group := range status.Groups {
		if group.ID == id {
			return group, true
		}
	}
	return admin.GroupStatus{}, false
}

// groupSwitchCommand is gypsumctl group switch.
type groupSwitchCommand struct {
	app  *app
	Args struct {
		Group  model.GroupID    `positional-arg-name:"GROUP"`
		Target model.UpstreamID `positional-arg-name:"UPSTREAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute requests a switch from the first instance and waits until that
// instance sees it completed.
func (c *groupSwitchCommand) Execute([]string) error {
	addresses, err := c.app.instances()
	if err != nil {
		return err
	}
	client := admin.NewClient(addresses[0])
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.options.Wait)
	defer cancel()
	if err := requestSwitch(ctx, client, c.Args.Group, c.Args.Target); err != nil {
		return err
	}
	var seen admin.GroupStatus
	err = poll(ctx, func() bool {
		status, err := client.Status(ctx)
		if err == nil {
			seen, _ = groupOf(status, c.Args.Group)
		}
		return err == nil && seen.Primary == c.Args.Target && !seen.Sealed
	})
	if err != nil {
		return &switchPendingError{group: c.Args.Group, target: c.Args.Target, seen: seen.Primary}
	}
	return c.app.print(switchResult{Group: c.Args.Group, Primary: seen.Primary, Generation: seen.Generation})
}

// requestSwitch requests a switch from an instance. Its error is a RefusedError
// if the instance refused, and an OutcomeUnknownError otherwise.
func requestSwitch(ctx context.Context, client *admin.Client, group model.GroupID, target model.UpstreamID) error {
	err := client.Switch(ctx, group, target)
	var refused *admin.RefusedError
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return &OutcomeUnknownError{Cause: err}
}

// switchPendingError reports that a switch was requested but did not complete in
// time.
type switchPendingError struct {
	group        model.GroupID
	target, seen model.UpstreamID
}

// Error names the primary that the instance last reported.
func (e *switchPendingError) Error() string {
	return fmt.Sprintf("the switch of group %s to %s was requested but is not complete; its primary is %s", e.group, e.target, e.seen)
}
