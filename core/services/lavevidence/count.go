package lavevidence

import (
	"cmp"

	"lavenderswitch/core/models/lavid"
)

// Key identifies what is estimated: a version on a task class, as a first stage or after another version's answer
// was rejected.
type Key struct {
	Version lavid.VersionID
	// After is the version whose rejected answer led to this stage; empty for a first stage.
	After lavid.VersionID
	// Class is empty for the total of a version over all classes.
	Class lavid.TaskClass
}

// Compare orders keys by version, After and class.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Version, other.Version), cmp.Compare(k.After, other.After), cmp.Compare(k.Class, other.Class))
}

// Counts are sums over answers. Decay makes them fractional.
type Counts struct {
	// Answers counts complete answers, rated or not; failures are not included.
	Answers float64
	// Rated counts the answers whose rating has arrived, before or after delivery.
	Rated float64
	// Accepted counts the rated answers that were accepted.
	Accepted float64
	// Failed counts errors, empty answers and late answers.
	Failed float64
	// Cost is the total cost of all answers.
	Cost lavid.NanoUnits
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Answers:  c.Answers + other.Answers,
		Rated:    c.Rated + other.Rated,
		Accepted: c.Accepted + other.Accepted,
		Failed:   c.Failed + other.Failed,
		Cost:     c.Cost + other.Cost,
	}
}

// Scaled returns the counts multiplied by a factor.
func (c Counts) Scaled(factor float64) Counts {
	return Counts{
		Answers:  c.Answers * factor,
		Rated:    c.Rated * factor,
		Accepted: c.Accepted * factor,
		Failed:   c.Failed * factor,
		Cost:     lavid.NanoUnits(float64(c.Cost) * factor),
	}
}

// valid reports whether the counts are consistent: none is negative and no more are accepted than rated.
func (c Counts) valid() bool {
	if c.Answers < 0 || c.Accepted < 0 || c.Failed < 0 || c.Cost < 0 {
		return false
	}
	return c.Accepted <= c.Rated
}

// Count holds the counts of one key.
type Count struct {
	Key
	Counts
}

// Report carries what a sender counted since its last confirmed report.
type Report struct {
	Sender lavid.HostID
	// Number increases with each report of a sender, so that a repeated report can be ignored.
	Number uint64
	Counts []Count
}
