package lavretry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Unlimited retries multiply the load on servers that already fail. When every attempt fails, the retries must stay within
// the initial budget and the earned share of the requests.
func TestBurstOfFailuresIsAmplifiedByATenthAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New()
		requests := rapid.IntRange(1, 3000).Draw(t, "requests")
		retries := 0
		for range requests {
			budget.RecordFirstAttempt("a", start)
			for budget.Spend("a", start) {
				retries++
			}
		}
		if float64(retries) > initialRemaining+earnedPerFirstAttempt*float64(requests)+1e-6 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestSmallAccountsMayRetryAndAccountsAreSeparate(t *testing.T) {
	is := is.New(t)
	budget := New()
	for budget.Spend("a", start) {
		continue
	}
	is.True(budget.Spend("b", start))
	is.True(!budget.Spend("a", start.Add(time.Second)))
	is.True(budget.Spend("a", start.Add(3*time.Second)))
	budget.Tick(start.Add(time.Hour))
	is.Equal(len(budget.accounts), 0)
}

func TestBackoffDoublesToItsBound(t *testing.T) {
	is := is.New(t)
	is.Equal(Backoff(0, 0.5), firstBackoff/2)
	is.Equal(Backoff(1, 0.5), firstBackoff)
	is.Equal(Backoff(100, 0.5), maxBackoff/2)
}
