package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/fake/services/lavtableservice"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the table service and host list",
		Flags: []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String(flagAddress), lavtableservice.New().Routes())
		},
	}
}
