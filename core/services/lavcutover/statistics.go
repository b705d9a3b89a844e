package lavcutover

import (
	"maps"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Outcome is the result of one send that a backend server ran.
type Outcome struct {
	// Kind groups sends whose results may be compared with each other.
	Kind string
	// Failed reports whether the server ran the request and failed.
	Failed bool
}

// Key identifies the sends that are counted together: those of one kind to one release of a service.
type Key struct {
	Service lavid.ServiceID
	Release lavid.ReleaseID
	Kind    string
}

// Counts holds the counts of one key so far.
type Counts struct {
	// Failures counts failed answers as bad.
	Failures lavrollout.Sample
	// Slow counts slow times as bad.
	Slow lavrollout.Sample
	// Longer counts times above longerFactor times the baseline as bad.
	Longer lavrollout.Sample
	// Delayed counts times as bad that are slow for their work and the load of their server.
	Delayed lavrollout.Sample
	// Sends counts sends when they start, whatever their result.
	Sends float64
}

// Plus returns the sums of both counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Failures: addSamples(c.Failures, other.Failures),
		Slow:     addSamples(c.Slow, other.Slow),
		Longer:   addSamples(c.Longer, other.Longer),
		Delayed:  addSamples(c.Delayed, other.Delayed),
		Sends:    c.Sends + other.Sends,
	}
}

// Minus returns the counts without others that they contain; none is below zero.
func (c Counts) Minus(other Counts) Counts {
	subtract := func(a, b lavrollout.Sample) lavrollout.Sample {
		return lavrollout.Sample{Trials: max(a.Trials-b.Trials, 0), Bad: max(a.Bad-b.Bad, 0)}
	}
	return Counts{
		Failures: subtract(c.Failures, other.Failures),
		Slow:     subtract(c.Slow, other.Slow),
		Longer:   subtract(c.Longer, other.Longer),
		Delayed:  subtract(c.Delayed, other.Delayed),
		Sends:    max(c.Sends-other.Sends, 0),
	}
}

// Largest returns, for each sample, the one with more trials.
func (c Counts) Largest(other Counts) Counts {
	larger := func(a, b lavrollout.Sample) lavrollout.Sample {
		if b.Trials > a.Trials {
			return b
		}
		return a
	}
	return Counts{
		Failures: larger(c.Failures, other.Failures),
		Slow:     larger(c.Slow, other.Slow),
		Longer:   larger(c.Longer, other.Longer),
		Delayed:  larger(c.Delayed, other.Delayed),
		Sends:    max(c.Sends, other.Sends),
	}
}

// kindSends is the kind under which sends are counted.
const kindSends = ""

// addSamples returns the sum of two samples.
func addSamples(a, b lavrollout.Sample) lavrollout.Sample {
	return lavrollout.Sample{Trials: a.Trials + b.Trials, Bad: a.Bad + b.Bad}
}

const (
	// slowFactor is the multiple of the baseline above which a time is slow. Slow times of the old releases are counted too,
	// for comparison.
	slowFactor = 2.5
	// longerFactor is the multiple of the baseline above which a time counts as longer. New connections and single servers make
	// smaller differences, which show in all times where these hardly vary.
	longerFactor = 1.2
	// baselineWeight is the weight of the newest time in a baseline.
	baselineWeight = 0.1
	// minBaselineTimes is the number of times in a baseline before times are compared with it.
	minBaselineTimes = 5
)

// baseline is the usual time of one kind on the old releases: an exponentially weighted geometric mean, which single
// slow answers change little. meanLog is the mean of the logarithms of the times in nanoseconds.
type baseline struct {
	meanLog float64
	count   int
}

// statistics holds this host's counts and those of all other hosts.
type statistics struct {
	mu     sync.Mutex
	own    map[Key]Counts
	others map[Key]Counts
	// baselines holds one baseline per service and kind, over all releases but those that a cutover moves to.
	baselines map[string]baseline
	// pendingTimings holds the timings of answers that have not arrived.
	pendingTimings map[*Timing]struct{}
}

func newStatistics() *statistics {
	return &statistics{own: make(map[Key]Counts), others: make(map[Key]Counts), baselines: make(map[string]baseline), pendingTimings: make(map[*Timing]struct{})}
}

// addOutcome counts one answer.
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

// addDuration counts a completed duration.
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

// sendTotals returns the sends of all hosts to a service, and those of them to the new release.
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
	visit(s.others)
	return sent, exposed
}

// setOtherCounts replaces the counts of all other hosts about a service.
func (s *statistics) setOtherCounts(service lavid.ServiceID, counts map[Key]Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.others, func(key Key, _ Counts) bool { return key.Service == service })
	for key, count := range counts {
		if key.Service == service {
			s.others[key] = count
		}
	}
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

// clear removes the counts of a service, because a new cutover begins.
func (s *statistics) clear(service lavid.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ofService := func(key Key, _ Counts) bool { return key.Service == service }
	maps.DeleteFunc(s.own, ofService)
	maps.DeleteFunc(s.others, ofService)
}

// longerSettings are the parameters of the test on longer times. Half of the smallest effect size is the
// allowance for chance and for different speeds of single servers.
var longerSettings = lavrollout.TestSettings{EffectSizes: []float64{0.15, 0.3}, PriorRate: 0.5}

// delayedWeight is the weight of the test on delayed times. Each further test holds back some good releases at the end; half
// of the weight takes most of that back, while slow releases have far more evidence against them.
const delayedWeight = 0.5

// samples holds one sample per kind of send.
type samples map[lavrollout.Stratum]lavrollout.Sample

// evidence returns the evidence against a release from the answers of all hosts: the highest of the likelihood
// ratios for failures, slow times, longer times and delayed ones. It is 1 without answers.
func (s *statistics) evidence(progress Progress, settings lavrollout.Settings) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	tested := [4]samples{{}, {}, {}, {}}
	control := [4]samples{{}, {}, {}, {}}
	visit := func(rows map[Key]Counts) {
		for key, counts := range rows {
			if key.Service != progress.Service {
				continue
			}
			target := &control
			switch {
			case key.Release == progress.To:
				target = &tested
			case !progress.Past.comparable(key.Release):
				continue
			}
			stratum := lavrollout.Stratum(key.Kind)
			target[0][stratum] = addSamples(target[0][stratum], counts.Failures)
			target[1][stratum] = addSamples(target[1][stratum], counts.Slow)
			target[2][stratum] = addSamples(target[2][stratum], counts.Longer)
			target[3][stratum] = addSamples(target[3][stratum], counts.Delayed)
		}
	}
	visit(s.own)
	visit(s.others)
	failures := lavrollout.ExcessLikelihoodRatio(tested[0], control[0], settings.Failures)
	slow := lavrollout.ExcessLikelihoodRatio(tested[1], control[1], settings.Failures)
	longer := lavrollout.ExcessLikelihoodRatio(tested[2], control[2], longerSettings)
	delayed := lavrollout.MixedLikelihoodRatio(tested[3], control[3], settings.Failures)
	return max(failures, slow, longer, delayedWeight*delayed)
}
