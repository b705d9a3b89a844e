package lavrollout

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
)

var start = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

func document() *lavconfig.Document {
	return &lavconfig.Document{
		Number: 7,
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"one": {AllowedVersions: []lavid.VersionID{"old", "new/2"}},
		},
		Versions: map[lavid.VersionID]lavconfig.Version{
			"old":   {Model: "m", State: lavconfig.VersionServing},
			"new/2": {Model: "m", State: lavconfig.VersionRollingOut, Replaces: "old", MaxShare: 0.3},
		},
	}
}

// observeTick reports ten rated answers of each version with the given bad rates and runs a tick.
func observeTick(state *State, random *rand.Rand, at int, bad map[lavid.VersionID]float64) lavplan.Exposure {
	for _, id := range []lavid.VersionID{"new/2", "old"} {
		counts := lavevidence.Counts{Answers: 10, Rated: 10}
		for range 10 {
			if random.Float64() >= bad[id] {
				counts.Accepted++
			}
		}
		state.Observe(lavevidence.Count{Key: lavevidence.Key{Version: id, Class: "hard"}, Counts: counts})
	}
	return state.Tick(document(), start.Add(time.Duration(at)*time.Second))
}

// TestBadVersionIsStoppedWithin200Answers guards against a test that loses power with time: the version turns
// bad after a random number of ticks and must be stopped within 200 further answers.
func TestBadVersionIsStoppedWithin200Answers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		state := NewState(DefaultSettings())
		turnsBadAt := rapid.IntRange(0, 60).Draw(t, "turns bad at")
		const limit = 20 // ticks of ten rated answers
		for at := range turnsBadAt + limit {
			bad := map[lavid.VersionID]float64{"old": 0.1, "new/2": 0.1}
			if at >= turnsBadAt {
				bad["new/2"] = 0.7
			}
			exposure := observeTick(state, random, at, bad)
			if len(exposure.Stopped) == 1 && exposure.Stopped[0] == "new/2" {
				return
			}
		}
		t.Fatalf("version with 7 bad answers in 10 was not stopped after %d answers", limit*10)
	})
}

// TestGoodVersionsAreRarelyStopped checks that a version as good as the replaced one is stopped in under 1 of 100 runs.
func TestGoodVersionsAreRarelyStopped(t *testing.T) {
	is := is.New(t)
	const runs = 500
	stopped := 0
	for run := range runs {
		random := rand.New(rand.NewPCG(uint64(run), 5))
		state := NewState(DefaultSettings())
		var last lavplan.Exposure
		for at := range 200 {
			last = observeTick(state, random, at, map[lavid.VersionID]float64{"old": 0.15, "new/2": 0.15})
		}
		stopped += len(last.Stopped)
	}
	is.True(stopped < runs/100) // under 1 in 100
}

func TestShareGrowsWithRatingsOnlyAndWithinItsMaximum(t *testing.T) {
	is := is.New(t)
	state := NewState(DefaultSettings())
	random := rand.New(rand.NewPCG(3, 3))
	initial := DefaultSettings().InitialShare
	for at := range 100 {
		exposure := state.Tick(document(), start.Add(time.Duration(at)*time.Second))
		is.Equal(exposure.Shares[0].Share, initial) // the share does not grow without ratings
	}
	highest := lavid.Share(0)
	for at := range 400 {
		for _, row := range observeTick(state, random, 100+at, map[lavid.VersionID]float64{"old": 0.1, "new/2": 0.02}).Shares {
			highest = max(highest, row.Share)
			is.True(row.Share <= 0.3)
		}
	}
	is.Equal(highest, lavid.Share(0.3))
}

func TestRestoredSnapshotKeepsTheDecisions(t *testing.T) {
	is := is.New(t)
	state := NewState(DefaultSettings())
	random := rand.New(rand.NewPCG(4, 4))
	for at := range 30 {
		observeTick(state, random, at, map[lavid.VersionID]float64{"old": 0.1, "new/2": 0.8})
	}
	text, err := json.Marshal(state.Snapshot())
	is.NoErr(err)
	var snapshot Snapshot
	is.NoErr(json.Unmarshal(text, &snapshot))
	other := NewState(DefaultSettings())
	other.Restore(snapshot)
	now := start.Add(time.Hour)
	is.Equal(other.Tick(document(), now).Stopped, []lavid.VersionID{"new/2"})
	is.Equal(other.Tick(document(), now), state.Tick(document(), now))
}

