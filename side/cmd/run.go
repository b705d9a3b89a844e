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

// errDrainIncomplete is returned when the process ends while work is still in progress.
var errDrainIncomplete = errors.New("ended with work in progress; entry hosts attach to another process or report the requests as in doubt")

// run runs the side process until SIGTERM or SIGINT arrives, and then drains it. A second signal or the end of
// DrainTimeout ends the drain early.
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
	log.WithField("address", h.server.Address()).Info("side process started")
	<-terminated.Done()
	cancelTerminated()
	log.Info("side process is draining; a second signal ends it at once")
	forced, cancelForced := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelForced()
	drainContext, cancel := context.WithTimeout(forced, settings.DrainTimeout.Duration)
	defer cancel()
	return h.shutDown(drainContext)
}

// drainPollInterval is the time between two checks whether all work is done.
const drainPollInterval = 50 * time.Millisecond

// shutDown refuses new work, waits for work in progress and its outcomes, and then stops the listeners and the
// background tasks. It returns errDrainIncomplete when ctx ends before all work is done.
func (h *host) shutDown(ctx context.Context) error {
	h.dispatcher.StopAdmitting()
	h.members.Leave()
	drained := h.drain(ctx)
	h.stop()
	h.dispatcher.StopAll()
	closeContext, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.closeServer(closeContext, h.server)
	if h.admin != nil {
		h.closeServer(closeContext, h.admin)
	}
	h.tasks.Wait()
	if !drained {
		return errDrainIncomplete
	}
	return nil
}

// closeServer shuts a listener down. It stops waiting for open connections when ctx ends.
func (h *host) closeServer(ctx context.Context, server *lavhttp.Server) {
	if err := server.Shutdown(ctx); err != nil {
		h.log.WithError(err).Debug("listener did not shut down in time")
	}
}

// closeTimeout bounds the shutdown of the listeners, which follows the drain.
const closeTimeout = 200 * time.Millisecond

// drain waits until no work is left, and at least for ReadinessDelay. It reports whether all work is done; the result
// is false only when ctx ends first.
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

// idle reports whether no attempt, answer stream, unwritten outcome or unwritten bill is left.
func (h *host) idle() bool {
	return h.dispatcher.Running() == 0 && h.router.Readers() == 0 && h.outbox.Len() == 0 && h.bills.Pending.Len() == 0
}
