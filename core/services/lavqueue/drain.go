package lavqueue

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// drainWindow is the time over which the drain rate is measured.
	drainWindow = time.Second
	// drainWeight is the part of the newest window in the smoothed rate.
	drainWeight = 0.3
	// minDrainRate in tokens per second is assumed of a stalled pool.
	minDrainRate = 1
)

// drainRate measures tokens taken from the queue per second.
type drainRate struct {
	started  time.Time
	sum      lavid.Tokens
	smoothed float64
	hasRate  bool
	// idle says that the queue was empty at some time in this window, so that the rate is only a lower bound.
	idle bool
}

// RecordDrained reports the tokens of a request that a backend server has taken.
func (q *Queue) RecordDrained(tokens lavid.Tokens, now time.Time) {
	q.drain.roll(q.Len() == 0, now)
	q.drain.sum += tokens
}

// rate returns tokens per second, or zero before the first whole window.
func (d *drainRate) rate(empty bool, now time.Time) float64 {
	d.roll(empty, now)
	if !d.hasRate {
		return 0
	}
	return max(d.smoothed, minDrainRate)
}

func (d *drainRate) roll(empty bool, now time.Time) {
	elapsed := now.Sub(d.started)
	if elapsed < drainWindow {
		return
	}
	d.update(float64(d.sum) / elapsed.Seconds())
	d.sum = 0
	d.started = now
	d.idle = empty
}

func (d *drainRate) update(measured float64) {
	switch {
	case !d.hasRate && measured > 0:
		d.smoothed = measured
		d.hasRate = true
	case !d.idle:
		d.smoothed += drainWeight * (measured - d.smoothed)
	default:
		d.smoothed = max(d.smoothed, measured)
	}
}
