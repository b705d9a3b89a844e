package lavevidence

import (
	"cmp"

	"lavenderswitch/core/models/lavid"
)

// Key names what is estimated: a version on a task class, first or after another version's answer was rejected.
type Key struct {
	Version lavid.VersionID
	// After is the version whose answer was rejected just before; empty for a first stage.
	After lavid.VersionID
	Class lavid.TaskClass
}

// Compare orders keys by version, predecessor and class.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Version, other.Version), cmp.Compare(k.After, other.After), cmp.Compare(k.Class, other.Class))
}

// Counts are sums over answers; forgetting makes them fractional.
type Counts struct {
	// Answers counts whole answers, rated or not; a failure is not among them.
	Answers float64
	// Rated counts the answers that a rating came back for, however late.
	Rated float64
	// Accepted counts the rated answers that were acceptable.
	Accepted float64
	// Failed counts errors, empty answers and answers that came too late.
	Failed float64
	// Cost is the price of all answers.
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

// valid says whether the counts can have been counted.
func (c Counts) valid() bool {
	if c.Answers < 0 || c.Accepted < 0 || c.Failed < 0 || c.Cost < 0 {
		return false
	}
	return c.Accepted <= c.Rated
}

// Count is the part of a report that is about one key.
type Count struct {
	Key
	Counts
}

// Report carries what a sender counted since its last report.
type Report struct {
	Sender lavid.HostID
	// Number grows with each report of a sender.
	Number uint64
	Counts []Count
}
