package lavhedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func hedgerWithLatencies(maxLatency time.Duration) *Hedger {
	random := rand.New(rand.NewPCG(1, 2))
	hedger := New()
	for range 5000 {
		hedger.Observe(time.Duration(random.Float64() * float64(maxLatency)))
	}
	return hedger
}

func TestThresholdIsNearThe95thPercentile(t *testing.T) {
	is := is.New(t)
	delay, ok := hedgerWithLatencies(100 * time.Millisecond).Delay(Conditions{Idempotent: true, Candidates: 1})
	is.True(ok)
	is.True(delay > 85*time.Millisecond)
	is.True(delay < 105*time.Millisecond)
}

func TestNoHedgeForUnsuitableRequests(t *testing.T) {
	is := is.New(t)
	hedger := hedgerWithLatencies(100 * time.Millisecond)
	for _, conditions := range []Conditions{
		{Candidates: 1},
		{Idempotent: true},
		{Idempotent: true, Candidates: 1, Load: 0.9},
	} {
		_, ok := hedger.Delay(conditions)
		is.True(!ok)
	}
	_, ok := hedgerWithLatencies(10 * time.Second).Delay(Conditions{Idempotent: true, Candidates: 1})
	is.True(!ok)
}

func TestHedgesStayWithinTheirShare(t *testing.T) {
	is := is.New(t)
	hedger := hedgerWithLatencies(100 * time.Millisecond)
	sent := 0
	for range 1000 {
		hedger.Observe(time.Millisecond)
		if hedger.Spend() {
			sent++
		}
	}
	is.True(sent <= 50+maxBudget)
}
