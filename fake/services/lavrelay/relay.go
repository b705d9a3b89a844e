package lavrelay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
)

const maxRoutes = 64

// Relay holds the routes of a relay process.
type Relay struct {
	routes  []*Route
	workers conc.WaitGroup
}

// Command is the body of POST /control. It sets the mode of the route that listens on Listen, or of all routes when
// Listen is empty.
type Command struct {
	Listen string
	Mode   Mode
}

// New returns a relay for routes of the form LISTEN=TARGET. Both are IP:port on the loopback interface.
func New(routes []string) (*Relay, error) {
	if len(routes) == 0 || len(routes) > maxRoutes {
		return nil, errors.Errorf("got %d routes; give between 1 and %d", len(routes), maxRoutes)
	}
	relay := &Relay{}
	for _, route := range routes {
		listen, target, _ := strings.Cut(route, "=")
		if !isLoopback(listen) || !isLoopback(target) {
			return nil, errors.Errorf("route %q is not LISTEN=TARGET; give two loopback addresses such as 127.0.0.1:7001", route)
		}
		relay.routes = append(relay.routes, newRoute(listen, target))
	}
	return relay, nil
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

// ObserveDiscarded makes the relay call observe with the listening address of a route and each piece of data from a client
// that the route discards. It must be called before Start, and observe must not keep the data.
func (r *Relay) ObserveDiscarded(observe func(listen string, data []byte)) {
	for _, route := range r.routes {
		route.onDiscard = observe
	}
}

// Start opens the listeners and relays connections until ctx ends.
func (r *Relay) Start(ctx context.Context) error {
	for _, route := range r.routes {
		var setup net.ListenConfig
		listener, err := setup.Listen(ctx, "tcp", route.listen)
		if err != nil {
			return errors.Wrapf(err, "listen on %s; choose a free address", route.listen)
		}
		r.workers.Go(func() { route.serve(ctx, listener) })
	}
	return nil
}

// Wait waits until all routes have ended.
func (r *Relay) Wait() {
	r.workers.Wait()
}

// Routes returns the handler of the control paths.
func (r *Relay) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/control", r.control)
	router.HandlerFunc(http.MethodGet, "/truth", r.truth)
	return router
}

func (r *Relay) control(w http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, 1<<20))
	decoder.DisallowUnknownFields()
	var command Command
	if err := decoder.Decode(&command); err != nil || !command.Mode.valid() {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "invalid control body", "send Listen and one of the modes in docs/FAULTS.md"))
		return
	}
	if !r.SetMode(command.Listen, command.Mode) {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such route", "send the listening address of a route"))
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, command)
}

// SetMode sets the mode of the route that listens on an address, or of all routes when the address is empty. It reports
// whether there is such a route.
func (r *Relay) SetMode(listen string, mode Mode) bool {
	found := false
	for _, route := range r.routes {
		if listen == "" || listen == route.listen {
			route.SetMode(mode)
			found = true
		}
	}
	return found
}

func (m Mode) valid() bool {
	switch m {
	case Pass, CutOnce, Cut, SilentExisting, SilentAll, Hold, HoldBack, Refuse:
		return true
	default:
		return false
	}
}

func (r *Relay) truth(w http.ResponseWriter, _ *http.Request) {
	var truth lavtruth.Relay
	for _, route := range r.routes {
		truth.Routes = append(truth.Routes, route.Truth())
	}
	lavhttp.WriteJSON(w, http.StatusOK, truth)
}
