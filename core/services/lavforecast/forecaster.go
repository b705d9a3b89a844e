package lavforecast

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavload"
)

const (
	// slownessHalfLife is the time in which the weight of a sample in a server's slowness halves: a server that was slow
	// becomes normal again without notice.
	slownessHalfLife = 3 * time.Second
	// priorWeight is the number of samples at usual speed that each server is taken to have.
	priorWeight = 2
	// maxLogRatio bounds the logarithm of seen over usual times, so that a single answer that waited says little.
	maxLogRatio = 2
	// minSlowness is the logarithm of the slowness from which hosts tell each other of a server.
	minSlowness = 0.2
	// minWeight is the weight below which the samples of a server are forgotten.
	minWeight = 0.05
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
	// Spread is the standard deviation of the logarithm of seen over predicted times.
	Spread float64
	// Known is false before the first sample of the service; the times are then zero.
	Known bool
}

// Speed is the sum of the logarithms of seen over usual times at a server, and the weight of these samples.
type Speed struct {
	Sum    float64
	Weight float64
}

// Plus returns the sum of both speeds.
func (s Speed) Plus(other Speed) Speed {
	return Speed{Sum: s.Sum + other.Sum, Weight: s.Weight + other.Weight}
}

// Slow reports whether the samples show that the server is slower than usual by more than chance.
func (s Speed) Slow() bool {
	return s.Sum/(s.Weight+priorWeight) > minSlowness
}

// Minus returns the speed without another one that it contains.
func (s Speed) Minus(other Speed) Speed {
	if other.Weight >= s.Weight {
		return Speed{}
	}
	return Speed{Sum: s.Sum - other.Sum, Weight: s.Weight - other.Weight}
}

// observed is the speed of a server as this host has seen it, as of a time.
type observed struct {
	Speed
	at time.Time
}

// since returns the speed with the weight that it has now.
func (o observed) since(now time.Time) Speed {
	share := math.Exp2(-now.Sub(o.at).Seconds() / slownessHalfLife.Seconds())
	return Speed{Sum: share * o.Sum, Weight: share * o.Weight}
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
	servers  *lru.Cache[lavid.BackendServerID, observed]
	// peers holds the speeds that all other hosts have seen, which count until peersUntil.
	peers      map[lavload.ServerKey]Speed
	peersUntil time.Time
}

// New returns a forecaster without samples.
func New() *Forecaster {
	servers, err := lru.New[lavid.BackendServerID, observed](maxServers)
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
		logRatio := max(min(math.Log(seen/usual), maxLogRatio), -maxLogRatio)
		row, _ := f.servers.Get(query.Server)
		f.servers.Add(query.Server, observed{Speed: row.since(now).Plus(Speed{Sum: logRatio, Weight: 1}), at: now})
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

// slowness returns the mean logarithm of a server's times over the usual ones, as all hosts have seen them; the caller holds
// the mutex.
func (f *Forecaster) slowness(server lavid.BackendServerID, now time.Time) float64 {
	row, _ := f.servers.Get(server)
	speed := row.since(now)
	if now.Before(f.peersUntil) {
		speed = speed.Plus(f.peers[lavload.KeyOf(server)])
	}
	return speed.Sum / (speed.Weight + priorWeight)
}

// Speeds returns the speeds of servers that this host has seen lately.
func (f *Forecaster) Speeds(now time.Time) map[lavload.ServerKey]Speed {
	f.mu.Lock()
	defer f.mu.Unlock()
	speeds := make(map[lavload.ServerKey]Speed)
	for _, server := range f.servers.Keys() {
		row, _ := f.servers.Peek(server)
		speed := row.since(now)
		if speed.Weight < minWeight {
			f.servers.Remove(server)
			continue
		}
		key := lavload.KeyOf(server)
		speeds[key] = speeds[key].Plus(speed)
	}
	return speeds
}

// SetPeerSpeeds replaces the speeds that all other hosts have seen. They count until the given time. The forecaster keeps the
// map.
func (f *Forecaster) SetPeerSpeeds(speeds map[lavload.ServerKey]Speed, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers, f.peersUntil = speeds, until
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
	spread := known.meanError * math.Sqrt(math.Pi/2)
	return Estimate{Expected: seconds(expected), High: seconds(high), Spread: spread, Known: true}
}

// Within returns the probability that a time with the given expectation is at most limit. The spread is the standard deviation of
// the logarithm of the time.
func Within(expected time.Duration, spread float64, limit time.Duration) lavid.Share {
	switch {
	case limit <= 0:
		return 0
	case expected <= 0:
		return 1
	case spread <= 0 && expected <= limit:
		return 1
	case spread <= 0:
		return 0
	}
	deviation := math.Log(limit.Seconds()/expected.Seconds()) / spread
	return lavid.Share((1 + math.Erf(deviation/math.Sqrt2)) / 2)
}

// ReadRate returns the work that a server reads a second, or zero before the first sample of the service.
func (f *Forecaster) ReadRate(service lavid.ServiceID, server lavid.BackendServerID, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.services[service]
	if !found {
		return 0
	}
	_, slope := known.times.line()
	if slope <= 0 {
		return 0
	}
	return math.Exp(-f.slowness(server, now)) / slope
}

// ReadTime predicts how long an engine of usual speed reads the request's own part of the prompt.
func (f *Forecaster) ReadTime(query Query) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.services[query.Service]
	if !found {
		return 0
	}
	_, slope := known.times.line()
	return seconds(slope * query.Own)
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
