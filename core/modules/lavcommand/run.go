package lavcommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
)

func (p Program[Settings]) runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: p.RunUsage,
		Flags: lavflag.Flags(new(Settings)),
		Action: func(ctx context.Context, command *cli.Command) error {
			source := p.source(command)
			settings, err := source.Read()
			if err != nil {
				return err
			}
			return p.Run(ctx, settings, source)
		},
	}
}
