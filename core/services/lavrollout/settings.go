package lavrollout

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// TestSettings are the parameters of the tests on one kind of bad answer.
type TestSettings struct {
	// EffectSizes are the amounts above the reference rate that are tested for.
	EffectSizes []float64
	// Horizon is the number of trials within which a good version is stopped with a probability of at most
	// FalseStopProbability.
	Horizon float64
	// Margin is how far the bad rate of a version in service may be above its own past.
	Margin float64
	// PeerMargin is how far the bad rate may be above its past when the version is compared with all others.
	PeerMargin float64
	// MinPastTrials is the number of past trials needed for a comparison with the past.
	MinPastTrials float64
	// RecentHalfLife is the half-life of the recent answers from which a shift common to all versions is estimated.
	RecentHalfLife time.Duration
	// PriorRate is the bad rate assumed before there are trials.
	PriorRate float64
}

// Settings are the parameters of the tests and of the roll-out shares.
type Settings struct {
	Failures TestSettings
	Ratings  TestSettings
	// FalseStopProbability is the highest probability of stopping a good version within a horizon.
	FalseStopProbability float64
	// InitialShare is the first share of a roll-out.
	InitialShare lavid.Share
	// FirstGrowthRated is the number of rated answers before the share first grows. The number grows by GrowthFactor
	// with each growth of the share.
	FirstGrowthRated float64
	// GrowthFactor multiplies the share at each growth.
	GrowthFactor float64
	// HoldEvidence is the evidence at which a share no longer grows, and CutEvidence that at which it is cut to
	// InitialShare.
	HoldEvidence float64
	CutEvidence  float64
	// PeerBlockTrials is the smallest block of ratings that is compared with all other versions.
	PeerBlockTrials float64
	// EstablishedPastTrials is the number of past trials from which new ones are added with EstablishedPastWeight.
	EstablishedPastTrials float64
	EstablishedPastWeight float64
	// MaxPastTrials caps the number of past trials.
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

// threshold returns the evidence at which a version is stopped.
func (s Settings) threshold() float64 {
	return 1 / s.FalseStopProbability
}
