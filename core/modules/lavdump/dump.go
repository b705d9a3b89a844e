package lavdump

import (
	"net/http"
	"sync"

	"lavenderswitch/core/modules/lavhttp"
)

// Source returns a copy of the state of one component. The state must not contain keys or request bodies.
type Source func() any

// Registry holds the state sources of a process by name. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	sources map[string]Source
}

// NewRegistry returns a registry without sources.
func NewRegistry() *Registry {
	return &Registry{sources: make(map[string]Source)}
}

// Register adds a source under a name. It replaces an earlier source of the same name.
func (r *Registry) Register(name string, source Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources[name] = source
}

// ServeHTTP writes the state of all sources as a JSON object.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	sources := make(map[string]Source, len(r.sources))
	for name, source := range r.sources {
		sources[name] = source
	}
	r.mu.Unlock()
	state := make(map[string]any, len(sources))
	for name, source := range sources {
		state[name] = source()
	}
	lavhttp.WriteJSON(w, http.StatusOK, state)
}
