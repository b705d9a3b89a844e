package lavbalance

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

// lateFleet simulates engines that read one prompt after another, each for longer or shorter than expected. Each prompt has engines that
// hold its beginning. The times are in seconds.
type lateFleet struct {
	// certain states that an answer counts as late or in time by its expectation alone.
	certain bool
	seed    uint64
}

const (
	lateEngines = 45
	lateTarget  = 3.0
	lateSeconds = 60.0
	// wholeRead and heldRead are the times of reading a whole prompt, and one whose beginning the engine holds.
	wholeRead = 0.85
	heldRead  = 0.2
	// timeSpread is the standard deviation of the logarithm of a time over its expectation.
	timeSpread = 0.5
	// workPerSecond is the work that an engine reads in a second, in tokens of the smallest model.
	workPerSecond = 60_000
)

// lateShare returns the share of prompts that are answered after their target, where the engines could read about as much as arrives.
func (f lateFleet) lateShare() float64 {
	random := rand.New(rand.NewPCG(f.seed, 11))
	// busy is the time until which each engine reads, and expected what hosts expect of it.
	busy, expected := make([]float64, lateEngines), make([]float64, lateEngines)
	late, count := 0, 0
	for now := 0.0; now < lateSeconds; now += wholeRead / lateEngines * 0.62 {
		holder := int(float64(lateEngines) * random.Float64() * random.Float64())
		engines := make([]Engine, lateEngines)
		for i := range engines {
			read := wholeRead
			if i == holder {
				read = heldRead
			}
			waits := max(expected[i]-now, 0)
			engines[i] = Engine{Unread: waits * workPerSecond, AddedWork: read * workPerSecond, Late: f.late(waits + read)}
		}
		best := LeastWork(engines)
		read := engines[best].AddedWork / workPerSecond
		busy[best] = max(busy[best], now) + read*math.Exp(timeSpread*random.NormFloat64())
		// Hosts learn from reports what an engine has not read.
		expected[best] = max(expected[best], now) + read
		expected[best] += 0.5 * (busy[best] - expected[best])
		count++
		if busy[best]-now > lateTarget {
			late++
		}
	}
	return float64(late) / float64(count)
}

// late returns the probability that an answer which is expected after the given time is late.
func (f lateFleet) late(after float64) lavid.Share {
	if f.certain {
		if after > lateTarget {
			return 1
		}
		return 0
	}
	return lavid.Share((1 + math.Erf(math.Log(after/lateTarget)/timeSpread/math.Sqrt2)) / 2)
}

// TestRiskOfBeingLateUnderLoad answers the pattern of prompts whose beginnings a few engines hold, with times that are hard to foretell:
// requests that are expected just in time at such an engine are often late, and go elsewhere before.
func TestRiskOfBeingLateUnderLoad(t *testing.T) {
	is := is.New(t)
	certain, risk := 0.0, 0.0
	const plays = 5
	for seed := range uint64(plays) {
		certain += lateFleet{certain: true, seed: seed}.lateShare() / plays
		risk += lateFleet{seed: seed}.lateShare() / plays
	}
	t.Logf("late: %.3f by the expectation, %.3f by the probability", certain, risk)
	is.True(certain > 0.02)
	is.True(risk <= certain/2)
}
