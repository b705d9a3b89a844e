package lavevidence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

var start = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

func document() *lavconfig.Document {
	return &lavconfig.Document{Versions: map[lavid.VersionID]lavconfig.Version{
		"v1": {ExpectedQuality: 0.8, InputPrice: 1, OutputPrice: 2},
	}}
}

func rated(key Key, good, bad float64) Count {
	return Count{Key: key, Counts: Counts{Answers: good + bad, Rated: good + bad, Accepted: good, Cost: 100}}
}

// TestRepeatedAndReorderedReportsCountOnce guards against answers counted twice or not at all when a report is
// sent again because its confirmation was lost.
func TestRepeatedAndReorderedReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(DefaultSettings())
		collector := NewCollector(0)
		key := Key{Version: "v1", Class: "hard"}
		total := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			collector.Add(rated(key, 1, 0))
			total++
			report, _ := collector.Next("entry-1")
			for range rapid.IntRange(1, 3).Draw(t, "sent") {
				table.Merge(report, start)
			}
			if rapid.Bool().Draw(t, "confirmed") {
				collector.Confirm(report.Number)
			}
		}
		for report, ok := collector.Next("entry-1"); ok; report, ok = collector.Next("entry-1") {
			table.Merge(report, start)
			collector.Confirm(report.Number)
		}
		if got := table.read(key, start).Rated; got != total {
			t.Fatalf("counted %v of %v ratings", got, total)
		}
	})
}

func TestEstimateMovesFromConfiguredQualityToRatings(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultSettings())
	key := Key{Version: "v1", Class: "hard"}
	is.Equal(table.Estimate(document(), key, start).Accepted, lavid.Quality(0.8))
	table.Add(rated(key, 100, 900), start)
	estimate := table.Estimate(document(), key, start)
	is.True(estimate.Accepted < 0.12)
	is.True(estimate.Deviation < 0.02)
	other := table.Estimate(document(), Key{Version: "v1", Class: "easy"}, start)
	is.True(other.Accepted < 0.2) // a class without ratings takes the estimate of the version
	is.True(other.Deviation > 0.1)
}

func TestRecentRatingsOutweighOlderOnes(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	table := NewTable(settings)
	key := Key{Version: "v1", Class: "hard"}
	for range 100 {
		table.Add(rated(key, 100, 0), start)
	}
	for range 60 {
		table.Add(rated(key, 0, 100), start)
	}
	is.True(table.Estimate(document(), key, start).Accepted < 0.2)
	later := start.Add(10 * settings.HalfLife)
	is.True(table.Estimate(document(), key, later).Rated < settings.MaxRated/1000) // ten half-lives leave 1/1024
}

func TestMissingRatingsWidenTheBounds(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultSettings())
	key := Key{Version: "v1", Class: "hard"}
	table.Add(Count{Key: key, Counts: Counts{Answers: 100, Rated: 50, Accepted: 40}}, start)
	is.Equal(table.Bounds(key, start), Interval{Low: 0.4, High: 0.9})
	is.Equal(table.Estimate(document(), key, start).RatedShare, lavid.Share(0.5))
}

// TestPooledCountsReplaceLocalCounts guards against counts that grow each time the same pooled counts are received.
func TestPooledCountsReplaceLocalCounts(t *testing.T) {
	is := is.New(t)
	owner, reader := NewTable(DefaultSettings()), NewTable(DefaultSettings())
	key := Key{Version: "v1", After: "v0", Class: "hard"}
	owner.Add(rated(key, 30, 10), start)
	for range 3 {
		reader.ReplaceCounts(owner.Counts(start), start)
	}
	is.Equal(reader.Counts(start), owner.Counts(start))
}
