package lavcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
)

const flagBase = "base"

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read and patch the numbered configuration",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the configuration in force", Action: getConfig},
			{
				Name:   "patch",
				Usage:  "submit the JSON patch on standard input against a configuration number",
				Flags:  []cli.Flag{&cli.Uint64Flag{Name: flagBase, Usage: "number that the patch was made against", Required: true}},
				Action: patchConfig,
			},
		},
	}
}

func getConfig(ctx context.Context, command *cli.Command) error {
	data, err := client(command).Config(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.Root().Writer, string(data))
	return nil
}

func patchConfig(ctx context.Context, command *cli.Command) error {
	operations, err := io.ReadAll(os.Stdin)
	if err != nil {
		return errors.Wrap(err, "read the patch from standard input")
	}
	data, err := client(command).Patch(ctx, lavid.ConfigNumber(command.Uint64(flagBase)), operations)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.Root().Writer, string(data))
	return nil
}
