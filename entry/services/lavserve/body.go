package lavserve

import (
	"encoding/json"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/entry/models/lavrequest"
)

// bodyFor returns the request's body with the chosen version as its model. For a stream it also requests the usage, because
// billing needs it.
func bodyFor(request *lavrequest.Request, version lavid.VersionID) []byte {
	if version == "" {
		return request.Body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(request.Body, &fields) != nil {
		return request.Body
	}
	name, err := json.Marshal(version)
	if err != nil {
		return request.Body
	}
	fields["model"] = name
	if request.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return request.Body
	}
	return body
}
