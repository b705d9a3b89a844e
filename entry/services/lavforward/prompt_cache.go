package lavforward

import (
	"maps"
	"sync"
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

	mu sync.Mutex
	// holders holds the engines of the entries of lastUsed, by model and part.
	holders map[heldPart]map[lavserver.InstanceKey]bool
}

// heldPart is a prompt part as a model has read it.
type heldPart struct {
	model lavid.ModelID
	part  string
}

func newPromptCache() *promptCache {
	p := &promptCache{holders: make(map[heldPart]map[lavserver.InstanceKey]bool)}
	cache, err := lru.NewWithEvict(maxPromptParts, func(key promptKey, _ time.Time) { p.forget(key) })
	if err != nil {
		// NewWithEvict fails only for a size that is not positive.
		panic(err)
	}
	p.lastUsed = cache
	return p
}

// forget takes an engine off the holders of a part.
func (p *promptCache) forget(key promptKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := heldPart{key.model, key.part}
	delete(p.holders[part], key.server)
	if len(p.holders[part]) == 0 {
		delete(p.holders, part)
	}
}

// holdersOf returns the engines that may have cached the first part of a prompt.
func (p *promptCache) holdersOf(model lavid.ModelID, prompt Prompt) map[lavserver.InstanceKey]bool {
	if len(prompt.Parts) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.holders[heldPart{model, prompt.Parts[0].ID}])
}

// add records that the prompt was sent to an engine.
func (p *promptCache) add(server lavserver.InstanceKey, model lavid.ModelID, prompt Prompt, now time.Time) {
	for _, part := range prompt.Parts {
		p.lastUsed.Add(promptKey{server, model, part.ID}, now)
		p.hold(heldPart{model, part.ID}, server)
	}
}

// hold adds an engine to the holders of a part.
func (p *promptCache) hold(part heldPart, server lavserver.InstanceKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holders[part] == nil {
		p.holders[part] = make(map[lavserver.InstanceKey]bool)
	}
	p.holders[part][server] = true
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
