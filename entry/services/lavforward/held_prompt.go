package lavforward

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavholding"
)

// heldPrompt is what engines hold of the prompt of a request, as one model reads it.
type heldPrompt struct {
	// parts is the number of leading parts of the prompt that each engine holds, and tokens the tokens of the leading parts, from none on.
	parts  map[lavserver.InstanceKey]int
	tokens []lavid.Tokens
}

// maxHoldersLooked bounds the engines that are looked at beside the sample because they hold a part of the prompt. A short beginning that
// most prompts have is held by hundreds of engines in a large fleet.
const maxHoldersLooked = 64

// leastParts returns the number of leading parts that an engine has to hold to be looked at beside the sample: one, or more if too many
// engines hold as few and others hold more.
func (h heldPrompt) leastParts() int {
	holders := make([]int, len(h.tokens))
	for _, parts := range h.parts {
		holders[parts]++
	}
	least, sum := len(h.tokens), 0
	for parts := len(h.tokens) - 1; parts > 0; parts-- {
		if sum > 0 && sum+holders[parts] > maxHoldersLooked {
			break
		}
		least, sum = parts, sum+holders[parts]
	}
	return least
}

// promptKeys returns the keys of the beginnings of the prompt, as a model reads them.
func (r *Request) promptKeys(model lavid.ModelID) []lavholding.Key {
	ids := make([]string, 0, len(r.Prompt.Parts))
	for _, part := range r.Prompt.Parts {
		ids = append(ids, part.ID)
	}
	return lavholding.KeysOf(model, ids)
}

// sharedParts returns the number of leading parts of the prompt that other requests may have. The last one is the request's own.
func (r *Request) sharedParts() int { return max(len(r.Prompt.Parts)-1, 0) }

// heldPrompt returns what engines hold of the prompt.
func (e *execution) heldPrompt(model lavid.ModelID, now time.Time) heldPrompt {
	held := heldPrompt{parts: e.Holdings.Held(e.request.promptKeys(model), now), tokens: make([]lavid.Tokens, 1, len(e.request.Prompt.Parts)+1)}
	for i, part := range e.request.Prompt.Parts {
		held.tokens = append(held.tokens, held.tokens[i]+part.Tokens)
	}
	return held
}

// at returns the tokens of the prompt that an engine holds.
func (h heldPrompt) at(row *lavdirectory.Row) lavid.Tokens { return h.tokens[h.parts[row.Instance()]] }

// promptWork returns the work of reading the part of the prompt that the server does not hold, in tokens of the smallest model.
func (e *execution) promptWork(row *lavdirectory.Row, model lavid.ModelID, held heldPrompt, isHome bool) float64 {
	cached := float64(held.at(row))
	if isHome && cached == 0 {
		cached = homeCachedShare * float64(held.tokens[e.request.sharedParts()])
	}
	return max(float64(e.request.Prompt.Input)-cached, 0) * e.readFactor(model)
}
