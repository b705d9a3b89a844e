package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Exposure bounds what a release may take before the time of its cutover ends, as nothing proves that it is good.
type Exposure struct {
	// Share of the sends to the service, and Slack beyond it.
	Share lavid.Share
	Slack float64
}

const (
	// shareUsed and slackUsed of the bound are planned with; the rest is for sends that peers have not told of yet.
	plannedShareFraction = 0.9
	plannedSlackFraction = 0.5
)

// fits tells whether the new release can take everything from now to the end without exceeding the bound.
func (e Exposure) fits(sent, exposed float64, elapsed, duration time.Duration) bool {
	if elapsed <= 0 {
		return false
	}
	remaining := sent * max(duration-elapsed, 0).Seconds() / elapsed.Seconds()
	return exposed+remaining <= plannedShareFraction*float64(e.Share)*(sent+remaining)+plannedSlackFraction*e.Slack
}
