package lavcaller

import (
	"encoding/json"
	"net/http"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/entry/models/lavrequest"
)

// answer writes an answer to the caller as it arrives.
type answer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	request *lavrequest.Request
	started bool
	events  *eventFilter
}

func newAnswer(w http.ResponseWriter, request *lavrequest.Request) *answer {
	answer := &answer{w: w, flush: http.NewResponseController(w), request: request}
	if request.Stream {
		answer.events = &eventFilter{dropUsage: !request.WantsUsage}
	}
	return answer
}

// Started tells whether bytes may have reached the caller.
func (a *answer) Started() bool {
	return a.started
}

// Head writes status and headers.
func (a *answer) Head(head lavrequest.Head) error {
	a.started = true
	header := a.w.Header()
	header.Set("Content-Type", head.ContentType)
	header.Set(HeaderRequest, string(a.request.ID))
	if head.Version != "" {
		header.Set(HeaderVersion, string(head.Version))
	}
	if a.request.SessionMoved {
		header.Set(HeaderSessionMoved, "true")
	}
	a.w.WriteHeader(head.StatusCode)
	if a.request.Stream {
		return a.flush.Flush()
	}
	return nil
}

// Chunk writes bytes of the body; a stream's closing event waits for finish.
func (a *answer) Chunk(data []byte) error {
	if a.events != nil {
		data = a.events.pass(data)
	}
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if a.request.Stream {
		return a.flush.Flush()
	}
	return nil
}

// finish writes what was kept back until the answer was whole and billed.
func (a *answer) finish() {
	if a.events == nil {
		return
	}
	_, _ = a.w.Write(a.events.rest())
}

// fail writes the error; within a started stream as its last event, within a plain answer by cutting the connection.
func (a *answer) fail(err error) {
	if !a.started {
		lavhttp.WriteError(a.w, err)
		return
	}
	if !a.request.Stream {
		panic(http.ErrAbortHandler)
	}
	data, encodeErr := json.Marshal(lavhttp.NewErrorBody(err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = a.flush.Flush()
}
