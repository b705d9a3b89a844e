package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Exposure bounds the sends to a new release before the end of its cutover.
type Exposure struct {
	// Share is the share of all sends to the service, and Slack a number of sends allowed in addition.
	Share lavid.Share
	Slack float64
}

const (
	// plannedShareFraction and plannedSlackFraction are the fractions of Share and Slack that are planned with. The rest is
	// for sends that peers have not reported yet.
	plannedShareFraction = 0.9
	plannedSlackFraction = 0.5
)

// exposureCounts holds what is known of the sends of a cutover.
type exposureCounts struct {
	// Sent counts the sends to the service, and Exposed those of them to the new release, in the last part of the time since the cutover
	// began. Counted is the length of that part.
	Sent    float64
	Exposed float64
	Counted time.Duration
}

// extrapolate returns the counts of the whole time since the cutover began. A host that has started meanwhile does not know how many of the
// earlier sends went to the new release: at least the trial's share is assumed.
func (c exposureCounts) extrapolate(elapsed time.Duration, trialShare lavid.Share) exposureCounts {
	if c.Counted+settleTime >= elapsed {
		return c
	}
	earlier := c.Sent * (elapsed - c.Counted).Seconds() / c.Counted.Seconds()
	exposedShare := max(float64(trialShare), c.Exposed/max(c.Sent, 1))
	return exposureCounts{Sent: c.Sent + earlier, Exposed: c.Exposed + exposedShare*earlier, Counted: elapsed}
}

// fits reports whether the new release can take all traffic from now to the end within the bound. It assumes that
// sends go on at their mean rate so far, and before that has been measured for long enough, that it cannot.
func (e Exposure) fits(counts exposureCounts, trialShare lavid.Share, elapsed, duration time.Duration) bool {
	if elapsed <= 0 || counts.Counted < min(settleTime, elapsed) {
		return false
	}
	whole := counts.extrapolate(elapsed, trialShare)
	remaining := whole.Sent * max(duration-elapsed, 0).Seconds() / whole.Counted.Seconds()
	return whole.Exposed+remaining <= plannedShareFraction*float64(e.Share)*(whole.Sent+remaining)+plannedSlackFraction*e.Slack
}
