package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/fake/services/lavrelay"
)

const flagRoute = "route"

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "relay TCP connections between loopback addresses, and cut, hold or silence them on request",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringSliceFlag{Name: flagRoute, Usage: "LISTEN=TARGET, both IP:port; may be repeated", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			relay, err := lavrelay.New(command.StringSlice(flagRoute))
			if err != nil {
				return err
			}
			background, stop := context.WithCancel(ctx)
			defer relay.Wait()
			defer stop()
			if err := relay.Start(background); err != nil {
				return err
			}
			return serve(ctx, command.String(flagAddress), relay.Routes())
		},
	}
}
