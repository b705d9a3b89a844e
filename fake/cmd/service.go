package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/fake/services/lavplain"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service that counts how often each request ran",
		Flags: []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String(flagAddress), lavplain.New().Routes())
		},
	}
}
