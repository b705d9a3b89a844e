package lavforward

import "time"

const (
	// firstEventTargets is how many latency targets a repeatable request waits before a server that is silent towards this
	// host counts as lost.
	firstEventTargets = 1
	// checksPerTimeout is how many times a waiting send is checked within the first-event timeout.
	checksPerTimeout = 8
	// A send that later sends have overtaken counts as lost after overtakenTimeoutShare of the first-event timeout or
	// overtakenFactor times the expected time, whichever is longer. Another server can then still answer in time.
	overtakenTimeoutShare = 0.5
	overtakenFactor       = 3
	// pauseTargets is how many pause targets a stream waits for a silent server before it is resumed on another server.
	pauseTargets = 2
)

// firstEventTimeout returns how long a send waits for its answer while the server is silent towards this host.
func (e *execution) firstEventTimeout() time.Duration {
	return e.timeoutOrDefault(firstEventTargets * e.request.Route.LatencyTarget)
}

// timeoutOrDefault returns timeout if it is positive. Otherwise the route states no target; the result is then the route's
// timeout, or the time from arrival to deadline if it has none.
func (e *execution) timeoutOrDefault(timeout time.Duration) time.Duration {
	if timeout > 0 {
		return timeout
	}
	if e.request.Route.Timeout > 0 {
		return e.request.Route.Timeout
	}
	return e.request.Deadline.Sub(e.request.Arrived)
}

// pauseTimeout returns how long a stream waits for its next event while the server is silent towards this host.
func (e *execution) pauseTimeout() time.Duration {
	return e.timeoutOrDefault(pauseTargets * e.request.Route.PauseTarget)
}

// isLost reports whether a send that waits for its answer counts as lost: either its server is silent towards this host,
// or the server has answered later sends while this one waits for a multiple of the expected time.
func (e *execution) isLost(chosen choice, rank int, sentAt time.Time) bool {
	now := e.Clock()
	waited := now.Sub(sentAt)
	if waited >= e.firstEventTimeout() && e.health.silentSince(chosen.ID, now.Add(-e.firstEventTimeout())) {
		return true
	}
	overtakenTimeout := max(time.Duration(overtakenTimeoutShare*float64(e.firstEventTimeout())), overtakenFactor*e.expectedFirst(chosen))
	return waited >= overtakenTimeout && e.health.overtaken(chosen.ID, sentAt, rank)
}

// expectedFirst returns the expected time to the first event of an engine's answer; unknown speeds count as zero.
func (e *execution) expectedFirst(chosen choice) time.Duration {
	first, _ := e.speeds.expect(e.request.Service.ID, chosen.model, chosen.unreadTokens+chosen.unreadTokensBefore, 0)
	return first
}
