package lavsession

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Turn is a session id read from a conversation.
type Turn struct {
	Session lavid.SessionID
	// First says that the conversation has no answer yet.
	First bool
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DeriveSession returns the session of a conversation whose caller names none: later turns repeat its first messages.
func DeriveSession(messages json.RawMessage) Turn {
	var list []message
	if json.Unmarshal(messages, &list) != nil {
		return Turn{First: true}
	}
	digest := xxhash.New()
	first := true
	opened := false
	for _, message := range list {
		if message.Role == "assistant" {
			first = false
		}
		if opened {
			continue
		}
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		opened = message.Role == "user"
	}
	if !opened {
		return Turn{First: true}
	}
	return Turn{Session: lavid.SessionID("derived-" + strconv.FormatUint(digest.Sum64(), 16)), First: first}
}
