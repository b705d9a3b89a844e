package lavcmd

import (
	"context"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/side/models/lavsetting"
)

// ExitDrainIncomplete is the exit code of a process that ended while work was in progress.
const ExitDrainIncomplete = 3

const description = `Runs beside one backend server, which receives work only through this process.
It checks each attempt against the newest configuration, runs calls that are not
idempotent at most once, buffers answers for readers that reconnect, and orders
a model engine to load and unload versions.

Each setting of the file can be overridden by an environment variable or by a
flag. A flag takes precedence over a variable, and a variable over the file.

Exit codes: 0 clean exit, 1 runtime failure, 2 invalid settings, 3 exit with work
in progress after a second signal or the end of DrainTimeout.`

// Main runs the command line and returns the exit code of the process.
func Main(ctx context.Context, args []string, version string) int {
	program := lavcommand.Program[lavsetting.Settings]{
		Name:        "lavenderswitch-side",
		Usage:       "admits and dispatches the work of one backend server",
		Description: description,
		Version:     version,
		RunUsage:    "run the side process until SIGTERM or SIGINT",
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
