package lavcmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/entry/models/lavsetting"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the entry host until it is told to end",
		Flags: lavflag.Flags(&lavsetting.Settings{}),
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := readSettings(command)
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
	host, err := newHost(settings, log)
	if err != nil {
		return err
	}
	if err := host.listen(ctx); err != nil {
		return err
	}
	host.start()
	log.WithField("callers", host.callers.Address()).WithField("operators", host.operators.Address()).Info("entry host is ready")
	<-ctx.Done()
	ending, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout.Duration)
	defer cancel()
	return host.shutDown(ending)
}
