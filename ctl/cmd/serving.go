package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/ctl/services/lavchange"
)

// buildStateChange returns the patch that sets the serving state of the object with an id.
type buildStateChange func(document *lavconfig.Document, id string, state lavconfig.ServingState) ([]lavchange.Operation, error)

// servingCommand returns a command that takes objects of one kind out of service and back into service.
func servingCommand(name, kind, argumentName string, build buildStateChange) *cli.Command {
	set := func(state lavconfig.ServingState) cli.ActionFunc {
		return func(ctx context.Context, command *cli.Command) error {
			id, err := singleArgument(command, argumentName)
			if err != nil {
				return err
			}
			return submitChange(ctx, command, func(document *lavconfig.Document) ([]lavchange.Operation, error) {
				return build(document, id, state)
			})
		}
	}
	return &cli.Command{
		Name:  name,
		Usage: "take a " + kind + " out of service or back into service",
		Commands: []*cli.Command{
			{Name: "out", Usage: "stop sending new work to a " + kind, ArgsUsage: argumentName, Action: set(lavconfig.OutOfService), Flags: submitFlags()},
			{Name: "in", Usage: "send work to a " + kind + " again", ArgsUsage: argumentName, Action: set(lavconfig.InService), Flags: submitFlags()},
		},
	}
}
