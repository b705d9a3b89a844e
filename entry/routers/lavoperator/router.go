package lavoperator

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/core/services/lavspread"
)

const maxPatchBytes = 8 << 20

// HeaderPatch carries the patch id, repeated to settle a lost reply.
const HeaderPatch = "Lavender-Patch"

// Configs reads and changes the configuration.
type Configs interface {
	Document() *lavconfig.Document
	Submit(ctx context.Context, patch lavspread.Patch) (*lavconfig.Document, error)
}

// Router answers operators.
type Router struct {
	Configs   Configs
	KeyHashes []string
	Dump      http.Handler
}

// Routes returns the handler of every path; each asks for an operator's key.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/config", r.config)
	router.HandlerFunc(http.MethodPatch, "/config", r.patch)
	router.Handler(http.MethodGet, "/dump", r.Dump)
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	return r.authorize(router)
}

func (r *Router) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !lavkey.Matches(lavkey.Bearer(request.Header), r.KeyHashes) {
			lavhttp.WriteError(w, laverror.New(laverror.KindUnauthorized, "the operator's key is not known", "send Authorization: Bearer with an operator's key"))
			return
		}
		next.ServeHTTP(w, request)
	})
}

func (r *Router) config(w http.ResponseWriter, _ *http.Request) {
	document := r.Configs.Document()
	if document == nil {
		document = &lavconfig.Document{}
	}
	w.Header().Set("ETag", etag(document.Number))
	lavhttp.WriteJSON(w, http.StatusOK, document)
}

func (r *Router) patch(w http.ResponseWriter, request *http.Request) {
	patch, err := readPatch(w, request)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	document, err := r.Configs.Submit(request.Context(), patch)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	w.Header().Set("ETag", etag(document.Number))
	w.Header().Set(HeaderPatch, string(patch.ID))
	lavhttp.WriteJSON(w, http.StatusOK, PatchReply{Number: document.Number, Patch: patch.ID})
}

// PatchReply says which configuration a patch became.
type PatchReply struct {
	Number lavid.ConfigNumber
	Patch  lavid.PatchID
}

func readPatch(w http.ResponseWriter, request *http.Request) (lavspread.Patch, error) {
	base, err := strconv.ParseUint(strings.Trim(request.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return lavspread.Patch{}, laverror.New(laverror.KindBadRequest, "If-Match is not a configuration number", "send the number that the patch was made against")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxPatchBytes))
	if err != nil {
		return lavspread.Patch{}, laverror.New(laverror.KindTooLarge, "patch is too large or was cut", "split the patch")
	}
	id := request.Header.Get(HeaderPatch)
	if id == "" {
		id = uuid.NewString()
	}
	return lavspread.Patch{ID: lavid.PatchID(id), Base: lavid.ConfigNumber(base), Operations: json.RawMessage(body)}, nil
}

func etag(number lavid.ConfigNumber) string {
	return strconv.Quote(strconv.FormatUint(uint64(number), 10))
}
