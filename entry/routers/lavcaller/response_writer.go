package lavcaller

import (
	"encoding/json"
	"net/http"

	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/entry/models/lavrequest"
)

// responseWriter writes an answer to the caller as it arrives. It implements lavrequest.Sink.
type responseWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	request    *lavrequest.Request
	started    bool
	events     *eventFilter
}

func newResponseWriter(w http.ResponseWriter, request *lavrequest.Request) *responseWriter {
	writer := &responseWriter{w: w, controller: http.NewResponseController(w), request: request}
	if request.Stream {
		writer.events = &eventFilter{dropUsage: !request.WantsUsage}
	}
	return writer
}

// Started reports whether bytes may have reached the caller.
func (a *responseWriter) Started() bool {
	return a.started
}

// Head writes the status and the headers.
func (a *responseWriter) Head(head lavrequest.Head) error {
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
		return a.controller.Flush()
	}
	return nil
}

// Chunk writes bytes of the body. The closing event of a stream is held back until finish.
func (a *responseWriter) Chunk(data []byte) error {
	if a.events != nil {
		data = a.events.filter(data)
	}
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if a.request.Stream {
		return a.controller.Flush()
	}
	return nil
}

// finish writes the closing event of a stream, after the answer is complete and billed.
func (a *responseWriter) finish() {
	if a.events == nil {
		return
	}
	_, _ = a.w.Write(a.events.remainder())
}

// fail reports the error to the caller. When the answer has started, a stream ends with an error event, and the connection
// of any other answer is cut.
func (a *responseWriter) fail(err error) {
	if !a.started {
		lavhttp.WriteError(a.w, err)
		return
	}
	if !a.request.Stream {
		panic(http.ErrAbortHandler)
	}
	data, encodeErr := json.Marshal(lavhttp.Detail(err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = a.controller.Flush()
}
