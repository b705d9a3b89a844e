package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/ctl/services/lavchange"
)

// buildState builds the patch that gives a row a state.
type buildStateChange func(document *lavconfig.Document, id string, state lavconfig.ServingState) ([]lavchange.Operation, error)

// servingCommand returns a command that takes rows of one kind out of service and back.
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
		Usage: "take a " + kind + " out of service and back",
		Commands: []*cli.Command{
			{Name: "out", Usage: "give a " + kind + " no new work", ArgsUsage: argumentName, Action: set(lavconfig.OutOfService), Flags: submitFlags()},
			{Name: "in", Usage: "let a " + kind + " take work again", ArgsUsage: argumentName, Action: set(lavconfig.InService), Flags: submitFlags()},
		},
	}
}
