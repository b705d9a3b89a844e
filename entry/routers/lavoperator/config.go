package lavoperator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/services/lavspread"
)

const (
	maxPatchBytes       = 8 << 20
	maxPatchIDBytes     = 128
	defaultHistoryLimit = 20
)

// HeaderPatch carries the patch id. A client that lost the reply repeats the patch with the same id.
const HeaderPatch = "Lavender-Patch"

func (r *Router) config(w http.ResponseWriter, _ *http.Request) {
	document := r.Service.Config()
	w.Header().Set("ETag", etag(document.Number))
	lavhttp.WriteJSON(w, http.StatusOK, document)
}

// configAt serves a configuration by number. It also serves /config/history and /config/diff, because httprouter does
// not allow a fixed path beside a parameter.
func (r *Router) configAt(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	switch params.ByName("number") {
	case "history":
		r.history(w, request)
		return
	case "diff":
		r.diff(w, request)
		return
	}
	number, err := parseNumber(params.ByName("number"), "the path")
	if err != nil {
		writeError(w, err)
		return
	}
	document, err := r.Service.ConfigAt(request.Context(), number)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(document.Number))
	lavhttp.WriteJSON(w, http.StatusOK, document)
}

func (r *Router) history(w http.ResponseWriter, request *http.Request) {
	below, err := queryNumber(request, "Below", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := queryNumber(request, "Limit", defaultHistoryLimit)
	if err != nil {
		writeError(w, err)
		return
	}
	entries, err := r.Service.History(request.Context(), below, int(limit))
	writeReply(w, entries, err)
}

func (r *Router) diff(w http.ResponseWriter, request *http.Request) {
	to, err := queryNumber(request, "To", r.Service.Config().Number)
	if err != nil {
		writeError(w, err)
		return
	}
	from, err := queryNumber(request, "From", max(to, 1)-1)
	if err != nil {
		writeError(w, err)
		return
	}
	changes, err := r.Service.DiffNumbers(request.Context(), from, to)
	writeReply(w, changes, err)
}

func (r *Router) patch(w http.ResponseWriter, request *http.Request) {
	patch, err := readPatch(w, request)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(HeaderPatch, string(patch.ID))
	if request.URL.Query().Get("DryRun") == "true" {
		preview, err := r.Service.DryRun(patch)
		writeReply(w, preview, err)
		return
	}
	receipt, err := r.Service.Patch(request.Context(), patch)
	if err == nil {
		w.Header().Set("ETag", etag(receipt.Number))
	}
	writeReply(w, receipt, err)
}

func (r *Router) patchStatus(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	if request.URL.Query().Get("Base") == "" {
		writeError(w, laverror.New(laverror.KindBadRequest, "the query parameter Base is missing", "add ?Base= with the number that the patch was made against"))
		return
	}
	base, err := queryNumber(request, "Base", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := r.Service.PatchStatus(request.Context(), lavid.PatchID(params.ByName("id")), base)
	writeReply(w, status, err)
}

func readPatch(w http.ResponseWriter, request *http.Request) (lavspread.Patch, error) {
	match := strings.Trim(request.Header.Get("If-Match"), `"`)
	base, err := parseNumber(match, "If-Match")
	if err != nil {
		return lavspread.Patch{}, err
	}
	body, err := readBody(w, request, maxPatchBytes)
	if err != nil {
		return lavspread.Patch{}, err
	}
	id := request.Header.Get(HeaderPatch)
	if id == "" {
		id = uuid.NewString()
	}
	if len(id) > maxPatchIDBytes {
		return lavspread.Patch{}, laverror.New(laverror.KindBadRequest, "the patch id is too long", "give at most 128 bytes")
	}
	return lavspread.Patch{
		ID:         lavid.PatchID(id),
		Author:     operatorName(request),
		Base:       base,
		Operations: json.RawMessage(body),
		Force:      request.URL.Query().Get("Force") == "true",
	}, nil
}

func parseNumber(text, where string) (lavid.ConfigNumber, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		message := where + " " + strconv.Quote(text) + " is not a configuration number"
		return 0, laverror.New(laverror.KindBadRequest, message, "give the number of the configuration that you read")
	}
	return lavid.ConfigNumber(number), nil
}

func queryNumber(request *http.Request, name string, fallback lavid.ConfigNumber) (lavid.ConfigNumber, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	return parseNumber(text, name)
}

func etag(number lavid.ConfigNumber) string {
	return strconv.Quote(strconv.FormatUint(uint64(number), 10))
}
