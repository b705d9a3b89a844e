package lavcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavsettings"
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

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     flagSettings,
		Usage:    "JSON settings file; see docs/SETTINGS.md",
		Sources:  cli.EnvVars("LAVENDERSWITCH_SETTINGS"),
		Required: true,
	}
}
