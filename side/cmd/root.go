package lavcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/side/models/lavsetting"
)

// The exit codes of the program.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitWrongSettings = 2
	ExitCut           = 3
)

const description = `Runs beside one backend server, which takes work through it alone. It admits
each attempt under the newest configuration, runs calls that may not be
repeated at most once, keeps answers for readers that lost their connection,
and orders a model engine to hold the versions that it should.

Every setting of the file can be replaced by a flag or by an environment
variable, in this order of precedence: flag, variable, file.

Exit codes: 0 ended cleanly, 1 failed while running, 2 settings are wrong,
3 ended before all work was done, by a second signal or after DrainTimeout.`

// Main runs the command line and returns its exit code.
func Main(ctx context.Context, args []string, version string) int {
	root := &cli.Command{
		Name:        "lavenderswitch-side",
		Usage:       "admits and dispatches the work of one backend server",
		Version:     version,
		Description: description,
		Commands:    []*cli.Command{runCommand(), checkSettingsCommand()},
	}
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var faults lavsettings.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitWrongSettings
	case errors.Is(err, errCut):
		return ExitCut
	default:
		return ExitFailed
	}
}

func settingFlags() []cli.Flag {
	return lavflag.Flags(&lavsetting.Settings{})
}

func readSettings(command *cli.Command) (lavsetting.Settings, error) {
	overrides := lavflag.Overrides(command, &lavsetting.Settings{})
	return lavsetting.Read(command.String(lavflag.NameSettings), overrides)
}
