package lavcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"lavenderswitch/side/models/lavsetting"
)

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "list every fault of a settings file and start nothing",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := lavsetting.Read(command.String(flagSettings)); err != nil {
				return err
			}
			fmt.Fprintln(command.Root().Writer, "settings are valid")
			return nil
		},
	}
}
