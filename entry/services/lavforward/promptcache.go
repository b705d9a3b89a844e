package lavforward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
)

const (
	// maxPromptParts bounds the parts of prompts that are remembered.
	maxPromptParts = 8192
	// promptCacheTTL is how long a part is taken to stay in an engine's memory after its last use.
	promptCacheTTL = 60 * time.Second
)

// promptKey names a part of a prompt in the memory of one engine.
type promptKey struct {
	server lavid.BackendServerID
	model  lavid.ModelID
	part   string
}

// promptCache remembers which engines have read which parts of promptCache for this host.
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

// add records that an engine reads a prompt.
func (p *promptCache) add(server lavid.BackendServerID, model lavid.ModelID, prompt Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		p.lastUsed.Add(promptKey{server, model, part.ID}, now)
	}
}

// cachedTokens returns the tokens at the front of the prompt that an engine has in memory.
func (p *promptCache) cachedTokens(server lavid.BackendServerID, model lavid.ModelID, prompt Prompt, now time.Time) lavid.Tokens {
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
