package lavcaller

import (
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
)

func (r *Router) service(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	id, account, err := r.account(request)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	service := lavid.ServiceID(params.ByName("service"))
	call := lavid.CallID(params.ByName("call"))
	row, ok := r.Configs.Document().Services[service].Calls[call]
	if !ok || !slices.Contains(account.AllowedServices, service) {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "the client account has no such call", "check the service and call names with an operator"))
		return
	}
	if !row.Idempotent && request.Header.Get(HeaderIdempotencyKey) == "" {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "this call runs at most once and needs an Idempotency-Key", "send an Idempotency-Key that is the same for repeats of one request"))
		return
	}
	accepted, err := r.readRequest(w, request, id, account)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	accepted.Service = service
	accepted.Call = call
	accepted.Idempotent = row.Idempotent
	accepted.Method = row.Method
	accepted.Path = row.Path
	r.serve(w, request, accepted)
}
