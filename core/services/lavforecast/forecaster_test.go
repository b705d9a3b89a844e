package lavforecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavload"
)

var start = time.Unix(1000, 0)

// trueTime returns the time of a first event: a fixed part, the work at 20 tokens a millisecond, and up to a fifth by chance.
func trueTime(random *rand.Rand, work, slow float64) time.Duration {
	return time.Duration((0.1 + work/20_000) * slow * (0.9 + 0.2*random.Float64()) * float64(time.Second))
}

func TestUnknownServiceHasNoEstimate(t *testing.T) {
	is := is.New(t)
	is.Equal(New().First(Query{Service: "pool", Server: "a", Own: 1000}, start), Estimate{})
}

func TestEstimateFollowsWork(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	f := New()
	var errors []float64
	for i := range 400 {
		work := 200 + 40_000*random.Float64()
		ratio := f.Observe(Query{Service: "pool", Server: "a", Own: work}, trueTime(random, work, 1), start.Add(time.Duration(i)*50*time.Millisecond))
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
		estimate := f.First(Query{Service: "pool", Server: "a", Own: work}, now)
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
		f.Observe(Query{Service: "pool", Server: server, Own: work}, trueTime(random, work, slow), now)
	}
	is.True(f.Slowness("slow", now) > 2)
	is.True(f.Slowness("normal", now) < 1.2)
	is.True(f.Slowness("unknown", now) == 1)
	is.True(f.Slowness("slow", now.Add(30*time.Second)) < 1.05)
}

// TestHostsTellEachOtherOfASlowServer guards against each host finding a slow server by its own requests: with many hosts,
// each has few answers of a server.
func TestHostsTellEachOtherOfASlowServer(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 4))
	hosts := make([]*Forecaster, 30)
	now := start
	for i := range hosts {
		hosts[i] = New()
		for range 60 {
			work := 1000 + 20_000*random.Float64()
			hosts[i].Observe(Query{Service: "pool", Server: "normal", Own: work}, trueTime(random, work, 1), now)
		}
		hosts[i].Observe(Query{Service: "pool", Server: "slow", Own: 10_000}, trueTime(random, 10_000, 3.5), now)
	}
	is.True(hosts[0].Slowness("slow", now) < 1.7) // one answer says little
	sum := make(map[lavload.ServerKey]Speed)
	for _, host := range hosts[1:] {
		for server, speed := range host.Speeds(now) {
			sum[server] = sum[server].Plus(speed)
		}
	}
	hosts[0].SetPeerSpeeds(sum, now.Add(time.Second))
	is.True(hosts[0].Slowness("slow", now) > 2.5)
	is.True(hosts[0].Slowness("normal", now) < 1.2)
	is.True(hosts[0].Slowness("slow", now.Add(time.Second)) < 1.7) // the others fell silent
}

// TestUnknownWorkOfOthersDoesNotHideTheTimePerToken guards against engines that seem to read a backlog in no time, because the
// hosts do not know what others have sent lately.
func TestUnknownWorkOfOthersDoesNotHideTheTimePerToken(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	f := New()
	now := start
	for range 600 {
		now = now.Add(20 * time.Millisecond)
		own, before, unknown := 200+10_000*random.Float64(), 0.0, 0.0
		if random.IntN(2) == 0 {
			before, unknown = 40_000*random.Float64(), 40_000*random.Float64()
		}
		f.Observe(Query{Service: "pool", Server: "a", Own: own, Before: before}, trueTime(random, own+max(before+unknown-40_000, 0)+unknown/2, 1), now)
	}
	delay := f.Delay(Query{Service: "pool", Server: "b", Before: 40_000}, now)
	is.True(delay > 1600*time.Millisecond) // 2 s
	is.True(delay < 2400*time.Millisecond)
}
