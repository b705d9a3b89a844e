package lavcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"lavenderswitch/ctl/services/lavclient"
)

const (
	flagAddress = "address"
	flagKey     = "key"
)

// Main runs the command line and returns its exit code: 0 done, 1 failed.
func Main(ctx context.Context, args []string, version string) int {
	root := &cli.Command{
		Name:    "lavenderctl",
		Usage:   "reads and changes the configuration and shows the state of the fleet",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAddress, Usage: "URL of an entry host's operators' listener", Sources: cli.EnvVars("LAVENDERCTL_ADDRESS"), Required: true},
			&cli.StringFlag{Name: flagKey, Usage: "operator's key", Sources: cli.EnvVars("LAVENDERCTL_KEY"), Required: true},
		},
		Commands: []*cli.Command{configCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func client(command *cli.Command) lavclient.Client {
	return lavclient.Client{Address: command.String(flagAddress), Key: command.String(flagKey)}
}
