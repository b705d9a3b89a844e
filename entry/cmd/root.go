package lavcmd

import (
	"context"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/entry/models/lavsetting"
)

const description = `Callers reach it at CallerAddress, operators at OperatorAddress, other hosts at
PeerAddress. Each setting of the file can be replaced by a flag or an environment
variable; a flag takes precedence over a variable. On SIGTERM the host reports
that it is not ready, answers the running requests and exits.

Examples:
   lavenderswitch-entry check-settings --settings entry.json
   lavenderswitch-entry run --settings entry.json --log-level debug
   LAVENDERSWITCH_HOST_ID=entry-7 lavenderswitch-entry run --settings entry.json

Exit codes: 0 ended cleanly, 1 failed while running, 2 settings are wrong.`

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
