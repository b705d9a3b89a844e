package lavforward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lavenderswitch/core/services/lavdrain"
)

// drain ends the requests of a stopping host whose answer has not begun in time. It is safe for concurrent use.
type drain struct {
	mu         sync.Mutex
	ended      bool
	unanswered map[*unanswered]struct{}
}

// unanswered is the answer writer of a request that the end of the drain cancels, unless the answer has begun.
type unanswered struct {
	AnswerWriter
	drain  *drain
	cancel context.CancelFunc
}

func newDrain() *drain { return &drain{unanswered: make(map[*unanswered]struct{})} }

// watch returns the answer writer of a request that cancel ends. Its forget has to follow.
func (d *drain) watch(answer AnswerWriter, cancel context.CancelFunc) *unanswered {
	watched := &unanswered{AnswerWriter: answer, drain: d, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered[watched] = struct{}{}
	if d.ended {
		cancel()
	}
	return watched
}

// end cancels all requests whose answer has not begun.
func (d *drain) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for request := range d.unanswered {
		request.cancel()
	}
}

// Begin writes the status and headers; the drain does not end the request after it.
func (u *unanswered) Begin(status int, header http.Header, length int) error {
	u.forget()
	return u.AnswerWriter.Begin(status, header, length)
}

// forget makes the drain leave the request alone.
func (u *unanswered) forget() {
	u.drain.mu.Lock()
	defer u.drain.mu.Unlock()
	delete(u.drain.unanswered, u)
}

// Drain applies the plan of a stopping host to the requests in progress and to later ones. Requests that would wait for a
// backend server for too long are refused, so that their callers turn to another host.
func (f *Forwarder) Drain(plan lavdrain.Plan) {
	now := f.Clock()
	f.waiting.drain(plan, now)
	time.AfterFunc(plan.AnswersUntil.Sub(now), f.drain.end)
}
