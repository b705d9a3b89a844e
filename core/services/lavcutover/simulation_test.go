package lavcutover

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedRelease is a release whose answers take longer than those of the old one: by a factor for a share of them, and by
// added for all.
type simulatedRelease struct {
	factor, share float64
	added         time.Duration
}

// simulatedKinds holds the usual times to the first event on servers without load.
var simulatedKinds = []struct {
	name  string
	usual time.Duration
}{
	{"chat/small", 30 * time.Millisecond},
	{"chat/large", 120 * time.Millisecond},
	{"draft/small", 200 * time.Millisecond},
	{"draft/large", 700 * time.Millisecond},
}

// play simulates the trial of a release with the given number of answers, of which one in eight is the new release's. The old
// servers have a load that makes answers longer by a factor, of which forecasts know a half in the logarithm. It returns the
// evidence after each tenth of the trial.
func (s simulatedRelease) play(random *rand.Rand, answers int, load float64) []float64 {
	c := runningCutovers()
	var evidence []float64
	for i := range answers {
		kind := simulatedKinds[random.IntN(len(simulatedKinds))]
		noise, forecastNoise := math.Exp(0.4*random.NormFloat64()), math.Exp(0.2*random.NormFloat64())
		expected := float64(kind.usual) * forecastNoise
		took := float64(kind.usual) * noise
		server := serverOf("v1")
		if i%8 == 7 {
			server = serverOf("v2")
			if random.Float64() < s.share {
				took *= s.factor
			}
			took += float64(s.added)
		} else {
			spread := math.Exp(random.Float64() * math.Log(load))
			took, expected = took*spread, expected*math.Sqrt(spread)
		}
		awaited := Awaited{Kind: kind.name, Varied: true, Expected: time.Duration(expected)}
		c.StartTiming(server, awaited, start).Answered(start.Add(time.Duration(took)))
		if (i+1)%(answers/10) == 0 {
			evidence = append(evidence, c.Statuses()[0].Evidence)
		}
	}
	return evidence
}

// TestSimulatedReleases guards against good releases that are stopped, and against slow ones that are completed because the old
// servers have load and the new ones have none.
func TestSimulatedReleases(t *testing.T) {
	const plays = 200
	for _, test := range []struct {
		name        string
		release     simulatedRelease
		answers     int
		load        float64
		minStopped  float64
		maxStopped  float64
		minHeldBack float64
	}{
		// Each of the four tests may stop one good release in a hundred.
		{"good, without load", simulatedRelease{}, 800, 1, 0, 0.04, 0},
		{"good, with load", simulatedRelease{}, 800, 12, 0, 0.04, 0},
		{"good, few answers", simulatedRelease{}, 160, 12, 0, 0.04, 0},
		{"all eight times as long", simulatedRelease{factor: 8, share: 1}, 800, 12, 0.99, 1, 0.99},
		{"half eight times as long", simulatedRelease{factor: 8, share: 0.5}, 800, 12, 0.99, 1, 0.99},
		{"all four times as long", simulatedRelease{factor: 4, share: 1}, 800, 6, 0.99, 1, 0.99},
		{"half eight times as long, few answers", simulatedRelease{factor: 8, share: 0.5}, 240, 12, 0, 1, 0.9},
		{"all twice as long, without load", simulatedRelease{factor: 2, share: 1}, 800, 1, 0.99, 1, 0.99},
		{"140 ms longer, without load", simulatedRelease{added: 140 * time.Millisecond}, 800, 1, 0.99, 1, 0.99},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			stopped, heldBack := 0.0, 0.0
			for seed := range uint64(plays) {
				evidence := test.release.play(rand.New(rand.NewPCG(seed, 1)), test.answers, test.load)
				for _, at := range evidence {
					if at >= 100 {
						stopped += 1.0 / plays
						break
					}
				}
				if evidence[len(evidence)-1] > 1 {
					heldBack += 1.0 / plays
				}
			}
			t.Logf("%.3f stopped, %.3f not completed", stopped, heldBack)
			is.True(stopped >= test.minStopped && stopped <= test.maxStopped+1e-9)
			is.True(heldBack >= test.minHeldBack) // the evidence at the end allows no completion
		})
	}
}
