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

// fits reports whether the new release can take all traffic from now to the end within the bound. It assumes that
// sends go on at their mean rate so far.
func (e Exposure) fits(sent, exposed float64, elapsed, duration time.Duration) bool {
	if elapsed <= 0 {
		return false
	}
	remaining := sent * max(duration-elapsed, 0).Seconds() / elapsed.Seconds()
	return exposed+remaining <= plannedShareFraction*float64(e.Share)*(sent+remaining)+plannedSlackFraction*e.Slack
}
