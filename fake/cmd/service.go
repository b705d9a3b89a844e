package lavcmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavjournal"
	"lavenderswitch/fake/services/lavplain"
)

const flagLatency = "latency"

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service that counts the runs of each request",
		Flags: []cli.Flag{
			addressFlag(),
			journalFlag(),
			&cli.DurationFlag{Name: flagLatency, Usage: "duration of a call"},
			&cli.IntFlag{Name: flagCapacity, Usage: "calls that may run at the same time; zero sets no limit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := lavplain.Settings{Latency: command.Duration(flagLatency), Capacity: command.Int(flagCapacity)}
			journal, runs, err := lavjournal.Open(command.String(flagJournal))
			if err != nil {
				return err
			}
			settings.Journal = journal
			service := lavplain.New(settings, lavfault.New(), time.Now())
			service.Restore(runs)
			return serve(ctx, command.String(flagAddress), service.Routes())
		},
	}
}
