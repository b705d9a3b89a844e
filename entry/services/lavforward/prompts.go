package lavforward

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
)

const (
	// rememberedPrompts bounds the parts of prompts that are remembered.
	rememberedPrompts = 8192
	// cachedAge is how long a part is taken to stay in an engine's memory after its last use.
	cachedAge = 60 * time.Second
)

// promptKey names a part of a prompt in the memory of one engine.
type promptKey struct {
	server lavid.BackendServerID
	model  lavid.ModelID
	part   string
}

// prompts remembers which engines have read which parts of prompts for this host.
type prompts struct {
	read *lru.Cache[promptKey, time.Time]
}

func newPrompts() *prompts {
	cache, err := lru.New[promptKey, time.Time](rememberedPrompts)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &prompts{read: cache}
}

// sent records that an engine reads a prompt.
func (p *prompts) sent(server lavid.BackendServerID, model lavid.ModelID, prompt Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		p.read.Add(promptKey{server, model, part.ID}, now)
	}
}

// cached returns the tokens at the front of the prompt that an engine has in memory.
func (p *prompts) cached(server lavid.BackendServerID, model lavid.ModelID, prompt Prompt, now time.Time) lavid.Tokens {
	sum := lavid.Tokens(0)
	for _, part := range prompt.Parts {
		used, known := p.read.Peek(promptKey{server, model, part.ID})
		if !known || now.Sub(used) > cachedAge {
			break
		}
		sum += part.Tokens
	}
	return sum
}
