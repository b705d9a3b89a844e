package lavforecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

var start = time.Unix(1000, 0)

// trueTime returns the time of a first event: a fixed part, the work at 20 tokens a millisecond, and up to a fifth by chance.
func trueTime(random *rand.Rand, work, slow float64) time.Duration {
	return time.Duration((0.1 + work/20_000) * slow * (0.9 + 0.2*random.Float64()) * float64(time.Second))
}

func TestUnknownServiceHasNoEstimate(t *testing.T) {
	is := is.New(t)
	is.Equal(New().First(Query{Service: "pool", Server: "a", Work: 1000}, start), Estimate{})
}

func TestEstimateFollowsWork(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	f := New()
	var errors []float64
	for i := range 400 {
		work := 200 + 40_000*random.Float64()
		ratio := f.Observe(Query{Service: "pool", Server: "a", Work: work}, trueTime(random, work, 1), start.Add(time.Duration(i)*50*time.Millisecond))
		if i > 50 {
			errors = append(errors, math.Abs(math.Log(ratio)))
		}
	}
	mean := 0.0
	for _, value := range errors {
		mean += value / float64(len(errors))
	}
	is.True(mean < 0.15)
	now := start.Add(20 * time.Second)
	for _, work := range []float64{500, 10_000, 40_000} {
		estimate := f.First(Query{Service: "pool", Server: "a", Work: work}, now)
		usual := 0.1 + work/20_000
		is.True(math.Abs(estimate.Expected.Seconds()/usual-1) < 0.2)
		is.True(estimate.High > estimate.Expected)
	}
}

// TestSlowServerIsTold guards against requests that go on waiting at a server that turned slow while the others are normal,
// and against a server that counts as slow for ever.
func TestSlowServerIsTold(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 2))
	f := New()
	now := start
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		server, slow := lavid.BackendServerID("normal"), 1.0
		if i%6 == 0 {
			server, slow = "slow", 3.5
		}
		work := 1000 + 20_000*random.Float64()
		f.Observe(Query{Service: "pool", Server: server, Work: work}, trueTime(random, work, slow), now)
	}
	is.True(f.Slowness("slow", now) > 2)
	is.True(f.Slowness("normal", now) < 1.2)
	is.True(f.Slowness("unknown", now) == 1)
	is.True(f.Slowness("slow", now.Add(30*time.Second)) < 1.05)
}

func TestBandFollowsTheOutlook(t *testing.T) {
	known := func(expected time.Duration) Estimate {
		return Estimate{Expected: expected, High: expected, Known: true}
	}
	tests := []struct {
		name    string
		outlook Outlook
		band    Band
	}{
		{"unknown engines", Outlook{TargetLeft: time.Second, DeadlineLeft: time.Second}, InTime},
		{"in time", Outlook{Ahead: known(time.Second), Behind: known(time.Minute), TargetLeft: 2 * time.Second, DeadlineLeft: 9 * time.Second}, InTime},
		{"late by less than the prediction errs", Outlook{Ahead: known(2200 * time.Millisecond), Behind: known(3 * time.Second), TargetLeft: 2 * time.Second, DeadlineLeft: 9 * time.Second}, InTime},
		{"late", Outlook{Ahead: known(3 * time.Second), Behind: known(3 * time.Second), TargetLeft: 2 * time.Second, DeadlineLeft: 9 * time.Second}, Deferred},
		{"late already", Outlook{Ahead: known(100 * time.Millisecond), Behind: known(time.Second), TargetLeft: -time.Second, DeadlineLeft: 9 * time.Second}, Deferred},
		{"after the deadline", Outlook{Ahead: known(3 * time.Second), Behind: known(20 * time.Second), TargetLeft: 2 * time.Second, DeadlineLeft: 9 * time.Second}, Hopeless},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(Choose(test.outlook), test.band)
		})
	}
}
