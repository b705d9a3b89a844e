package lavroute

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Kind states whether the requests of a route may be repeated.
type Kind int

// The kinds of routes. The zero value is OnceOnly, which permits the least.
const (
	// OnceOnly requests run at most once.
	OnceOnly Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They may be repeated only if Resumable is set.
	Streaming
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "once_only"
	}
}

// Split is the weighted share of a route's requests that goes to one service.
type Split struct {
	Service lavid.ServiceID
	Weight  float64
}

// Route defines how requests of one host name and path prefix are served.
type Route struct {
	Name string
	// HostName is the host name in the request, not that of a server.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the answer, as set by the operator. Zero means the default.
	Timeout time.Duration
	// LatencyTarget is the target latency of the whole answer, or of the first event of a stream.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between two events of a stream that still meets the target.
	PauseTarget time.Duration
	// Patience is how long callers of a stream wait for its next event, also for the first one. Zero means until the deadline.
	Patience time.Duration
	// Urgency is the priority of the route. Zero is the most urgent.
	Urgency int
	// Models lists the models to choose from, smallest first. It is empty if requests name their model.
	Models []lavid.ModelID
	Splits []Split
	// Attempts is the maximum number of backend servers that one request is sent to.
	Attempts int
	// Public routes accept requests without a key.
	Public bool
	// Regions lists the regions that requests of the route may reach. If empty, they may reach all.
	Regions []lavid.Region
	// Resumable streams may continue at another backend server after the last delivered event.
	Resumable bool
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// MayRunTwice reports whether the answer of one run may be dropped in favour of that of another.
func (r *Route) MayRunTwice() bool {
	return r.Repeatable() && r.Attempts >= 2
}

// HasModel reports whether requests of the route may ask for a model. A route without a list leaves that to the backend servers.
func (r *Route) HasModel(model lavid.ModelID) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, model)
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	ID             lavid.ServiceID
	HealthPath     string
	MaxConnections int
	// ColdRate is the number of requests per second that a cold backend server can take. Zero means no cold start.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine processes concurrently.
	Slots int
	// Capacity is the number of tokens that fit into the memory of one engine; zero if it is not stated.
	Capacity lavid.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens float64
	// Costs is the price of 1,000 generated tokens for each model, in the operator's currency unit.
	Costs map[lavid.ModelID]float64
}

// HasModel reports whether the engines of the service run a model.
func (s *Service) HasModel(model lavid.ModelID) bool {
	if s.Engine == nil {
		return false
	}
	_, found := s.Engine.Costs[model]
	return found
}

// Account is a client account.
type Account struct {
	ID lavid.AccountID
	// Urgency overrides the route's urgency if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// Regions lists the regions that the account's requests may reach, in addition to the limits of the route. If empty,
	// the account adds no limit.
	Regions []lavid.Region
}

// MayReach reports whether a request of the route may reach a region. The account may be nil.
func (r *Route) MayReach(account *Account, region lavid.Region) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return account == nil || len(account.Regions) == 0 || slices.Contains(account.Regions, region)
}

// Limits bounds the size and duration of what a client sends.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
