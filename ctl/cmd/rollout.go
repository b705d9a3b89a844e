package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavchange"
	"lavenderswitch/ctl/services/lavclient"
)

const (
	flagReplaces    = "replaces"
	flagShare       = "share"
	flagInputPrice  = "input-price"
	flagOutputPrice = "output-price"
	flagQuality     = "quality"
	argumentVersion = "VERSION"
)

func rolloutCommand() *cli.Command {
	share := &cli.Float64Flag{Name: flagShare, Usage: "largest share of new sessions, from 0 to 1", Required: true}
	return &cli.Command{
		Name:  "rollout",
		Usage: "roll out and withdraw versions",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list versions and their largest shares", Action: rollouts},
			{
				Name: "start", Usage: "add a version beside the one it replaces", ArgsUsage: argumentVersion, Action: startRollout,
				Description: "Client accounts and backend servers that have the replaced version get the new one too.\n\nExample:\n   lavenderctl rollout start small-2 --replaces small-1 --share 0.01",
				Flags: append([]cli.Flag{
					&cli.StringFlag{Name: flagReplaces, Usage: "serving version that the new version replaces", Required: true},
					share,
					&cli.Int64Flag{Name: flagInputPrice, Usage: "input price in billionths of a unit per token; default: price of the replaced version"},
					&cli.Int64Flag{Name: flagOutputPrice, Usage: "output price in billionths of a unit per token; default: price of the replaced version"},
					&cli.Float64Flag{Name: flagQuality, Usage: "expected quality from 0 to 1; default: quality of the replaced version"},
				}, submitFlags()...),
			},
			{Name: "widen", Usage: "change the largest share of a version that is rolling out", ArgsUsage: argumentVersion, Action: widenRollout, Flags: append([]cli.Flag{share}, submitFlags()...)},
			{Name: "finish", Usage: "serve a version without a limit on its share", ArgsUsage: argumentVersion, Action: setVersion(lavconfig.VersionServing), Flags: submitFlags()},
			{Name: "withdraw", Usage: "stop sending new work to a version", ArgsUsage: argumentVersion, Action: setVersion(lavconfig.VersionWithdrawn), Flags: submitFlags()},
		},
	}
}

func rollouts(ctx context.Context, command *cli.Command) error {
	return getAndPrint(ctx, command, "/rollouts", nil, func(reply lavclient.Rollouts) [][]string {
		rows := [][]string{{"VERSION", "MODEL", "STATE", "LARGEST SHARE", "REPLACES"}}
		for _, version := range reply.Versions {
			rows = append(rows, []string{string(version.Version), string(version.Model), string(version.State), toText(version.MaxShare), string(version.Replaces)})
		}
		return rows
	})
}

func startRollout(ctx context.Context, command *cli.Command) error {
	id, err := singleArgument(command, argumentVersion)
	if err != nil {
		return err
	}
	rollout := lavchange.Rollout{
		Version:     lavid.VersionID(id),
		Replaces:    lavid.VersionID(command.String(flagReplaces)),
		Share:       lavid.Share(command.Float64(flagShare)),
		InputPrice:  lavid.NanoUnits(command.Int64(flagInputPrice)),
		OutputPrice: lavid.NanoUnits(command.Int64(flagOutputPrice)),
		Quality:     lavid.Quality(command.Float64(flagQuality)),
	}
	return submitChange(ctx, command, func(document *lavconfig.Document) ([]lavchange.Operation, error) {
		return lavchange.StartRollout(document, rollout)
	})
}

func widenRollout(ctx context.Context, command *cli.Command) error {
	id, err := singleArgument(command, argumentVersion)
	if err != nil {
		return err
	}
	return submitChange(ctx, command, func(document *lavconfig.Document) ([]lavchange.Operation, error) {
		return lavchange.WidenRollout(document, lavid.VersionID(id), lavid.Share(command.Float64(flagShare)))
	})
}

func setVersion(state lavconfig.VersionState) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		id, err := singleArgument(command, argumentVersion)
		if err != nil {
			return err
		}
		return submitChange(ctx, command, func(document *lavconfig.Document) ([]lavchange.Operation, error) {
			return lavchange.SetVersion(document, lavid.VersionID(id), state)
		})
	}
}
