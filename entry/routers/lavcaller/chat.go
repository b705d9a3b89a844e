package lavcaller

import (
	"encoding/json"
	"net/http"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/entry/models/lavrequest"
)

// modelAuto is the model name for requests whose version the router chooses.
const modelAuto = "auto"

const pathChat = "/v1/chat/completions"

type chatBody struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	Messages      json.RawMessage `json:"messages"`
	MaxTokens     lavid.Tokens    `json:"max_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (r *Router) chat(w http.ResponseWriter, request *http.Request) {
	id, account, err := r.account(request)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	accepted, err := r.readRequest(w, request, id, account)
	if err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	var body chatBody
	if err := json.Unmarshal(accepted.Body, &body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body is not JSON: "+err.Error(), "send a chat completions request"))
		return
	}
	if !hasMessages(body.Messages) {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body has no messages", "send at least one message"))
		return
	}
	accepted.Path = pathChat
	accepted.Idempotent = true
	accepted.Stream = body.Stream
	accepted.IncludeUsage = body.StreamOptions.IncludeUsage
	accepted.EstimatedTokens = body.MaxTokens + lavid.Tokens(len(accepted.Body)/bytesPerToken)
	r.resolveModel(accepted, body.Model)
	resolveSession(accepted, body.Messages)
	r.serve(w, request, accepted)
}

// resolveSession takes the session from its header or, when there is none, derives it from the conversation.
func resolveSession(accepted *lavrequest.Request, messages json.RawMessage) {
	turn := lavsession.DeriveSession(messages)
	if accepted.Session != "" {
		return
	}
	accepted.Session = turn.Session
	accepted.FirstTurn = turn.First
}

func hasMessages(messages json.RawMessage) bool {
	var list []json.RawMessage
	return json.Unmarshal(messages, &list) == nil && len(list) > 0
}

// bytesPerToken is the assumed size of a token, for estimates of the tokens of a prompt.
const bytesPerToken = 4
