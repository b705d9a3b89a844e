package lavsession

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Turn is the result of DeriveSession for one request of a conversation.
type Turn struct {
	Session lavid.SessionID
	// First reports that the conversation has no answer yet; it is also true when Session is empty.
	First bool
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DeriveSession returns a session id for a conversation whose caller names none. The id is a hash of the messages up to
// the first user message, which later turns repeat; without a user message the id is empty.
func DeriveSession(messages json.RawMessage) Turn {
	var conversation []message
	if json.Unmarshal(messages, &conversation) != nil {
		return Turn{First: true}
	}
	digest := xxhash.New()
	first := true
	foundUser := false
	for _, message := range conversation {
		if message.Role == "assistant" {
			first = false
		}
		if foundUser {
			continue
		}
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		foundUser = message.Role == "user"
	}
	if !foundUser {
		return Turn{First: true}
	}
	return Turn{Session: lavid.SessionID("derived-" + strconv.FormatUint(digest.Sum64(), 16)), First: first}
}
