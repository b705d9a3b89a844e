package lavcmd

import (
	"context"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
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

func (h *host) serve(server *lavhttp.Server) {
	h.tasks.Go(func() {
		if err := server.Serve(); err != nil {
			h.log.WithError(err).Error("listener failed")
		}
	})
}

// reconcileEngine reads the state of the backend server and sends the engine its next order, if one is due.
// A process that cannot read the state or is draining sends none.
func (h *host) reconcileEngine(now time.Time) {
	state, ok := h.dispatcher.Refresh(h.background)
	if !ok || h.dispatcher.Leaving() {
		return
	}
	if _, err := h.keeper.Step(h.background, h.observe(state, now), now); err != nil {
		h.log.WithError(err).Warning("order to the engine failed; retrying at the next tick")
	}
}

func (h *host) observe(state lavbackend.State, now time.Time) lavorder.Snapshot {
	document := h.current.InForce(now)
	observation := lavorder.Snapshot{
		Document: document,
		Observed: lavengine.Observed(state, h.dispatcher.RunningVersions()),
		Epoch:    state.Epoch,
	}
	if document != nil {
		listed, leaving := h.hosts.servers()
		observation.Live = lavorder.Live(document, listed, leaving)
	}
	return observation
}

// hostList reads the platform's host list and keeps the last one read. onUpdate is called with each list.
type hostList struct {
	platform *lavplatform.Client
	onUpdate func(hosts []lavplatform.Host)
	mu       sync.Mutex
	hosts    []lavplatform.Host
}

// Hosts reads the platform's host list, stores it and returns it.
func (l *hostList) Hosts(ctx context.Context) ([]lavplatform.Host, error) {
	hosts, err := l.platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.hosts = hosts
	l.mu.Unlock()
	l.onUpdate(hosts)
	return hosts, nil
}

// servers returns all backend servers of the last host list, and those of them that are leaving.
func (l *hostList) servers() ([]lavid.BackendServerID, []lavid.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed, leaving []lavid.BackendServerID
	for _, host := range l.hosts {
		if host.BackendServer == "" {
			continue
		}
		listed = append(listed, host.BackendServer)
		if host.Leaving {
			leaving = append(leaving, host.BackendServer)
		}
	}
	return listed, leaving
}
