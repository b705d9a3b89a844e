package lavforward

import "time"

const (
	// firstEventTargets is how many latency targets a repeatable request waits for a server that sends nothing to anybody.
	firstEventTargets = 1
	// checksPerTimeout is how often a send that waits is looked at within that time.
	checksPerTimeout = 8
	// overtakenTimeoutShare of it, and lostFactor times what was expected, a send waits that later ones have overtaken, so that an
	// answer from elsewhere can still be in time.
	overtakenTimeoutShare = 0.5
	overtakenFactor       = 3
	// pauseTargets is how many pause targets a stream waits for such a server before it is resumed elsewhere.
	pauseTargets = 2
)

// firstEventTimeout is how long a send waits for a server that sends nothing to anybody.
func (e *execution) firstEventTimeout() time.Duration {
	return e.timeoutOr(firstEventTargets * e.request.Route.LatencyTarget)
}

// timeoutOr returns a length that follows from a target of the route, or what the operator lets a request wait at most
// where the route states none.
func (e *execution) timeoutOr(timeout time.Duration) time.Duration {
	if timeout > 0 {
		return timeout
	}
	if e.request.Route.Timeout > 0 {
		return e.request.Route.Timeout
	}
	return e.request.Deadline.Sub(e.request.Arrived)
}

// pauseTimeout is the same for the next event of a stream.
func (e *execution) pauseTimeout() time.Duration {
	return e.timeoutOr(pauseTargets * e.request.Route.PauseTarget)
}

// isLost tells whether a send that waits for its answer will not get one: its server sends nothing to anybody, or has
// answered later sends while this one waits for many times what was expected.
func (e *execution) isLost(chosen choice, rank int, sent time.Time) bool {
	now := e.Clock()
	waited := now.Sub(sent)
	if waited >= e.firstEventTimeout() && e.health.silentSince(chosen.ID, now.Add(-e.firstEventTimeout())) {
		return true
	}
	overtakenTimeout := max(time.Duration(overtakenTimeoutShare*float64(e.firstEventTimeout())), overtakenFactor*e.expectedFirst(chosen))
	return waited >= overtakenTimeout && e.health.overtaken(chosen.ID, sent, rank)
}

// expectedFirst is the expected time to the first event of an engine's answer; unknown speeds count as zero.
func (e *execution) expectedFirst(chosen choice) time.Duration {
	first, _ := e.speeds.expect(e.request.Service.ID, chosen.model, chosen.unreadTokens+chosen.unreadTokensBefore, 0)
	return first
}
