package lavcmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavcommand"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/side/models/lavsetting"
)

// errCut says that work was still running when the process ended.
var errDrainIncomplete = errors.New("ended before all work was done; its callers attach elsewhere or are told that it is in doubt")

// run runs the side process until it is told to end.
func run(ctx context.Context, settings lavsetting.Settings, _ lavcommand.Source[lavsetting.Settings]) error {
	log, err := lavlog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	terminated, cancelTerminated := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelTerminated()
	h, err := newHost(ctx, settings, log)
	if err != nil {
		return err
	}
	h.start()
	log.WithField("address", h.server.Address()).Info("side process is ready")
	<-terminated.Done()
	cancelTerminated()
	log.Info("side process refuses new work and ends when its work is done; a second signal ends it at once")
	forced, cancelForced := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelForced()
	drainContext, cancel := context.WithTimeout(forced, settings.DrainTimeout.Duration)
	defer cancel()
	return h.shutDown(drainContext)
}

// drainTick separates the looks whether all work is done.
const drainPollInterval = 50 * time.Millisecond

// shutDown refuses new work, lets running work and its outcomes finish, then ends the parts.
func (h *host) shutDown(ctx context.Context) error {
	h.dispatcher.Leave()
	h.members.Leave()
	drained := h.drain(ctx)
	h.stop()
	h.dispatcher.StopAll()
	closeContext, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.close(closeContext, h.server)
	if h.admin != nil {
		h.close(closeContext, h.admin)
	}
	h.workers.Wait()
	if !drained {
		return errDrainIncomplete
	}
	return nil
}

// close ends a listener; connections on which nobody asks anything are not waited for.
func (h *host) close(ctx context.Context, server *lavhttp.Server) {
	if err := server.Shutdown(ctx); err != nil {
		h.log.WithError(err).Debug("connections without work were cut")
	}
}

// closeTimeout bounds the end of the listeners once all work is done or cut.
const closeTimeout = 200 * time.Millisecond

// drain waits until nothing is left to do, and at least for the readiness delay; it returns false when ctx ends first.
func (h *host) drain(ctx context.Context) bool {
	ready := time.Now().Add(h.settings.ReadinessDelay.Duration)
	for !h.idle() || time.Now().Before(ready) {
		select {
		case <-ctx.Done():
			return h.idle()
		case <-time.After(drainPollInterval):
		}
	}
	return true
}

func (h *host) idle() bool {
	return h.dispatcher.Running() == 0 && h.router.Readers() == 0 && h.outbox.Len() == 0 && h.bills.Pending.Len() == 0
}
