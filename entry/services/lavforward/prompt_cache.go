package lavforward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
)

const (
	// maxPromptParts is the number of prompt parts kept.
	maxPromptParts = 8192
	// promptCacheTTL is how long an engine is assumed to keep a prompt part in its cache after the last use.
	promptCacheTTL = 60 * time.Second
)

// promptKey identifies a prompt part in the cache of one engine.
type promptKey struct {
	server lavserver.InstanceKey
	model  lavid.ModelID
	part   string
}

// promptCache estimates which prompt parts the engines have cached, from the sends of this host.
type promptCache struct {
	lastUsed *lru.Cache[promptKey, time.Time]
}

func newPromptCache() *promptCache {
	cache, err := lru.New[promptKey, time.Time](maxPromptParts)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &promptCache{lastUsed: cache}
}

// add records that the prompt was sent to an engine.
func (p *promptCache) add(server lavserver.InstanceKey, model lavid.ModelID, prompt Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		p.lastUsed.Add(promptKey{server, model, part.ID}, now)
	}
}

// cachedTokens returns the tokens of the leading prompt parts that the engine is assumed to have cached.
func (p *promptCache) cachedTokens(server lavserver.InstanceKey, model lavid.ModelID, prompt Prompt, now time.Time) lavid.Tokens {
	sum := lavid.Tokens(0)
	for _, part := range prompt.Parts {
		used, found := p.lastUsed.Peek(promptKey{server, model, part.ID})
		if !found || now.Sub(used) > promptCacheTTL {
			break
		}
		sum += part.Tokens
	}
	return sum
}
