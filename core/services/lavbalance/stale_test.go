package lavbalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// staleFleet simulates hosts that choose servers by reports of each other's work, some time old. Servers read one second of work a
// second at speed one.
type staleFleet struct {
	hosts, servers int
	// reportEvery is the time between two reports in seconds; all hosts get the same ones.
	reportEvery float64
	// slow and fresh set the speed of the first server to a third, and empty a third of the servers halfway.
	slow, fresh bool
	seed        uint64
}

// spread is what a policy brought: the share of time that some server had work for over half a second while another had none, the
// 99th percentile of the work before a request, and the mean over time of the standard deviation between servers; in seconds.
type spread struct {
	waste, p99, deviation float64
}

func (s *spread) add(other spread) {
	s.waste += other.waste
	s.p99 += other.p99
	s.deviation += other.deviation
}

const (
	simulatedStep    = 0.01
	simulatedSeconds = 20
	simulatedLoad    = 0.75
	meanWork         = 0.25
)

// run plays the fleet. With aged, hosts allow for the age of the reports: they take servers to have read on since, and sample fewer
// of them once many requests are unreported.
func (f staleFleet) run(aged bool) spread {
	random := rand.New(rand.NewPCG(f.seed, 7))
	speeds := make([]float64, f.servers)
	capacity := 0.0
	for i := range speeds {
		speeds[i] = 0.7 + 0.6*random.Float64()
		if f.slow && i == 0 {
			speeds[i] = 0.3
		}
		capacity += speeds[i]
	}
	weights := make([]float64, f.hosts)
	total := 0.0
	for i := range weights {
		weights[i] = 0.1 + random.Float64()
		total += weights[i]
	}
	rate := simulatedLoad * capacity / meanWork
	work, reported := make([]float64, f.servers), make([]float64, f.servers)
	own := make([][]float64, f.hosts)
	for i := range own {
		own[i] = make([]float64, f.servers)
	}
	var result spread
	var ahead []float64
	reportedAt, steps := 0.0, 0
	for now := 0.0; now < simulatedSeconds; now += simulatedStep {
		if f.fresh && math.Abs(now-simulatedSeconds/2) < simulatedStep/2 {
			for i := range f.servers / 3 {
				work[i] = 0
			}
		}
		if now-reportedAt >= f.reportEvery {
			copy(reported, work)
			reportedAt = now
			for i := range own {
				clear(own[i])
			}
		}
		for count := poisson(random, rate*simulatedStep); count > 0; count-- {
			host := drawHost(random, weights, total)
			age := now - reportedAt
			added := meanWork * random.ExpFloat64()
			engines := make([]Engine, f.servers)
			for i := range engines {
				engines[i] = Engine{Unread: known(reported[i]-read(aged, speeds[i], age), own[host][i]), AddedWork: unit * added, WholeWork: unit * added, Slowness: 1 / speeds[i]}
			}
			size := freshSample
			if aged {
				size = SampleSize(rate * age * float64(f.hosts-1) / float64(f.hosts*f.servers))
			}
			chosen := LeastWorkOfSample(engines, size, random.Float64)
			ahead = append(ahead, work[chosen]/speeds[chosen])
			work[chosen] += added
			own[host][chosen] += added
		}
		longest, idle, sum, squares := 0.0, false, 0.0, 0.0
		for i := range work {
			work[i] = max(work[i]-speeds[i]*simulatedStep, 0)
			seconds := work[i] / speeds[i]
			longest, idle = max(longest, seconds), idle || work[i] == 0
			sum += seconds
			squares += seconds * seconds
		}
		if longest > 0.5 && idle {
			result.waste++
		}
		mean := sum / float64(f.servers)
		result.deviation += math.Sqrt(max(squares/float64(f.servers)-mean*mean, 0))
		steps++
	}
	slices.Sort(ahead)
	result.p99 = ahead[len(ahead)*99/100]
	result.waste /= float64(steps)
	result.deviation /= float64(steps)
	return result
}

// unit is the number of tokens that a server reads in a second.
const unit = 50_000

// read returns the seconds of work by which a host takes the work at a server to be less than reported, as lavload.Table.Expected
// does.
func read(aged bool, speed, age float64) float64 {
	if !aged {
		return 0
	}
	return 0.5 * speed * age
}

// known returns what a host takes a server to have before a request, in tokens.
func known(reported, own float64) float64 { return unit * (max(reported, 0) + own) }

func drawHost(random *rand.Rand, weights []float64, total float64) int {
	at := random.Float64() * total
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// poisson returns a number of arrivals with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count, left := 0, random.ExpFloat64()
	for left < mean {
		count++
		left += random.ExpFloat64()
	}
	return count
}

// TestSampleFollowsTheAgeOfReports answers the pattern of servers that are overrun in turns while others idle, as many hosts choose
// by the same old reports. With reports of 0.8 s and older, the work ahead of a request and the differences between servers are
// less than without regard to the age, and with fresh reports they are no larger.
func TestSampleFollowsTheAgeOfReports(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{6, 29, 68, 420} {
		for _, every := range []float64{0.05, 0.3, 0.8, 2} {
			t.Run(fmt.Sprintf("%d hosts, %v s", hosts, every), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var before, after spread
				for seed := range uint64(max(600/hosts, 8)) {
					fleet := staleFleet{hosts: hosts, servers: 2 * min(hosts, 40), reportEvery: every, slow: hosts > 6, fresh: true, seed: seed}
					before.add(fleet.run(false))
					after.add(fleet.run(true))
				}
				t.Logf("before %+v, after %+v", before, after)
				most := 1.05
				if every >= 0.8 {
					most = 1
				}
				is.True(after.p99 <= most*before.p99)             // work ahead of a request
				is.True(after.deviation <= most*before.deviation) // between servers
				is.True(after.waste <= 1.05*before.waste)         // time that some server waits while another idles
			})
		}
	}
}

// TestFewEnginesAreSampledOnceReportsAreOld guards against hosts that follow old reports to the same engines.
func TestFewEnginesAreSampledOnceReportsAreOld(t *testing.T) {
	is := is.New(t)
	is.Equal(SampleSize(0), freshSample)
	is.Equal(SampleSize(staleRequests), staleSample)
}
