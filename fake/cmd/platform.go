package lavcmd

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavhostlist"
	"lavenderswitch/fake/services/lavobject"
	"lavenderswitch/fake/services/lavrating"
	"lavenderswitch/fake/services/lavtableservice"
	"lavenderswitch/fake/services/lavweight"
)

const (
	flagHostsLag       = "hosts-lag"
	flagHostsProbe     = "hosts-probe"
	flagRatingNoise    = "rating-noise"
	flagRatingMissing  = "rating-missing"
	flagRatingDelay    = "rating-delay"
	flagWeightInterval = "weight-interval"
	flagSeed           = "seed"

	// hostsProbeInterval is the time between two probes of all hosts.
	hostsProbeInterval = 500 * time.Millisecond
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the table service, object store, host list, rating service and weight store",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: flagHostsLag, Usage: "time after which a change of the host list is visible"},
			&cli.BoolFlag{Name: flagHostsProbe, Usage: "show only hosts that accept connections"},
			&cli.Float64Flag{Name: flagRatingNoise, Usage: "probability that a rating is wrong"},
			&cli.Float64Flag{Name: flagRatingMissing, Usage: "probability that a rating is refused"},
			&cli.DurationFlag{Name: flagRatingDelay, Usage: "mean duration of a rating"},
			&cli.DurationFlag{Name: flagWeightInterval, Usage: "minimum time between the starts of two weight loads"},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the ratings", Value: 1},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	faults := lavfault.New()
	tables := lavtableservice.New(faults)
	hosts := lavhostlist.New(faults, command.Duration(flagHostsLag), command.Bool(flagHostsProbe))
	ratings := lavrating.New(faults, lavrating.Behaviour{
		Seed:    command.Uint64(flagSeed),
		Noise:   command.Float64(flagRatingNoise),
		Missing: command.Float64(flagRatingMissing),
		Delay:   command.Duration(flagRatingDelay),
	})
	router := httprouter.New()
	tables.Register(router)
	hosts.Register(router)
	ratings.Register(router)
	lavobject.New(faults).Register(router)
	lavweight.New(faults, command.Duration(flagWeightInterval)).Register(router)
	router.HandlerFunc(http.MethodPost, "/control", faults.Control)
	router.HandlerFunc(http.MethodGet, "/truth", func(w http.ResponseWriter, _ *http.Request) {
		truth := tables.Truth()
		truth.Holding = faults.HeldCalls()
		lavhttp.WriteJSON(w, http.StatusOK, truth)
	})
	background, stop := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		lavlife.Tick(background, hostsProbeInterval, func(now time.Time) { hosts.Probe(background, now) })
	})
	err := serve(ctx, command.String(flagAddress), router)
	stop()
	workers.Wait()
	return err
}
