package lavpeer

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/wire/lavwire"
)

// Router serves the calls of other entry hosts and side processes.
type Router struct {
	Sessions lavwire.Sessions
	Bills    lavwire.Bills
	Evidence lavwire.Evidence
	// Config serves the exchange of configurations between hosts.
	Config http.Handler
}

// Routes returns the handler of all services.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	mount(router, lavwire.NewSessionsServer(r.Sessions))
	mount(router, lavwire.NewBillsServer(r.Bills))
	mount(router, lavwire.NewEvidenceServer(r.Evidence))
	router.Handler(http.MethodPost, lavwire.ConfigPathPrefix+"*method", r.Config)
	return router
}

func mount(router *httprouter.Router, service lavwire.TwirpServer) {
	router.Handler(http.MethodPost, service.PathPrefix()+"*method", service)
}
