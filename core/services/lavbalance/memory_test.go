package lavbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

// TestFreeEngineTakesALargeRequest guards against a reserve that keeps requests from engines while nothing arrives.
func TestFreeEngineTakesALargeRequest(t *testing.T) {
	is := is.New(t)
	is.True(FitsMemory(500_000, 500_000, true, Arrivals{}))
	is.True(!FitsMemory(500_001, 500_000, true, Arrivals{}))
	is.True(FitsMemory(200_000, 500_000, false, Arrivals{}))
	is.True(!FitsMemory(400_000, 500_000, false, Arrivals{})) // for the keeper alone
	is.True(!FitsMemory(490_000, 500_000, true, Arrivals{Requests: 1, Memory: 8000}))
	is.True(FitsMemory(1e9, 0, false, Arrivals{Requests: 9, Memory: 8000})) // the capacity is not known
}

// TestHostsTogetherStayWithinTheMemoryOfEngines answers the pattern of many hosts that send long prompts to the same engines on
// reports of 0.3 and 0.8 s, at 1.3 times what their memory holds: an engine ends once its requests exceed its memory. Without the
// reserve for what other hosts send meanwhile they do.
func TestHostsTogetherStayWithinTheMemoryOfEngines(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{6, 29, 68} {
		for _, every := range []float64{0.3, 0.8} {
			t.Run(fmt.Sprintf("%d hosts, %v s", hosts, every), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				is.Equal(exceeded(hosts, every, true), 0)
				is.True(exceeded(hosts, every, false) > 0) // the load is one that needs the reserve
			})
		}
	}
}

// exceeded plays 60 s and returns how many times an engine got more than its memory holds.
func exceeded(hosts int, every float64, reserve bool) int {
	const (
		servers     = 40
		capacity    = 500_000
		meanTokens  = 12_000
		holdSeconds = 4.0
		step        = 0.01
	)
	random := rand.New(rand.NewPCG(uint64(hosts), 5))
	used, reported := make([]lavid.Tokens, servers), make([]lavid.Tokens, servers)
	own := make([][]lavid.Tokens, hosts)
	for i := range own {
		own[i] = make([]lavid.Tokens, servers)
	}
	type hold struct {
		until  float64
		server int
		tokens lavid.Tokens
	}
	var holds []hold
	rate := 1.3 * servers * capacity / (meanTokens * holdSeconds)
	sentRate, open := 0.0, servers
	sent, reportedAt, times := 0.0, 0.0, 0
	for now := 0.0; now < 60; now += step {
		kept := holds[:0]
		for _, item := range holds {
			if item.until <= now {
				used[item.server] -= item.tokens
				continue
			}
			kept = append(kept, item)
		}
		holds = kept
		if now-reportedAt >= every {
			copy(reported, used)
			sentRate, sent, reportedAt = max(sent/every, sentRate/2), 0, now
			open = 0
			for _, tokens := range reported {
				if IsShared(tokens, capacity) {
					open++
				}
			}
			for i := range own {
				clear(own[i])
			}
		}
		for count := poisson(random, rate*step); count > 0; count-- {
			host, server := random.IntN(hosts), random.IntN(servers)
			tokens := lavid.Tokens(meanTokens * random.ExpFloat64())
			// The hosts see the rate of what was sent, not of what waits.
			arrivals := Arrivals{Requests: max(sentRate, 1) * (now - reportedAt + step) / float64(max(open, 1)) * float64(hosts-1) / float64(hosts), Memory: meanTokens}
			if !reserve {
				arrivals = Arrivals{}
			}
			if !FitsMemory(reported[server]+own[host][server]+tokens, capacity, !reserve || server%hosts == host, arrivals) {
				continue
			}
			used[server] += tokens
			own[host][server] += tokens
			sent++
			holds = append(holds, hold{until: now + holdSeconds, server: server, tokens: tokens})
			if used[server] > capacity {
				times++
			}
		}
	}
	return times
}
