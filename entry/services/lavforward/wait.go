package lavforward

import "time"

const (
	// stallTargets is how many latency targets a repeatable request waits for a server that sends nothing to anybody.
	stallTargets = 1
	// firstChecks is how often a send that waits is looked at within that time.
	firstChecks = 8
	// lostShare of it, and lostFactor times what was expected, a send waits that later ones have overtaken, so that an
	// answer from elsewhere can still be in time.
	lostShare  = 0.5
	lostFactor = 3
	// stallPauses is how many pause targets a stream waits for such a server before it is resumed elsewhere.
	stallPauses = 2
)

// firstStall is how long a send waits for a server that sends nothing to anybody.
func (w *work) firstStall() time.Duration {
	return w.stallAfter(stallTargets * w.request.Route.LatencyTarget)
}

// stallAfter returns a length that follows from a target of the route, or what the operator lets a request wait at most
// where the route states none.
func (w *work) stallAfter(length time.Duration) time.Duration {
	if length > 0 {
		return length
	}
	if w.request.Route.Timeout > 0 {
		return w.request.Route.Timeout
	}
	return w.request.Deadline.Sub(w.request.Arrived)
}

// pauseStall is the same for the next event of a stream.
func (w *work) pauseStall() time.Duration {
	return w.stallAfter(stallPauses * w.request.Route.PauseTarget)
}

// isLost tells whether a send that waits for its answer will not get one: its server sends nothing to anybody, or has
// answered later sends while this one waits for many times what was expected.
func (w *work) isLost(chosen choice, rank int, sent time.Time) bool {
	now := w.Clock()
	waited := now.Sub(sent)
	if waited >= w.firstStall() && w.health.silent(chosen.ID, now.Add(-w.firstStall())) {
		return true
	}
	patience := max(time.Duration(lostShare*float64(w.firstStall())), lostFactor*w.expectedFirst(chosen))
	return waited >= patience && w.health.overtaken(chosen.ID, sent, rank)
}

// expectedFirst is the expected time to the first event of an engine's answer; unknown speeds count as zero.
func (w *work) expectedFirst(chosen choice) time.Duration {
	first, _ := w.speeds.expect(w.request.Service.ID, chosen.model, chosen.unread+chosen.ahead, 0)
	return first
}
