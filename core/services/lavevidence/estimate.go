package lavevidence

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Estimate holds the estimated quality and cost of a version on a task class.
type Estimate struct {
	// Accepted is the expected share of answers that the rating service accepts.
	Accepted lavid.Quality
	// Deviation is the standard deviation of Accepted.
	Deviation float64
	// Rated is the decayed number of ratings that the estimate is based on.
	Rated float64
	// RatedShare is the share of answers with a rating.
	RatedShare lavid.Share
	// Failed is the share of failures among answers and failures, and Cost the expected cost of one answer.
	Failed lavid.Share
	Cost   lavid.NanoUnits
}

// Interval is a range of qualities.
type Interval struct {
	Low  lavid.Quality
	High lavid.Quality
}

// Estimate returns the estimate of a key. Where ratings are few, it shrinks towards the expected acceptance of the next
// wider group, and finally towards the configured expected quality.
func (t *Table) Estimate(document *lavconfig.Document, key Key, now time.Time) Estimate {
	counts := t.read(key, now)
	prior := t.prior(document, key, now)
	weight := t.settings.VersionWeight
	accepted := (counts.Accepted + weight*prior) / (counts.Rated + weight)
	return Estimate{
		Accepted:   lavid.Quality(accepted),
		Deviation:  math.Sqrt(accepted * (1 - accepted) / (counts.Rated + weight + 1)),
		Rated:      counts.Rated,
		RatedShare: lavid.Share(ratio(counts.Rated, counts.Answers)),
		Failed:     lavid.Share(ratio(counts.Failed, counts.Answers+counts.Failed)),
		Cost:       t.cost(document, key, counts),
	}
}

// Bounds returns the lowest and the highest share of acceptable answers that the counts allow: as if all unrated
// answers were rejected, and as if all were accepted.
func (t *Table) Bounds(key Key, now time.Time) Interval {
	counts := t.read(key, now)
	if counts.Answers <= 0 {
		return Interval{Low: 0, High: 1}
	}
	missing := max(counts.Answers-counts.Rated, 0)
	all := counts.Rated + missing
	return Interval{
		Low:  lavid.Quality(counts.Accepted / all),
		High: lavid.Quality((counts.Accepted + missing) / all),
	}
}

// prior returns the expected acceptance of the next wider group: for a later stage the version on the class, for a
// class the version on all classes, for a version its configured expected quality.
func (t *Table) prior(document *lavconfig.Document, key Key, now time.Time) float64 {
	if key.After != "" {
		wider := t.Estimate(document, Key{Version: key.Version, Class: key.Class}, now)
		return float64(wider.Accepted)
	}
	expected := float64(document.Versions[key.Version].ExpectedQuality)
	if key.Class == "" {
		return expected
	}
	pooled := t.read(Key{Version: key.Version}, now)
	weight := t.settings.PriorWeight
	return (pooled.Accepted + weight*expected) / (pooled.Rated + weight)
}

// cost returns the mean cost of the counted answers, or the cost of an answer of the assumed length if less than one
// (decayed) answer or no cost is counted.
func (t *Table) cost(document *lavconfig.Document, key Key, counts Counts) lavid.NanoUnits {
	if counts.Answers >= 1 && counts.Cost > 0 {
		return lavid.NanoUnits(float64(counts.Cost) / counts.Answers)
	}
	version := document.Versions[key.Version]
	input := version.InputPrice * lavid.NanoUnits(t.settings.AssumedInput)
	output := version.OutputPrice * lavid.NanoUnits(t.settings.AssumedOutput)
	return input + output
}

// ratio returns part/whole, or zero if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
