package lavcmd

import (
	"context"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/entry/models/lavsetting"
)

const description = `Callers reach it at CallerAddress, operators at OperatorAddress, other hosts at
PeerAddress. On SIGTERM the host reports that it is not ready, finishes the
running requests and exits.

Each setting of the file can be overridden by an environment variable or by a
flag. A flag takes precedence over a variable, and a variable over the file.

Examples:
   lavenderswitch-entry check-settings --settings entry.json
   lavenderswitch-entry run --settings entry.json --log-level debug
   LAVENDERSWITCH_HOST_ID=entry-7 lavenderswitch-entry run --settings entry.json

Exit codes: 0 clean exit, 1 runtime failure, 2 invalid settings.`

// Main runs the command line and returns its exit code.
func Main(ctx context.Context, args []string, version string) int {
	program := lavcommand.Program[lavsetting.Settings]{
		Name:        "lavenderswitch-entry",
		Usage:       "routes requests to model and service backend servers",
		Description: description,
		Version:     version,
		RunUsage:    "run the entry host until SIGTERM or SIGINT",
		Read:        lavsetting.Read,
		Run:         run,
	}
	return program.Main(ctx, args)
}
