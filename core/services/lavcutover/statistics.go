package lavcutover

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Outcome is what one send says of the release that ran it.
type Outcome struct {
	// Kind groups sends that may be compared with each other.
	Kind string
	// Failed says that the server ran the request and failed it.
	Failed bool
}

// Key names what is counted together.
type Key struct {
	Service lavid.ServiceID
	Release lavid.ReleaseID
	Kind    string
}

// Counts are the answers of one key so far.
type Counts struct {
	Failures lavrollout.Sample
	Slow     lavrollout.Sample
	// Longer counts answers that took longer than the usual time, by however little.
	Longer lavrollout.Sample
	// Sends are counted when they go out, whatever becomes of them.
	Sends float64
}

// kindSends is the kind under which sends are counted.
const kindSends = ""

func addSamples(a, b lavrollout.Sample) lavrollout.Sample {
	return lavrollout.Sample{Trials: a.Trials + b.Trials, Bad: a.Bad + b.Bad}
}

const (
	// slowFactor times what is usual for the old releases counts as slow; how often they are is counted too.
	slowFactor = 2.5
	// longerFactor counts every time above the usual one.
	longerFactor = 1
	// timeWeight is the part of the newest answer in the usual time.
	baselineWeight = 0.1
	// knownTimes are needed before a time can be slow.
	minBaselineTimes = 5
)

// usual is the geometric mean of the times of one kind, which single slow answers move little.
type baseline struct {
	meanLog float64
	count   int
}

// tally counts this host's answers and keeps what peers counted.
type statistics struct {
	mu    sync.Mutex
	own   map[Key]Counts
	peers map[lavid.HostID]map[Key]Counts
	// times holds what is usual for each kind over all releases that are not under way.
	baselines map[string]baseline
	// waiting holds the answers that this host waits for.
	pendingTimings map[*Timing]struct{}
}

func newStatistics() *statistics {
	return &statistics{own: make(map[Key]Counts), peers: make(map[lavid.HostID]map[Key]Counts), baselines: make(map[string]baseline), pendingTimings: make(map[*Timing]struct{})}
}

// add counts one answer.
func (s *statistics) addOutcome(server lavserver.Server, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := Key{Service: server.Service, Release: server.Release, Kind: outcome.Kind}
	counts := s.own[key]
	counts.Failures.Trials++
	if outcome.Failed {
		counts.Failures.Bad++
	}
	s.own[key] = counts
}

// addTime counts a time that is known at once.
func (s *statistics) addDuration(server lavserver.Server, kind string, took time.Duration, oldRelease bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	baselineKey := string(server.Service) + "\x00" + kind
	s.countSlow(Key{Service: server.Service, Release: server.Release, Kind: kind}, baselineKey, took)
	if oldRelease {
		s.updateBaseline(baselineKey, took)
	}
}

// addSend counts a send.
func (s *statistics) addSend(server lavserver.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := Key{Service: server.Service, Release: server.Release, Kind: kindSends}
	counts := s.own[key]
	counts.Sends++
	s.own[key] = counts
}

// sends returns the sends of all hosts to a service, and those to the new release.
func (s *statistics) sendTotals(progress Progress) (sent, exposed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visit := func(rows map[Key]Counts) {
		for key, counts := range rows {
			if key.Service != progress.Service {
				continue
			}
			sent += counts.Sends
			if key.Release == progress.To {
				exposed += counts.Sends
			}
		}
	}
	visit(s.own)
	for _, rows := range s.peers {
		visit(rows)
	}
	return sent, exposed
}

// hear replaces what a peer counted.
func (s *statistics) setPeerCounts(peer lavid.HostID, counts map[Key]Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[peer] = counts
}

// ownCounts returns a copy of this host's counts of a service.
func (s *statistics) ownCounts(service lavid.ServiceID) map[Key]Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Key]Counts)
	for key, count := range s.own {
		if key.Service == service {
			counts[key] = count
		}
	}
	return counts
}

// clear forgets a service, as when a new cutover begins.
func (s *statistics) clear(service lavid.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := func(rows map[Key]Counts) {
		for key := range rows {
			if key.Service == service {
				delete(rows, key)
			}
		}
	}
	drop(s.own)
	for _, rows := range s.peers {
		drop(rows)
	}
}

// longerTimes is the test on answers that took longer than usual. Half of the least amount is what chance and the speeds of single servers may add.
var longerSettings = lavrollout.TestSettings{EffectSizes: []float64{0.15, 0.3}, PriorRate: 0.5}

type samples map[lavrollout.Stratum]lavrollout.Sample

// evidence returns how strongly the answers of all hosts speak against a release.
func (s *statistics) evidence(progress Progress, settings lavrollout.Settings) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	tested := [3]samples{{}, {}, {}}
	control := [3]samples{{}, {}, {}}
	visit := func(rows map[Key]Counts) {
		for key, counts := range rows {
			if key.Service != progress.Service {
				continue
			}
			target := &control
			if key.Release == progress.To {
				target = &tested
			}
			stratum := lavrollout.Stratum(key.Kind)
			target[0][stratum] = addSamples(target[0][stratum], counts.Failures)
			target[1][stratum] = addSamples(target[1][stratum], counts.Slow)
			target[2][stratum] = addSamples(target[2][stratum], counts.Longer)
		}
	}
	visit(s.own)
	for _, rows := range s.peers {
		visit(rows)
	}
	failures := lavrollout.ExcessLikelihoodRatio(tested[0], control[0], settings.Failures)
	slow := lavrollout.ExcessLikelihoodRatio(tested[1], control[1], settings.Failures)
	longer := lavrollout.ExcessLikelihoodRatio(tested[2], control[2], longerSettings)
	return max(failures, slow, longer)
}
