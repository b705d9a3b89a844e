package lavcmd

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/wire/lavwire"
)

// closeTimeout bounds the shutdown of the operators' and peers' listeners after the last request is answered.
const closeTimeout = 500 * time.Millisecond

// shutDown turns the readiness check negative, leaves the membership table, waits for ReadinessDelay and answers the
// running requests until ctx ends. It then writes the last bills or hands them over, writes the pending session pins, and
// stops the background tasks and the other listeners. The error is that of the callers' listener.
func (h *host) shutDown(ctx context.Context) error {
	h.router.Drain()
	h.members.Leave()
	time.Sleep(h.settings.ReadinessDelay.Duration)
	err := h.callers.Shutdown(ctx)
	h.handOverBills(ctx)
	h.pins.Flush(ctx)
	h.stop()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.closeServer(closeCtx, h.operators)
	h.closeServer(closeCtx, h.peers)
	h.tasks.Wait()
	return err
}

// closeServer shuts a listener down. It stops waiting for open connections when ctx ends.
func (h *host) closeServer(ctx context.Context, server *lavhttp.Server) {
	if err := server.Shutdown(ctx); err != nil {
		h.log.WithError(err).Debug("listener did not shut down in time")
	}
}

// handOverBills writes the last bills, or hands them over to another host when the store is unavailable.
func (h *host) handOverBills(ctx context.Context) {
	h.bills.Flush(ctx)
	if h.bills.Pending.Len() == 0 {
		return
	}
	for _, member := range h.members.Live(time.Now()) {
		holder := lavwire.NewBillsProtobufClient(h.scheme+member.Address, h.peerClient)
		err := h.bills.HandOver(ctx, holder, string(h.settings.HostID))
		if err == nil {
			return
		}
		h.log.WithError(err).WithField(lavlog.FieldPeer, member.ID).Warning("host did not accept the last bills; trying the next one")
	}
	h.log.WithField("pending", h.bills.Pending.Len()).Error("last bills were neither written nor handed over; side processes still hold those of requests that they answered")
}
