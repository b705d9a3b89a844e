package lavhostlist

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

const (
	// probeTimeout bounds the time to connect to a host.
	probeTimeout = 300 * time.Millisecond
	maxHosts     = 10000
)

// List holds the registered hosts and the visible ones, which GET /hosts returns.
type List struct {
	faults     *lavfault.Injector
	probe      bool
	mu         sync.Mutex
	lag        time.Duration
	registered []lavplatform.Host
	visible    []lavplatform.Host
	pending    []scheduledHosts
}

// scheduledHosts is a list of hosts that becomes visible at a time.
type scheduledHosts struct {
	at    time.Time
	hosts []lavplatform.Host
}

type hostsBody struct{ Hosts []lavplatform.Host }

type lagBody struct{ Lag lavsettings.Duration }

// New returns an empty list whose changes become visible after lag. With probe, the list shows only hosts that accept
// connections.
func New(faults *lavfault.Injector, lag time.Duration, probe bool) *List {
	return &List{faults: faults, lag: lag, probe: probe}
}

// Register adds the paths of the host list to a router.
func (l *List) Register(router *httprouter.Router) {
	router.HandlerFunc(http.MethodGet, "/hosts", l.list)
	router.HandlerFunc(http.MethodPut, "/hosts", l.replace)
	router.PUT("/hosts/:host/leaving", l.markLeaving)
	router.HandlerFunc(http.MethodPut, "/hosts-lag", l.setLag)
}

// Put replaces the registered hosts. The change becomes visible after the lag.
func (l *List) Put(hosts []lavplatform.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registered = hosts
	if !l.probe {
		l.schedule(hosts, now)
	}
}

// Probe connects to each registered host. The hosts that accept become the visible ones after the lag. Probe does
// nothing when the list was created without probe.
func (l *List) Probe(ctx context.Context, now time.Time) {
	if !l.probe {
		return
	}
	l.mu.Lock()
	hosts := slices.Clone(l.registered)
	l.mu.Unlock()
	reachableHosts := slices.DeleteFunc(hosts, func(host lavplatform.Host) bool { return !reachable(ctx, host.Address) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule(reachableHosts, now)
}

// reachable reports whether a host accepts connections at address.
func reachable(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// schedule makes hosts visible after the lag.
func (l *List) schedule(hosts []lavplatform.Host, now time.Time) {
	l.applyDue(now)
	l.pending = append(l.pending, scheduledHosts{at: now.Add(l.lag), hosts: slices.Clone(hosts)})
}

// applyDue makes those scheduled lists visible that are due at now.
func (l *List) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
}

// Visible returns the hosts that GET /hosts returns at now.
func (l *List) Visible(now time.Time) []lavplatform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(now)
	return slices.Clone(l.visible)
}

func (l *List) list(w http.ResponseWriter, request *http.Request) {
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepHosts}}
	var reply hostsBody
	if !l.faults.Do(request.Context(), call, func() { reply.Hosts = l.Visible(time.Now()) }) {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, reply)
}

func (l *List) replace(w http.ResponseWriter, request *http.Request) {
	var body hostsBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || len(body.Hosts) > maxHosts {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "hosts are not valid JSON or too many", "send {Hosts: [...]}"))
		return
	}
	l.Put(body.Hosts, time.Now())
	lavhttp.WriteJSON(w, http.StatusOK, body)
}

func (l *List) markLeaving(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	l.mu.Lock()
	hosts := slices.Clone(l.registered)
	l.mu.Unlock()
	index := slices.IndexFunc(hosts, func(host lavplatform.Host) bool { return host.ID == lavid.HostID(params.ByName("host")) })
	if index < 0 {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such host", "add the host with PUT /hosts first"))
		return
	}
	hosts[index].Leaving = true
	l.Put(hosts, time.Now())
	lavhttp.WriteJSON(w, http.StatusOK, hosts[index])
}

func (l *List) setLag(w http.ResponseWriter, request *http.Request) {
	var body lagBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "lag is not valid JSON", `send {"Lag": "2s"}`))
		return
	}
	l.mu.Lock()
	l.lag = body.Lag.Duration
	l.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, body)
}
