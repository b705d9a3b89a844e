package lavcmd

import (
	"context"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/side/models/lavsetting"
)

// ExitDrainIncomplete is the exit code after an end that cut work.
const ExitDrainIncomplete = 3

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
	program := lavcommand.Program[lavsetting.Settings]{
		Name:        "lavenderswitch-side",
		Usage:       "admits and dispatches the work of one backend server",
		Description: description,
		Version:     version,
		RunUsage:    "run the side process until it is told to end",
		Read:        lavsetting.Read,
		Run:         run,
		ExitCode:    exitCode,
	}
	return program.Main(ctx, args)
}

func exitCode(err error) int {
	if errors.Is(err, errDrainIncomplete) {
		return ExitDrainIncomplete
	}
	return lavcommand.ExitFailed
}
