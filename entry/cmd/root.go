package lavcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/entry/models/lavsetting"
)

// The exit codes of the program.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitWrongSettings = 2
)

const flagSettings = "settings"

// Main runs the command line and returns its exit code.
func Main(ctx context.Context, args []string, version string) int {
	root := &cli.Command{
		Name:        "lavenderswitch-entry",
		Usage:       "routes requests to model and service backend servers",
		Version:     version,
		Description: "Exit codes: 0 ended cleanly, 1 failed while running, 2 settings are wrong.",
		Commands:    []*cli.Command{runCommand(), checkSettingsCommand()},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var faults lavsettings.Faults
	if errors.As(err, &faults) {
		return ExitWrongSettings
	}
	return ExitFailed
}

// settingsFlags returns the flag of the file and one for each setting that can be overridden.
func settingsFlags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{
		Name:     flagSettings,
		Usage:    "JSON settings file; see docs/SETTINGS.md",
		Sources:  cli.EnvVars(lavsettings.EnvironmentPrefix + "SETTINGS"),
		Required: true,
	}}
	for _, name := range lavsettings.Names(&lavsetting.Settings{}) {
		flags = append(flags, &cli.StringFlag{
			Name:    lavsettings.FlagName(name),
			Usage:   "replaces " + name + " of the file",
			Sources: cli.EnvVars(lavsettings.EnvironmentName(name)),
		})
	}
	return flags
}

func readSettings(command *cli.Command) (lavsetting.Settings, error) {
	overrides := lavsettings.Overrides{}
	for _, name := range lavsettings.Names(&lavsetting.Settings{}) {
		if flag := lavsettings.FlagName(name); command.IsSet(flag) {
			overrides[name] = command.String(flag)
		}
	}
	return lavsetting.Read(command.String(flagSettings), overrides)
}