// TestWithdrawalPatchAppliesToItsConfigurationOnly guards against a late patch withdrawing a version whose state
// was changed after the decision, and against an account left without a serving version.
func TestWithdrawalPatchAppliesToItsConfigurationOnly(t *testing.T) {
	is := is.New(t)
	withdrawal, ok, err := NewWithdrawal(document(), []lavid.VersionID{"new/2", "gone"})
	is.NoErr(err)
	is.True(ok)
	is.Equal(withdrawal.Base, lavid.ConfigNumber(7))
	patch, err := jsonpatch.DecodePatch(withdrawal.Operations)
	is.NoErr(err)
	text, err := json.Marshal(document())
	is.NoErr(err)
	text, err = patch.Apply(text)
	is.NoErr(err)
	var after lavconfig.Document
	is.NoErr(json.Unmarshal(text, &after))
	is.Equal(after.Versions["new/2"].State, lavconfig.VersionWithdrawn)
	is.Equal(after.Versions["old"].State, lavconfig.VersionServing)
	_, err = patch.Apply(text)
	is.True(err != nil) // the version's state has changed since
	_, ok, err = NewWithdrawal(document(), []lavid.VersionID{"old"})
	is.NoErr(err)
	is.True(!ok) // an account's last serving version cannot be withdrawn
}

// inServiceDocument returns a configuration with two versions in service.
func inServiceDocument() *lavconfig.Document {
	both := document()
	version := both.Versions["new/2"]
	version.State, version.Replaces = lavconfig.VersionServing, ""
	both.Versions["new/2"] = version
	return both
}

// observeInService reports the given number of ticks of answers of two versions in service and returns the last
// exposure.
func observeInService(state *State, random *rand.Rand, from, ticks int, bad map[lavid.VersionID]float64) lavplan.Exposure {
	var last lavplan.Exposure
	for at := range ticks {
		for _, id := range []lavid.VersionID{"new/2", "old"} {
			counts := lavevidence.Counts{Answers: 10, Rated: 10}
			for range 10 {
				if random.Float64() >= bad[id] {
					counts.Accepted++
				}
			}
			state.Observe(lavevidence.Count{Key: lavevidence.Key{Version: id, Class: "hard"}, Counts: counts})
		}
		last = state.Tick(inServiceDocument(), start.Add(time.Duration(from+at)*time.Second))
	}
	return last
}

// TestSlightFaultOfOneVersionInServiceIsFoundButACommonFaultStopsNone guards against a slight fault of one version that
// is not found, and against stopping versions for a fault outside of them, which raises the rejections of all alike.
func TestSlightFaultOfOneVersionInServiceIsFoundButACommonFaultStopsNone(t *testing.T) {
	is := is.New(t)
	healthy := map[lavid.VersionID]float64{"old": 0.15, "new/2": 0.2}
	oneFaulty := map[lavid.VersionID]float64{"old": 0.15, "new/2": 0.32}
	allFaulty := map[lavid.VersionID]float64{"old": 0.25, "new/2": 0.32}
	const runs = 20
	found := 0
	for run := range runs {
		random := rand.New(rand.NewPCG(uint64(run), 6))
		state := NewState(DefaultSettings())
		is.Equal(len(observeInService(state, random, 0, 300, healthy).Stopped), 0)
		if len(observeInService(state, random, 300, 300, oneFaulty).Stopped) == 1 {
			found++
		}
		other := NewState(DefaultSettings())
		observeInService(other, random, 0, 300, healthy)
		is.Equal(len(observeInService(other, random, 300, 300, allFaulty).Stopped), 0) // both versions get worse alike
	}
	is.True(found >= runs*9/10)
}
