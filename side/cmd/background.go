package lavcmd

import (
	"time"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavorder"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/side/services/lavengine"
)

// engineReconcileInterval is the time between two reads of the backend server's state, each of which may lead to an
// order to the engine.
const engineReconcileInterval = 500 * time.Millisecond

// start starts the listeners and the background tasks of the process.
func (h *host) start() {
	h.serve(h.server)
	if h.admin != nil {
		h.serve(h.admin)
	}
	poller := &lavmembership.Poller{Table: h.members, List: h.hosts, Log: h.log}
	h.tasks.Go(func() { poller.Run(h.background) })
	h.tasks.Go(func() { h.spreader.Run(h.background) })
	h.tasks.Go(func() { h.bills.Run(h.background) })
	h.tasks.Go(func() { h.outbox.Run(h.background) })
	h.tasks.Go(func() { lavlife.Tick(h.background, lavlimit.TickInterval, h.dispatcher.Tick) })
	h.tasks.Go(func() { lavlife.Tick(h.background, engineReconcileInterval, h.reconcileEngine) })
}

// serve runs a listener in the background and logs its failure.
func (h *host) serve(server *lavhttp.Server) {
	h.tasks.Go(func() {
		if err := server.Serve(); err != nil {
			h.log.WithError(err).Error("listener failed")
		}
	})
}

// reconcileEngine reads the state of the backend server and sends the engine its next order, if one is due. It sends no
// order when the state cannot be read or the process is draining.
func (h *host) reconcileEngine(now time.Time) {
	state, ok := h.dispatcher.Refresh(h.background)
	if !ok || h.dispatcher.Leaving() {
		return
	}
	if _, err := h.reconciler.Step(h.background, h.takeSnapshot(state, now), now); err != nil {
		h.log.WithError(err).Warning("order to the engine failed; retrying at the next read of its state")
	}
}

// takeSnapshot returns the input of the next reconciliation. Its document is nil when no configuration is in force.
func (h *host) takeSnapshot(state lavbackend.State, now time.Time) lavorder.Snapshot {
	document := h.current.InForce(now)
	snapshot := lavorder.Snapshot{
		Document: document,
		Observed: lavengine.Observed(state, h.dispatcher.RunningVersions()),
		Epoch:    state.Epoch,
	}
	if document != nil {
		listed, leaving := h.hosts.servers()
		snapshot.Live = lavorder.Live(document, listed, leaving)
	}
	return snapshot
}
