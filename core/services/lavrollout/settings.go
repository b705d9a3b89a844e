package lavrollout

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Stream is the constants of the test on one kind of bad answer.
type Stream struct {
	// Excesses are the amounts above the reference rate that are bet on.
	Excesses []float64
	// Horizon is the number of trials in which a good version is stopped with probability FalseStops at most.
	Horizon float64
	// Margin is what a version in service may be above its own past.
	Margin float64
	// BesideMargin is the same when other versions are watched at the same time.
	BesideMargin float64
	// NeededPast is the number of trials before a past is compared with.
	NeededPast float64
	// RecentHalfLife is the time after which a recent answer weighs half in what all versions suffer now.
	RecentHalfLife time.Duration
	// Assumed is the bad rate expected before there is a past.
	Assumed float64
}

// Settings are the constants of exposure.
type Settings struct {
	Failures Stream
	Ratings  Stream
	// FalseStops is the probability of stopping a good version within a horizon.
	FalseStops float64
	// InitialShare is the first share of a roll-out.
	InitialShare lavid.Share
	// FirstRated is the number of rated answers before the first growth of a share; it doubles with each.
	FirstRated float64
	// Growth is the factor of one growth.
	Growth float64
	// Suspicion is the evidence at which a share no longer grows, and Doubt that at which it is cut to the first one.
	Suspicion float64
	Doubt     float64
	// BesideTrials is the size of a block of ratings that is tested beside all other versions.
	BesideTrials float64
	// KnownPast is the number of trials after which a past takes in only SlowPart of what is new.
	KnownPast float64
	SlowPart  float64
	// PastTrials caps the weight of a version's past.
	PastTrials float64
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Failures: Stream{
			Excesses:       []float64{0.02, 0.08, 0.3, 0.6},
			Horizon:        20_000,
			Margin:         0.02,
			NeededPast:     500,
			Assumed:        0.01,
			RecentHalfLife: 8 * time.Second,
		},
		Ratings: Stream{
			Excesses:       []float64{0.04, 0.1, 0.25, 0.5},
			Horizon:        20_000,
			Margin:         0.02,
			NeededPast:     500,
			Assumed:        0.1,
			BesideMargin:   0.005,
			RecentHalfLife: 30 * time.Second,
		},
		FalseStops:   0.009,
		InitialShare: 0.01,
		FirstRated:   30,
		Growth:       2,
		Suspicion:    0.5,
		Doubt:        0.6,
		BesideTrials: 250,
		KnownPast:    2000,
		SlowPart:     0.02,
		PastTrials:   20_000,
	}
}

// threshold is the evidence at which a version is stopped.
func (s Settings) threshold() float64 {
	return 1 / s.FalseStops
}
