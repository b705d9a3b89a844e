package lavrollout

import (
	"math"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Stratum names answers that may be compared with each other.
type Stratum string

// stratumOf joins the class and the stage of a key.
func stratumOf(key lavevidence.Key) Stratum {
	return Stratum(string(key.Class) + "\x00" + string(key.After))
}

// Sample counts trials and how many of them were bad.
type Sample struct {
	Trials float64
	Bad    float64
}

func (s Sample) plus(other Sample) Sample {
	return Sample{Trials: s.Trials + other.Trials, Bad: s.Bad + other.Bad}
}

// rate returns the bad part of the trials, drawn towards an assumed rate while trials are few.
func (s Sample) rate(prior float64) float64 {
	return (s.Bad + prior*priorTrials) / (s.Trials + priorTrials)
}

// highest returns a rate that the true one is rarely above.
func (s Sample) upperBound(prior float64) float64 {
	const deviations = 2
	rate := s.rate(prior)
	return rate + deviations*math.Sqrt(rate*(1-rate)/(s.Trials+priorTrials))
}

// Block counts answers of one stratum, with failures and rejections apart since failures are known sooner.
type Block struct {
	// Failures counts answers that were errors, empty or too slow.
	Failures Sample
	// Ratings counts answers that the rating service rejected.
	Ratings Sample
}

func (b Block) plus(other Block) Block {
	return Block{Failures: b.Failures.plus(other.Failures), Ratings: b.Ratings.plus(other.Ratings)}
}

func blockOf(counts lavevidence.Counts) Block {
	return Block{
		Failures: Sample{Trials: counts.Answers + counts.Failed, Bad: counts.Failed},
		Ratings:  Sample{Trials: counts.Rated, Bad: counts.Rated - counts.Accepted},
	}
}

// Blocks holds a block per stratum.
type Blocks map[Stratum]Block

func (b Blocks) add(stratum Stratum, block Block) {
	b[stratum] = b[stratum].plus(block)
}

func (b Blocks) scale(failures, ratings float64) {
	for stratum, block := range b {
		b[stratum] = Block{Failures: block.Failures.scaled(failures), Ratings: block.Ratings.scaled(ratings)}
	}
}

func (s Sample) scaled(factor float64) Sample {
	return Sample{Trials: s.Trials * factor, Bad: s.Bad * factor}
}

// pending is what came in since the last tick.
type pendingBlocks map[lavid.VersionID]Blocks
