package lavescalation

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// confidenceBands is the number of bands of first confidences that are learned apart.
	confidenceBands = 10
	// priorRight is the probability that a second answer is right before any was seen, and priorAnswers the number of answers
	// that it counts for.
	priorRight   = 0.85
	priorAnswers = 5
	// forgetting is the factor by which each second answer lowers the weight of the earlier ones in its band.
	forgetting = 0.99
	// maxRoutes is the number of routes that are kept.
	maxRoutes = 1024
	// firstWeight is the weight of the newest first answer in the share of those that are to be replaced.
	firstWeight = 0.02
)

// band holds the second answers to requests whose first answers had similar confidences.
type band struct {
	right, answers float64
}

// routeGains holds what was seen on one route. Replaced is the share of first answers for which a second run was wanted.
type routeGains struct {
	bands    [confidenceBands]band
	replaced float64
}

// Gains holds what second runs have brought on each route. It is safe for concurrent use.
type Gains struct {
	mu     sync.Mutex
	routes *lru.Cache[string, *routeGains]
}

// NewGains returns gains without answers.
func NewGains() *Gains {
	routes, err := lru.New[string, *routeGains](maxRoutes)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &Gains{routes: routes}
}

// Observe records the confidence of a second answer to a request whose first answer had the given one.
func (g *Gains) Observe(route string, first, second Confidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := &g.route(route).bands[bandOf(first)]
	seen.right = forgetting*seen.right + second.Right()
	seen.answers = forgetting*seen.answers + 1
}

// Expected returns the probability that the second answer to a request is right.
func (g *Gains) Expected(route string, first Confidence) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := g.route(route).bands[bandOf(first)]
	return (seen.right + priorAnswers*priorRight) / (seen.answers + priorAnswers)
}

// ObserveFirst records a first answer, and whether a second run was wanted.
func (g *Gains) ObserveFirst(route string, wanted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := g.route(route)
	outcome := 0.0
	if wanted {
		outcome = 1
	}
	seen.replaced += firstWeight * (outcome - seen.replaced)
}

// Replaced returns the share of the first answers on a route for which a second run was wanted.
func (g *Gains) Replaced(route string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.route(route).replaced
}

// route returns what was seen on a route; the caller holds the mutex.
func (g *Gains) route(name string) *routeGains {
	seen, found := g.routes.Get(name)
	if !found {
		seen = &routeGains{}
		g.routes.Add(name, seen)
	}
	return seen
}

func bandOf(confidence Confidence) int {
	return min(max(int(confidence)*confidenceBands/100, 0), confidenceBands-1)
}
