package lavhedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func learned(scale time.Duration) *Hedger {
	random := rand.New(rand.NewPCG(1, 2))
	hedger := New()
	for range 5000 {
		hedger.Observe(time.Duration(random.Float64() * float64(scale)))
	}
	return hedger
}

func TestThresholdIsNearThe95thPercentile(t *testing.T) {
	is := is.New(t)
	after, ok := learned(100 * time.Millisecond).After(Work{Idempotent: true, Candidates: 1})
	is.True(ok)
	is.True(after > 85*time.Millisecond)
	is.True(after < 105*time.Millisecond)
}

func TestNoHedgeWhereItDoesNotPay(t *testing.T) {
	is := is.New(t)
	hedger := learned(100 * time.Millisecond)
	for _, work := range []Work{
		{Candidates: 1},
		{Idempotent: true},
		{Idempotent: true, Candidates: 1, Load: 0.9},
	} {
		_, ok := hedger.After(work)
		is.True(!ok)
	}
	_, ok := learned(10 * time.Second).After(Work{Idempotent: true, Candidates: 1})
	is.True(!ok)
}

func TestHedgesStayASmallPart(t *testing.T) {
	is := is.New(t)
	hedger := learned(100 * time.Millisecond)
	sent := 0
	for range 1000 {
		hedger.Observe(time.Millisecond)
		if hedger.Sent() {
			sent++
		}
	}
	is.True(sent <= 50+maxSaved)
}
