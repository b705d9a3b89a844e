package lavoperator

import (
	"net/http"
	"time"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/entry/services/lavoperation"
)

const (
	maxSettlementBytes = 16 << 20
	callsPerPage       = 200
)

func (r *Router) fleet(w http.ResponseWriter, _ *http.Request) {
	lavhttp.WriteJSON(w, http.StatusOK, r.Service.Fleet())
}

func (r *Router) rollouts(w http.ResponseWriter, _ *http.Request) {
	lavhttp.WriteJSON(w, http.StatusOK, r.Service.Rollouts())
}

func (r *Router) callsInDoubt(w http.ResponseWriter, request *http.Request) {
	page, err := r.Service.CallsInDoubt(request.Context(), request.URL.Query().Get("After"), callsPerPage)
	writeReply(w, page, err)
}

func (r *Router) settle(w http.ResponseWriter, request *http.Request) {
	body, err := readBody(w, request, maxSettlementBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	var settlement lavoperation.Settlement
	if err := lavsettings.Decode(body, &settlement); err != nil {
		writeError(w, laverror.New(laverror.KindBadRequest, "the settlement cannot be read: "+err.Error(), "correct each key or value"))
		return
	}
	settlement.Operator = operatorName(request)
	settled, err := r.Service.Settle(request.Context(), settlement, time.Now())
	writeReply(w, settled, err)
}
