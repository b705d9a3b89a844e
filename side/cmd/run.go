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
var errCut = errors.New("ended before all work was done; its callers attach elsewhere or are told that it is in doubt")

// run runs the side process until it is told to end.
func run(ctx context.Context, settings lavsetting.Settings, _ lavcommand.Source[lavsetting.Settings]) error {
	log, err := lavlog.New(os.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	ending, cancelFirst := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelFirst()
	h, err := newHost(ctx, settings, log)
	if err != nil {
		return err
	}
	h.start()
	log.WithField("address", h.server.Address()).Info("side process is ready")
	<-ending.Done()
	cancelFirst()
	log.Info("side process refuses new work and ends when its work is done; a second signal ends it at once")
	now, cancelSecond := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelSecond()
	bounded, cancel := context.WithTimeout(now, settings.DrainTimeout.Duration)
	defer cancel()
	return h.shutDown(bounded)
}

// drainTick separates the looks whether all work is done.
const drainTick = 50 * time.Millisecond

// shutDown refuses new work, lets running work and its outcomes finish, then ends the parts.
func (h *host) shutDown(ctx context.Context) error {
	h.dispatcher.StopAdmitting()
	h.members.Leave()
	drained := h.drain(ctx)
	h.stop()
	h.dispatcher.StopAll()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.close(closing, h.server)
	if h.admin != nil {
		h.close(closing, h.admin)
	}
	h.parts.Wait()
	if !drained {
		return errCut
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
		case <-time.After(drainTick):
		}
	}
	return true
}

func (h *host) idle() bool {
	return h.dispatcher.Running() == 0 && h.router.Readers() == 0 && h.outbox.Len() == 0 && h.bills.Pending.Len() == 0
}
