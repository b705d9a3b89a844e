package lavcaller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/entry/models/lavrequest"
)

// The headers of requests and answers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSession        = "Lavender-Session"
	HeaderTaskClass      = "Lavender-Task-Class"
	HeaderTimeout        = "Lavender-Timeout"
	HeaderVersion        = "Lavender-Version"
	HeaderRequest        = "Lavender-Request"
	HeaderSessionMoved   = "Lavender-Session-Moved"
)

// Configs returns the newest configuration that this host has received, or nil before the first one.
type Configs interface {
	Document() *lavconfig.Document
}

// Server serves accepted requests.
type Server interface {
	Serve(ctx context.Context, request *lavrequest.Request, sink lavrequest.Sink) error
}

// Router serves the HTTP interface for callers.
type Router struct {
	Configs Configs
	Server  Server
	// RequestTimeout bounds a request whose caller sets no timeout.
	RequestTimeout time.Duration

	draining atomic.Bool
}

// Drain turns the readiness check negative, so that load balancers stop sending callers to this host.
func (r *Router) Drain() {
	r.draining.Store(true)
}

// Routes returns the handler of all paths.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/ready", r.ready)
	router.HandlerFunc(http.MethodGet, "/v1/models", r.models)
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", r.chat)
	router.Handle(http.MethodPost, "/services/:service/:call", r.service)
	router.Handle(http.MethodGet, "/services/:service/:call", r.service)
	return router
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() || r.Configs.Document() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// account returns the client account that the request's API key belongs to.
func (r *Router) account(request *http.Request) (lavid.AccountID, lavconfig.ClientAccount, error) {
	document := r.Configs.Document()
	if document == nil {
		return "", lavconfig.ClientAccount{}, laverror.New(laverror.KindConfigUnavailable, "this host has no configuration yet", "retry").WithRetryAfter(time.Second)
	}
	key := lavkey.Bearer(request.Header)
	for id, account := range document.ClientAccounts {
		if key != "" && lavkey.Matches(key, account.KeyHashes) {
			return id, account, nil
		}
	}
	return "", lavconfig.ClientAccount{}, laverror.New(laverror.KindUnauthorized, "the API key is not known", "send Authorization: Bearer with a key of a client account")
}

// serve serves an accepted request and writes its answer or error.
func (r *Router) serve(w http.ResponseWriter, request *http.Request, accepted *lavrequest.Request) {
	writer := newResponseWriter(w, accepted)
	if err := r.Server.Serve(request.Context(), accepted, writer); err != nil {
		writer.fail(err)
		return
	}
	writer.finish()
}
