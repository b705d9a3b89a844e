package lavcmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/entry/models/lavsetting"
)

// run runs the entry host until it receives SIGTERM or SIGINT, then shuts it down.
func run(ctx context.Context, settings lavsetting.Settings, _ lavcommand.Source[lavsetting.Settings]) error {
	log, err := lavlog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host, err := newHost(settings, log)
	if err != nil {
		return err
	}
	if err := host.listen(ctx); err != nil {
		return err
	}
	host.start()
	log.WithField("callers", host.callers.Address()).WithField("operators", host.operators.Address()).Info("entry host started")
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout.Duration)
	defer cancel()
	return host.shutDown(drainCtx)
}
