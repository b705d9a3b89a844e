package lavforecast

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
)

const (
	// serverWeight is the weight of the newest sample in the mean of a server's slowness, whose half-life without samples is
	// slownessHalfLife: a server that was slow becomes normal again without notice.
	serverWeight     = 0.3
	slownessHalfLife = 5 * time.Second
	// errorWeight is the weight of the newest sample in the mean error of a service.
	errorWeight = 0.03
	// maxServers is the number of servers whose slowness is kept.
	maxServers = 4096
	// minSeconds bounds the logarithms of times and predictions from below.
	minSeconds = 0.001
	// maxBeforeShare is the largest part of the work before a request, relative to its own, in the samples from which the time
	// per token is taken. What other hosts have sent lately is not known, and would make the engines seem faster.
	maxBeforeShare = 0.25
)

// Query describes a request at an engine.
type Query struct {
	Service lavid.ServiceID
	Server  lavid.BackendServerID
	// Own is the part of the prompt that the engine has to read, and Before what it has to read first, as far as this host
	// knows; both in tokens of the smallest model.
	Own    float64
	Before float64
}

// work returns what the engine reads until the first event.
func (q Query) work() float64 { return q.Own + q.Before }

// Estimate is the predicted time to a first event.
type Estimate struct {
	Expected time.Duration
	// High is exceeded by about one in ten answers.
	High time.Duration
	// Known is false before the first sample of the service; the times are then zero.
	Known bool
}

// slowness is the mean logarithm of seen over predicted times of a server.
type slowness struct {
	mean float64
	at   time.Time
}

// service holds what is known of the engines of a service.
type service struct {
	times regression
	// meanError is the mean of the absolute logarithm of seen over predicted times.
	meanError float64
}

// Forecaster predicts the first events of engines. It is safe for concurrent use.
type Forecaster struct {
	mu       sync.Mutex
	services map[lavid.ServiceID]*service
	servers  *lru.Cache[lavid.BackendServerID, slowness]
}

// New returns a forecaster without samples.
func New() *Forecaster {
	servers, err := lru.New[lavid.BackendServerID, slowness](maxServers)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &Forecaster{services: make(map[lavid.ServiceID]*service), servers: servers}
}

// Observe records the time to a first event. It returns the ratio of the seen to the predicted time, or zero for the first
// sample of a service.
func (f *Forecaster) Observe(query Query, took time.Duration, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := max(took.Seconds(), minSeconds)
	known, found := f.services[query.Service]
	if !found {
		known = &service{}
		f.services[query.Service] = known
	}
	ratio := 0.0
	if known.times.weight > 0 {
		usual := known.seconds(query.work())
		predicted := max(usual*math.Exp(f.slowness(query.Server, now)), minSeconds)
		ratio = seen / predicted
		known.meanError += errorWeight * (math.Abs(math.Log(ratio)) - known.meanError)
		mean := f.slowness(query.Server, now)
		f.servers.Add(query.Server, slowness{mean: mean + serverWeight*(math.Log(seen/usual)-mean), at: now})
	}
	if query.Before <= maxBeforeShare*query.Own {
		known.times.add(query.work(), seen)
	}
	return ratio
}

// seconds returns the usual time to the first event with the given work.
func (s *service) seconds(work float64) float64 {
	intercept, slope := s.times.line()
	return max(intercept+slope*work, minSeconds)
}

// slowness returns the mean logarithm of a server's times over the usual ones; the caller holds the mutex.
func (f *Forecaster) slowness(server lavid.BackendServerID, now time.Time) float64 {
	row, found := f.servers.Get(server)
	if !found {
		return 0
	}
	return row.mean * math.Exp2(-now.Sub(row.at).Seconds()/slownessHalfLife.Seconds())
}

// First predicts the time to the first event of a request that is sent now.
func (f *Forecaster) First(query Query, now time.Time) Estimate {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.services[query.Service]
	if !found || known.times.weight == 0 {
		return Estimate{}
	}
	expected := known.seconds(query.work()) * math.Exp(f.slowness(query.Server, now))
	// For errors with a normal distribution of the logarithm, one in ten exceeds 1.6 times the mean absolute error.
	high := expected * math.Exp(1.6*known.meanError)
	return Estimate{Expected: seconds(expected), High: seconds(high), Known: true}
}

// Delay predicts how much later the first event of a request comes because of work that the engine does before.
func (f *Forecaster) Delay(query Query, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.services[query.Service]
	if !found {
		return 0
	}
	_, slope := known.times.line()
	return seconds(slope * query.Before * math.Exp(f.slowness(query.Server, now)))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Slowness returns how many times longer than usual a server has taken recently; 1 without samples.
func (f *Forecaster) Slowness(server lavid.BackendServerID, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return math.Exp(f.slowness(server, now))
}
