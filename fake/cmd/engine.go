package lavcmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/services/lavengine"
)

const (
	flagVersion      = "version"
	flagFirstToken   = "first-token"
	flagBetweenToken = "between-tokens"
	flagTokens       = "tokens"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringSliceFlag{Name: flagVersion, Usage: "version loaded at start; may be repeated"},
			&cli.DurationFlag{Name: flagFirstToken, Usage: "time to the first token", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: flagBetweenToken, Usage: "time between tokens", Value: 5 * time.Millisecond},
			&cli.IntFlag{Name: flagTokens, Usage: "tokens of an answer", Value: 20},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			engine := lavengine.New(lavengine.Speed{
				FirstToken:    command.Duration(flagFirstToken),
				BetweenTokens: command.Duration(flagBetweenToken),
				Tokens:        command.Int(flagTokens),
			})
			for _, version := range command.StringSlice(flagVersion) {
				engine.Load(lavid.VersionID(version))
			}
			return serve(ctx, command.String(flagAddress), engine.Routes())
		},
	}
}
