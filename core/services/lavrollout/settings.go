package lavrollout

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// TestSettings is the constants of the test on one kind of bad answer.
type TestSettings struct {
	// EffectSizes are the amounts above the reference rate that are bet on.
	EffectSizes []float64
	// Horizon is the number of trials in which a good version is stopped with probability FalseStops at most.
	Horizon float64
	// Margin is what a version in service may be above its own past.
	Margin float64
	// PeerMargin is the same when other versions are watched at the same time.
	PeerMargin float64
	// MinPastTrials is the number of trials before a past is compared with.
	MinPastTrials float64
	// RecentHalfLife is the time after which a recent answer weighs half in what all versions suffer now.
	RecentHalfLife time.Duration
	// PriorRate is the bad rate expected before there is a past.
	PriorRate float64
}

// Settings are the constants of exposure.
type Settings struct {
	Failures TestSettings
	Ratings  TestSettings
	// FalseStopProbability is the probability of stopping a good version within a horizon.
	FalseStopProbability float64
	// InitialShare is the first share of a roll-out.
	InitialShare lavid.Share
	// FirstGrowthRated is the number of rated answers before the first growth of a share; it doubles with each.
	FirstGrowthRated float64
	// GrowthFactor is the factor of one growth.
	GrowthFactor float64
	// HoldEvidence is the evidence at which a share no longer grows, and Doubt that at which it is cut to the first one.
	HoldEvidence float64
	CutEvidence  float64
	// PeerBlockTrials is the size of a block of ratings that is tested beside all other versions.
	PeerBlockTrials float64
	// EstablishedPastTrials is the number of trials after which a past takes in only SlowPart of what is new.
	EstablishedPastTrials float64
	EstablishedPastWeight float64
	// MaxPastTrials caps the weight of a version's past.
	MaxPastTrials float64
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Failures: TestSettings{
			EffectSizes:    []float64{0.02, 0.08, 0.3, 0.6},
			Horizon:        20_000,
			Margin:         0.02,
			MinPastTrials:  500,
			PriorRate:      0.01,
			RecentHalfLife: 8 * time.Second,
		},
		Ratings: TestSettings{
			EffectSizes:    []float64{0.04, 0.1, 0.25, 0.5},
			Horizon:        20_000,
			Margin:         0.02,
			MinPastTrials:  500,
			PriorRate:      0.1,
			PeerMargin:     0.005,
			RecentHalfLife: 30 * time.Second,
		},
		FalseStopProbability:  0.009,
		InitialShare:          0.01,
		FirstGrowthRated:      30,
		GrowthFactor:          2,
		HoldEvidence:          0.5,
		CutEvidence:           0.6,
		PeerBlockTrials:       250,
		EstablishedPastTrials: 2000,
		EstablishedPastWeight: 0.02,
		MaxPastTrials:         20_000,
	}
}

// threshold is the evidence at which a version is stopped.
func (s Settings) threshold() float64 {
	return 1 / s.FalseStopProbability
}
