package lavbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pool(count int) []Candidate {
	candidates := make([]Candidate, 0, count)
	for i := range count {
		id := lavid.BackendServerID(fmt.Sprintf("server-%02d", i))
		candidates = append(candidates, Candidate{ID: id, Limit: 10, Running: 5, Reported: start})
	}
	return candidates
}

// shares counts the choices of each server.
func shares(candidates []Candidate) map[lavid.BackendServerID]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[lavid.BackendServerID]int{}
	for range 1000 {
		chosen, _ := Choose(candidates, random, start)
		counts[chosen.ID]++
	}
	return counts
}

func TestNoCandidate(t *testing.T) {
	_, ok := Choose(nil, rand.New(rand.NewPCG(1, 2)), start)
	is.New(t).True(!ok)
}

func TestFullServersAreLeftOutWhileOthersHaveRoom(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	for i := range candidates[1:] {
		candidates[i+1].Running = 10
	}
	is.Equal(shares(candidates)["server-00"], 1000)
}

func TestCachedPrefixAttractsUntilTheServerIsLoaded(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	candidates[3].CachedPrefix = 0.9
	is.True(shares(candidates)["server-03"] > 950)
	candidates[3].Running = 9
	is.True(shares(candidates)["server-03"] < 300)
}

func TestOwnWorkSinceTheReportCounts(t *testing.T) {
	is := is.New(t)
	candidates := pool(2)
	candidates[0].OwnSince = 3
	is.Equal(shares(candidates)["server-01"], 1000)
}

func TestNearServersComeFirstUntilTheyAreFull(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	for i := range candidates[1:] {
		candidates[i+1].Distance = OtherRegion
	}
	is.Equal(shares(candidates)["server-00"], 1000)
	candidates[0].Running = 10
	is.Equal(shares(candidates)["server-00"], 0)
}

func TestReturningServerTakesLess(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	even := shares(candidates)["server-04"]
	candidates[4].Admitted = Ramp(start, start.Add(time.Second))
	is.True(shares(candidates)["server-04"] < even/2)
	is.Equal(Ramp(start, start.Add(rampTime)), lavid.Share(1))
}

func TestSubsetIsBoundedStableAndSpreads(t *testing.T) {
	is := is.New(t)
	candidates := pool(100)
	seen := map[lavid.BackendServerID]bool{}
	for host := range 40 {
		subset := Subset(candidates, lavid.HostID(fmt.Sprint(host)), SubsetSize)
		is.True(len(subset) <= SubsetSize)
		for _, candidate := range subset {
			seen[candidate.ID] = true
		}
	}
	is.Equal(len(seen), 100)
}

func TestFailurePauseDoublesAndEnds(t *testing.T) {
	is := is.New(t)
	health := Health{}.Fail(start)
	is.True(!health.Usable(start.Add(firstPause - 1)))
	is.True(health.Usable(start.Add(firstPause)))
	health = health.Fail(start.Add(firstPause))
	is.Equal(health.FailedUntil, start.Add(3*firstPause))
	is.Equal(health.Succeed(start.Add(time.Hour)).Failures, 0)
}
