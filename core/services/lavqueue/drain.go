package lavqueue

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// drainWindow is the time over which the drain rate is measured.
	drainWindow = time.Second
	// drainWeight is the weight of the newest window in the smoothed rate.
	drainWeight = 0.3
	// minDrainRate is the rate in tokens per second that is assumed when the pool is stalled.
	minDrainRate = 1
)

// drainRate measures the tokens per second that leave the queue for backend servers.
type drainRate struct {
	// started is the start of the current window, and sum the tokens drained since then.
	started time.Time
	sum     lavid.Tokens
	// smoothed is the moving average of the windows in tokens per second; hasRate is false before the first window in which
	// tokens were drained.
	smoothed float64
	hasRate  bool
	// idle reports whether the queue was empty at some time in this window; the measured rate is then only a lower bound.
	idle bool
}

// RecordDrained records that a backend server has accepted a request of the given size.
func (q *Queue) RecordDrained(tokens lavid.Tokens, now time.Time) {
	q.drain.roll(q.Len() == 0, now)
	q.drain.sum += tokens
}

// rate returns the smoothed tokens per second, or zero before the first window in which tokens were drained.
func (d *drainRate) rate(empty bool, now time.Time) float64 {
	d.roll(empty, now)
	if !d.hasRate {
		return 0
	}
	return max(d.smoothed, minDrainRate)
}

// roll ends the window when it has lasted for drainWindow, and starts another. The parameter empty states whether the queue
// is empty now.
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

// update adds the rate of one window to the moving average. A window with an empty queue can only raise the average.
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
