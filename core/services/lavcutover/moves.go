package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Move is the change of a session to another release within Settings.MaxSessionPause, as one host knows it.
type Move struct {
	Service lavid.ServiceID
	Session string
	From    lavid.ReleaseID
	To      lavid.ReleaseID
	// Pause is the time since the start or end of the session's send before.
	Pause time.Duration
}

// countMove reports a move that a cutover does not allow: to the new release during its trial, or from the new release
// although it is not stopped. Only a lack of usable servers of the session's release causes one.
func (c *Cutovers) countMove(row *cutover, move Move, now time.Time) {
	if c.settings.OnMove == nil || move.From == move.To {
		return
	}
	inTrial := row.progress.State == Running && row.progress.inTrial(c.storeTime(now)-row.progress.Began)
	stopped := row.stopped || row.progress.State == Stopped
	if move.To == row.progress.To && inTrial || move.From == row.progress.To && !stopped {
		c.settings.OnMove(move)
	}
}
