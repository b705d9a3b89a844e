package lavrollout

import (
	"math"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Stratum identifies answers that may be compared with each other: those of one task class and preceding version.
type Stratum string

// stratumOf joins the class and the preceding version of a key.
func stratumOf(key lavevidence.Key) Stratum {
	return Stratum(string(key.Class) + "\x00" + string(key.After))
}

// Sample counts trials and the bad ones among them.
type Sample struct {
	Trials float64
	Bad    float64
}

func (s Sample) plus(other Sample) Sample {
	return Sample{Trials: s.Trials + other.Trials, Bad: s.Bad + other.Bad}
}

// rate returns the share of bad trials, shrunk towards the prior rate while trials are few.
func (s Sample) rate(prior float64) float64 {
	return (s.Bad + prior*priorTrials) / (s.Trials + priorTrials)
}

// upperBound returns an upper confidence bound of the true rate: the rate plus two standard deviations.
func (s Sample) upperBound(prior float64) float64 {
	const deviations = 2
	rate := s.rate(prior)
	return rate + deviations*math.Sqrt(rate*(1-rate)/(s.Trials+priorTrials))
}

// Block counts the answers of one stratum. Failures and rejections are counted separately, as failures are known
// sooner.
type Block struct {
	// Failures counts all answers as trials, and errors, empty and late answers as bad.
	Failures Sample
	// Ratings counts the rated answers as trials, and the rejected ones as bad.
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

// Blocks holds one block per stratum.
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

// pendingBlocks holds the answers reported since the last tick.
type pendingBlocks map[lavid.VersionID]Blocks
