package lavcmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/fake/services/lavload"
)

const (
	flagTarget      = "target"
	flagKey         = "key"
	flagCallers     = "callers"
	flagRequests    = "requests"
	flagDuration    = "duration"
	flagStreamPart  = "stream-part"
	flagServicePart = "service-part"
	flagService     = "service"
	flagPause       = "pause"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a limited load and check every answer; exits with code 1 when an answer is broken",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagTarget, Usage: "base URL of an entry host on the loopback interface; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: flagKey, Usage: "API key of a client account; may be repeated", Required: true},
			&cli.IntFlag{Name: flagCallers, Usage: "number of concurrent callers", Value: 4},
			&cli.IntFlag{Name: flagRequests, Usage: "total number of requests of all callers", Value: 100},
			&cli.DurationFlag{Name: flagDuration, Usage: "time limit of the whole load", Value: time.Minute},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the random mix of requests", Value: 1},
			&cli.Float64Flag{Name: flagStreamPart, Usage: "share of streamed chats", Value: 0.5},
			&cli.Float64Flag{Name: flagServicePart, Usage: "share of service calls"},
			&cli.StringFlag{Name: flagService, Usage: "service and call, such as claims/submit", Value: "claims/submit"},
			&cli.DurationFlag{Name: flagPause, Usage: "time between two requests of a caller"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	report, err := lavload.Run(ctx, lavload.Settings{
		Targets:     command.StringSlice(flagTarget),
		Keys:        command.StringSlice(flagKey),
		Callers:     command.Int(flagCallers),
		Requests:    command.Int(flagRequests),
		Duration:    command.Duration(flagDuration),
		Seed:        command.Uint64(flagSeed),
		StreamPart:  command.Float64(flagStreamPart),
		ServicePart: command.Float64(flagServicePart),
		Service:     command.String(flagService),
		Pause:       command.Duration(flagPause),
	})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(command.Root().Writer).Encode(report); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if report.Broken > 0 {
		return errors.Errorf("%d answers are broken, the first with: %s; see the logs of the entry hosts", report.Broken, report.FirstBroken)
	}
	return nil
}
