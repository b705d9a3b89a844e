package lavdrain

import "time"

// Plan holds the times that limit what a stopping host does.
type Plan struct {
	// StreamsUntil is the time until which the host accepts streams and sends them to backend servers. They may run until the
	// host exits.
	StreamsUntil time.Time
	// AnswersUntil is the time until which the host accepts other requests, and by which every request whose answer has not
	// begun gets its final answer.
	AnswersUntil time.Time
}

// Limit returns the deadline of a request that arrives at now, or false if the host accepts it no more.
func (p Plan) Limit(stream bool, deadline, now time.Time) (time.Time, bool) {
	switch {
	case now.Before(p.StreamsUntil):
		return deadline, true
	case stream || now.After(p.AnswersUntil):
		return deadline, false
	default:
		return earlier(deadline, p.AnswersUntil), true
	}
}

// WaitUntil returns the time until which a request with the given deadline may wait for a backend server.
func (p Plan) WaitUntil(stream bool, deadline time.Time) time.Time {
	if stream {
		return earlier(deadline, p.StreamsUntil)
	}
	return earlier(deadline, p.AnswersUntil)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
