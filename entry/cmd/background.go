package lavcmd

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/wire/lavwire"
)

// loadInterval separates two rounds of load queries and bounds each query.
const loadInterval = 500 * time.Millisecond

// start starts the listeners and the background tasks.
func (h *host) start() {
	h.serve(h.callers)
	h.serve(h.operators)
	h.serve(h.peers)
	h.tasks.Go(func() { h.bills.Run(h.background) })
	h.tasks.Go(func() { h.pins.Run(h.background) })
	h.tasks.Go(func() { h.gate.Run(h.background) })
	h.tasks.Go(func() { h.reporter.Run(h.background) })
	h.tasks.Go(func() { h.rater.Run(h.background) })
	poller := &lavmembership.Poller{Table: h.members, List: h.platform, Log: h.log}
	h.tasks.Go(func() { poller.Run(h.background) })
	h.tasks.Go(func() { h.spreader.Run(h.background) })
	h.runEvery(loadInterval, h.readLoads)
}

func (h *host) serve(server *lavhttp.Server) {
	h.tasks.Go(func() {
		if err := server.Serve(); err != nil {
			h.log.WithError(err).Error("listener failed")
		}
	})
}

func (h *host) runEvery(interval time.Duration, step func(now time.Time)) {
	h.tasks.Go(func() { lavlife.Tick(h.background, interval, step) })
}

// readLoads applies the configuration to the fleet and requests the load of a few servers whose load is unknown or old.
func (h *host) readLoads(now time.Time) {
	document := h.current.Document()
	if document == nil {
		return
	}
	h.fleet.ApplyConfig(document, now)
	h.retries.Tick(now)
	for _, id := range h.fleet.Stale(document, now) {
		h.readLoad(document.BackendServers[id].SideAddress)
	}
}

func (h *host) readLoad(address string) {
	ctx, cancel := context.WithTimeout(h.background, loadInterval)
	defer cancel()
	load, err := lavwire.NewSideProtobufClient(h.scheme+address, h.peerClient).ReadLoad(ctx, &lavwire.ReadLoadRequest{})
	if err == nil {
		h.fleet.Record(load, time.Now())
	}
}

// Entries returns the live entry hosts, including this one unless it is leaving.
func (h *host) Entries(now time.Time) []lavring.Member {
	return h.members.Owners(now)
}
