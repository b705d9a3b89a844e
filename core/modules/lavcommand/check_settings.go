package lavcommand

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
)

func (p Program[Settings]) checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file and list all its faults",
		Flags: lavflag.Flags(new(Settings)),
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := p.source(command).Read(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.Root().Writer, "settings are valid")
			return errors.Wrap(err, "print result")
		},
	}
}
