package lavadmin

import (
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavkey"
)

// Router serves the operator paths of a side process.
type Router struct {
	// KeyHashes holds the SHA-256 hashes of operators' keys in hexadecimal.
	KeyHashes []string
	// Dump serves the state dump.
	Dump http.Handler
}

// Routes returns the handler of all paths. Every path requires the key of an operator.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/dump", r.Dump)
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	return r.authorize(router)
}

func (r *Router) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !lavkey.Matches(lavkey.Bearer(request.Header), r.KeyHashes) {
			lavhttp.WriteError(w, laverror.New(laverror.KindUnauthorized, "unknown operator key", "send an operator key in the header Authorization: Bearer"))
			return
		}
		next.ServeHTTP(w, request)
	})
}
