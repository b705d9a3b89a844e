package lavroute

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Kind says what of a route's requests may be repeated.
type Kind int

// The kinds of routes; the zero kind is the one that promises least.
const (
	// OnceOnly requests may run at most once.
	OnceOnly Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events; they may be repeated only where Resumable is set.
	Streaming
)

// String returns the kind as it stands in logs and metrics.
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

// Split is the part of a route's requests that goes to one service.
type Split struct {
	Service lavid.ServiceID
	Weight  float64
}

// Route says how requests of one host name and path prefix are served.
type Route struct {
	Name string
	// HostName is the name in the request, not a machine.
	HostName string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that the operator lets a request wait for its answer.
	Timeout time.Duration
	// LatencyTarget is for the whole answer, or for the first event of a stream.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between two events of a stream that is still in time.
	PauseTarget time.Duration
	// Urgency is the rank of the route; zero is the most urgent.
	Urgency int
	// Models are the models that the system may choose from, smallest first; none when the request names its model.
	Models []lavid.ModelID
	Splits []Split
	// Attempts is the most backend servers that one request may be sent to.
	Attempts int
	// Public routes take requests without a key.
	Public bool
	// Regions are those that a request of the route may reach; none says all.
	Regions []lavid.Region
	// Resumable streams may go on at another backend server after the last event that was delivered.
	Resumable bool
}

// Repeatable tells whether a request of the route may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of backend servers that do the same work.
type Service struct {
	ID             lavid.ServiceID
	HealthPath     string
	MaxConnections int
	// ColdRate is the number of requests per second that a cold backend server bears; zero when the service has no cold start.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int
	Capacity lavid.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens float64
	// Costs is the price of 1,000 generated tokens for each model, in the operator's unit of worth.
	Costs map[lavid.ModelID]float64
}

// Account is a client account.
type Account struct {
	ID lavid.AccountID
	// Urgency takes the place of the route's when HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// Regions are those that the account's requests may reach, beside the route's; none says all.
	Regions []lavid.Region
}

// MayReach tells whether a request of the route, for an account or none, may reach a region.
func (r *Route) MayReach(account *Account, region lavid.Region) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return account == nil || len(account.Regions) == 0 || slices.Contains(account.Regions, region)
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
