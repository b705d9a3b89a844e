package lavcmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/side/models/lavsetting"
	"lavenderswitch/side/routers/lavattempt"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/side/services/lavdispatch"
)

const tickInterval = 500 * time.Millisecond

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the side process until it is told to end",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := lavsetting.Read(command.String(flagSettings))
			if err != nil {
				return err
			}
			log, err := lavlog.New(os.Stderr, settings.LogLevel)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, settings, log)
		},
	}
}

func run(ctx context.Context, settings lavsetting.Settings, log *logrus.Logger) error {
	platform := lavplatform.NewClient(settings.PlatformAddress)
	current := lavspread.NewCurrent()
	dispatcher := lavdispatch.New()
	dispatcher.Server = settings.BackendServer
	dispatcher.Holder = settings.Address
	dispatcher.Configs = current
	dispatcher.Backend = lavbackend.NewClient(settings.BackendAddress)
	dispatcher.Ledger = lavledger.New(platform)
	dispatcher.Log = log

	router := &lavattempt.Router{Dispatcher: dispatcher, Heartbeat: settings.HeartbeatInterval.Duration}
	server, err := lavhttp.Listen(ctx, settings.Address, router.Routes(), nil, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	var parts conc.WaitGroup
	parts.Go(func() {
		lavlife.Tick(background, tickInterval, func(now time.Time) {
			if err := lavspread.ReadNewer(background, platform, current, now); err != nil {
				log.WithError(err).Warning("store gave no configuration; trying again at the next tick")
			}
			dispatcher.Refresh(background)
		})
	})
	parts.Go(func() {
		if err := server.Serve(); err != nil {
			log.WithError(err).Error("listener ended")
		}
	})
	log.WithField("address", server.Address()).Info("side process is ready")
	<-ctx.Done()
	return shutDown(server, dispatcher, settings, func() { stop(); parts.Wait() })
}

// shutDown refuses new work, waits for running work within the drain timeout, then ends the parts.
func shutDown(server *lavhttp.Server, dispatcher *lavdispatch.Dispatcher, settings lavsetting.Settings, end func()) error {
	dispatcher.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout.Duration)
	defer cancel()
	err := server.Shutdown(ctx)
	end()
	return err
}
