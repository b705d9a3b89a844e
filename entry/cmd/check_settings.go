package lavcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
	"lavenderswitch/entry/models/lavsetting"
)

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "list every fault of a settings file and start nothing",
		Flags: lavflag.Flags(&lavsetting.Settings{}),
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := readSettings(command); err != nil {
				return err
			}
			fmt.Fprintln(command.Root().Writer, "settings are valid")
			return nil
		},
	}
}
