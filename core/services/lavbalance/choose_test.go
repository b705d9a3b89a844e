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
		candidates = append(candidates, Candidate{ID: id, Limit: 10, Running: 5, ReportedAt: start})
	}
	return candidates
}

// choiceCounts returns how often each server is chosen in 1000 choices.
func choiceCounts(candidates []Candidate) map[lavid.BackendServerID]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[lavid.BackendServerID]int{}
	for range 1000 {
		chosen, _ := Choose(candidates, random, start)
		counts[chosen.ID]++
	}
	return counts
}

func TestChooseReturnsFalseWithoutCandidates(t *testing.T) {
	_, ok := Choose(nil, rand.New(rand.NewPCG(1, 2)), start)
	is.New(t).True(!ok)
}

func TestFullServersAreAvoidedWhileOthersHaveCapacity(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	for i := range candidates[1:] {
		candidates[i+1].Running = 10
	}
	is.Equal(choiceCounts(candidates)["server-00"], 1000)
}

func TestCachedPrefixIsPreferredUntilTheServerIsLoaded(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	candidates[3].CachedPrefix = 0.9
	is.True(choiceCounts(candidates)["server-03"] > 950)
	candidates[3].Running = 9
	is.True(choiceCounts(candidates)["server-03"] < 300)
}

func TestRequestsSentSinceTheReportCountAsLoad(t *testing.T) {
	is := is.New(t)
	candidates := pool(2)
	candidates[0].OwnSinceReport = 3
	is.Equal(choiceCounts(candidates)["server-01"], 1000)
}

func TestOtherRegionsAreUsedOnlyWhenNearServersAreFull(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	for i := range candidates[1:] {
		candidates[i+1].Distance = OtherRegion
	}
	is.Equal(choiceCounts(candidates)["server-00"], 1000)
	candidates[0].Running = 10
	is.Equal(choiceCounts(candidates)["server-00"], 0)
}

func TestReturningServerReceivesLessLoad(t *testing.T) {
	is := is.New(t)
	candidates := pool(10)
	equalCount := choiceCounts(candidates)["server-04"]
	candidates[4].AdmittedShare = RampShare(start, start.Add(time.Second))
	is.True(choiceCounts(candidates)["server-04"] < equalCount/2)
	is.Equal(RampShare(start, start.Add(rampDuration)), lavid.Share(1))
}

func TestSubsetsAreBoundedAndCoverThePool(t *testing.T) {
	is := is.New(t)
	candidates := pool(100)
	covered := map[lavid.BackendServerID]bool{}
	for host := range 40 {
		subset := Subset(candidates, lavid.HostID(fmt.Sprint(host)), SubsetSize)
		is.True(len(subset) <= SubsetSize)
		for _, candidate := range subset {
			covered[candidate.ID] = true
		}
	}
	is.Equal(len(covered), 100)
}

// TestLeastWorkAvoidsASlowEngine answers the pattern of replicas that turn slow while the others are normal: what is before a
// request there takes longer than it does elsewhere.
func TestLeastWorkAvoidsASlowEngine(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{ID: "slow", Slots: 64, Requests: 5, Unread: 8000, AddedWork: 1000, Slowness: 3.5},
		{ID: "normal", Slots: 64, Requests: 10, Unread: 16_000, AddedWork: 1000, Slowness: 1},
	}
	is.Equal(LeastWork(engines), 1)
	engines[0].Slowness = 0 // not known
	is.Equal(LeastWork(engines), 0)
}

// TestSampleKeepsEnginesThatHaveReadThePrompt guards against prompts that are read again because the engine that holds them
// was not drawn.
func TestSampleKeepsEnginesThatHaveReadThePrompt(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	engines := make([]Engine, 40)
	for i := range engines {
		engines[i] = Engine{ID: lavid.BackendServerID(fmt.Sprint(i)), Slots: 64, AddedWork: 9000, WholeWork: 9000}
	}
	engines[33].AddedWork = 1000
	drawn := make(map[int]bool)
	for range 200 {
		is.Equal(LeastWorkOfSample(engines, 3, random.Float64), 33)
		engines[33].AddedWork = 9000
		drawn[LeastWorkOfSample(engines, 3, random.Float64)] = true
		engines[33].AddedWork = 1000
	}
	is.True(len(drawn) > 30) // equal engines are chosen by chance
	is.Equal(LeastWorkOfSample(nil, 3, random.Float64), -1)
	is.Equal(LeastWorkOfSample(engines[:1], 3, random.Float64), 0)
}

// TestSubsetHasNoCandidateTwice guards against a host that reaches fewer servers than it may: candidates drawn at random had
// replaced others in the list that was drawn from.
func TestSubsetHasNoCandidateTwice(t *testing.T) {
	is := is.New(t)
	for host := range 200 {
		subset := Subset(pool(30), lavid.HostID(fmt.Sprint(host)), SubsetSize)
		ids := map[lavid.BackendServerID]bool{}
		for _, candidate := range subset {
			ids[candidate.ID] = true
		}
		is.Equal(len(ids), SubsetSize)
		is.Equal(len(subset), SubsetSize)
	}
}

func TestFailurePauseDoublesAndEnds(t *testing.T) {
	is := is.New(t)
	health := Health{}.AfterFailure(start)
	is.True(!health.Usable(start.Add(firstPause - 1)))
	is.True(health.Usable(start.Add(firstPause)))
	health = health.AfterFailure(start.Add(firstPause))
	is.Equal(health.FailedUntil, start.Add(3*firstPause))
	is.Equal(health.AfterSuccess(start.Add(time.Hour)).Failures, 0)
}
