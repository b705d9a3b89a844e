package lavcaller

import (
	"encoding/json"
	"net/http"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
)

// modelAuto leaves the choice of the version to the plan.
const modelAuto = "auto"

const pathChat = "/v1/chat/completions"

type chatBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	MaxTok   lavid.Tokens    `json:"max_tokens"`
}

func (r *Router) chat(w http.ResponseWriter, request *http.Request) {
	id, account, err := r.account(request)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	accepted, err := r.begin(w, request, id, account)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	var body chatBody
	if err := json.Unmarshal(accepted.Body, &body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body is not JSON: "+err.Error(), "send a chat completions request"))
		return
	}
	if len(body.Messages) == 0 {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body has no messages", "send at least one message"))
		return
	}
	accepted.Path = pathChat
	accepted.Idempotent = true
	accepted.Stream = body.Stream
	accepted.EstimatedTokens = body.MaxTok + lavid.Tokens(len(accepted.Body)/bytesPerToken)
	r.nameModel(accepted, body.Model)
	answer := newAnswer(w, accepted)
	if err := r.Server.Serve(request.Context(), accepted, answer); err != nil {
		answer.fail(err)
	}
}

// bytesPerToken estimates the tokens of a prompt from its bytes.
const bytesPerToken = 4
