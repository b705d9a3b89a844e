package lavforward

import "time"

const (
	// firstEventTargets is how many latency targets a repeatable request waits before a server that is silent towards this
	// host counts as lost.
	firstEventTargets = 1
	// checksPerTimeout is how many times a waiting send is checked within the first-event timeout.
	checksPerTimeout = 8
	// overtakenTimeoutShare of the first-event timeout, or overtakenFactor times the expected time if that is longer, is how
	// long a send waits before it counts as lost because the server has answered later sends. Part of the first-event timeout
	// is then usually left for another server.
	overtakenTimeoutShare = 0.5
	overtakenFactor       = 3
	// waitShare of the time that was left when a request was sent is how long its send waits for the first event once the
	// server has answered a single later send, or has sent nothing. The rest is left for another server.
	waitShare = 0.5
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

// isLost reports whether a send that waits for its answer counts as lost at the given time: its server is silent towards
// this host, or has answered later sends while this one waits for a multiple of the expected time. A server whose other
// connections work may have lost this one, and then says nothing about it.
func (e *execution) isLost(chosen choice, rank int, sentAt, now time.Time) bool {
	waited := now.Sub(sentAt)
	silence := e.silenceTimeout(chosen, sentAt)
	if waited >= silence && e.health.silentSince(chosen.Instance(), now.Add(-silence)) {
		return true
	}
	expected := overtakenFactor * e.usualFirst(chosen, sentAt)
	overtaking := e.health.overtaking(chosen.Instance(), sentAt, rank)
	overtakenTimeout := max(time.Duration(overtakenTimeoutShare*float64(e.firstEventTimeout())), expected)
	if waited >= overtakenTimeout && overtaking >= overtakenThreshold {
		return true
	}
	return waited >= max(e.waitLimit(sentAt), expected) && overtaking > 0
}

// silenceTimeout returns how long a send waits for its answer while its server is silent towards this host.
func (e *execution) silenceTimeout(chosen choice, sentAt time.Time) time.Duration {
	return min(e.firstEventTimeout(), max(e.waitLimit(sentAt), overtakenFactor*e.usualFirst(chosen, sentAt)))
}

// waitLimit returns waitShare of the time that was left when a request was sent.
func (e *execution) waitLimit(sentAt time.Time) time.Duration {
	return time.Duration(waitShare * float64(e.request.Deadline.Sub(sentAt)))
}
