package lavcmd

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/wire/lavwire"
)

// closeTimeout bounds the end of the listeners once the last request is answered.
const closeTimeout = 500 * time.Millisecond

// shutDown turns the readiness negative, answers the running requests, then gives away what only this host holds.
func (h *host) shutDown(ctx context.Context) error {
	h.router.Drain()
	h.members.Leave()
	time.Sleep(h.settings.ReadinessDelay.Duration)
	err := h.callers.Shutdown(ctx)
	h.pins.WriteBehind(ctx)
	h.handOverBills(ctx)
	h.stop()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.closeServer(closeCtx, h.operators)
	h.closeServer(closeCtx, h.peers)
	h.tasks.Wait()
	return err
}

// closeServer ends a listener; connections on which nobody asks anything are not waited for.
func (h *host) closeServer(ctx context.Context, server *lavhttp.Server) {
	if err := server.Shutdown(ctx); err != nil {
		h.log.WithError(err).Debug("connections without work were cut")
	}
}

// handOverBills writes the last bills, or hands them to another host while the store is unavailable.
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
		h.log.WithError(err).WithField(lavlog.FieldPeer, member.ID).Warning("host did not take the last bills; asking the next one")
	}
	h.log.WithField("pending", h.bills.Pending.Len()).Error("bills end with this host; the side processes still hold those that they answered")
}
