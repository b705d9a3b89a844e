package lavoperator

import (
	"context"
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/entry/services/lavoperation"
)

// Key is the name and the hash of an operator's key.
type Key struct {
	// Name is recorded as the author of patches and settlements.
	Name string
	// Hash is the SHA-256 hash of the key in hexadecimal.
	Hash string
}

// Router serves the HTTP interface for operators.
type Router struct {
	Service *lavoperation.Service
	Keys    []Key
	Dump    http.Handler
}

// Routes returns the handler of all paths. Every path requires an operator's key.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/config", r.config)
	router.HandlerFunc(http.MethodPatch, "/config", r.patch)
	router.GET("/config/:number", r.configAt)
	router.GET("/patches/:id", r.patchStatus)
	router.HandlerFunc(http.MethodGet, "/fleet", r.fleet)
	router.HandlerFunc(http.MethodGet, "/rollouts", r.rollouts)
	router.HandlerFunc(http.MethodGet, "/calls/in-doubt", r.callsInDoubt)
	router.HandlerFunc(http.MethodPost, "/calls/settle", r.settle)
	router.Handler(http.MethodGet, "/dump", r.Dump)
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(notFound)
	return r.authorize(router)
}

type operatorNameKey struct{}

func (r *Router) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		name, ok := r.operatorByKey(lavkey.Bearer(request.Header))
		if !ok {
			lavhttp.WriteError(w, laverror.New(laverror.KindUnauthorized, "the operator's key is not known", "send Authorization: Bearer with an operator's key"))
			return
		}
		next.ServeHTTP(w, request.WithContext(context.WithValue(request.Context(), operatorNameKey{}, name)))
	})
}

// operatorByKey returns the name that belongs to a key. It compares the key with every hash, so that its running
// time does not depend on which one matches.
func (r *Router) operatorByKey(key string) (string, bool) {
	name, found := "", false
	for _, candidate := range r.Keys {
		if lavkey.Matches(key, []string{candidate.Hash}) {
			name, found = candidate.Name, true
		}
	}
	return name, found
}

// operatorName returns the name of the operator who sent a request.
func operatorName(request *http.Request) string {
	name, _ := request.Context().Value(operatorNameKey{}).(string)
	return name
}

func notFound(w http.ResponseWriter, request *http.Request) {
	lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "there is no "+request.Method+" "+request.URL.Path, "see docs/operators/README.md for the paths"))
}
