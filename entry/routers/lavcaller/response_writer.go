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
		writer.events = &eventFilter{dropUsage: !request.IncludeUsage}
	}
	return writer
}

// Started reports whether bytes may have reached the caller.
func (r *responseWriter) Started() bool {
	return r.started
}

// Head writes the status and the headers.
func (r *responseWriter) Head(head lavrequest.Head) error {
	r.started = true
	header := r.w.Header()
	header.Set("Content-Type", head.ContentType)
	header.Set(HeaderRequest, string(r.request.ID))
	if head.Version != "" {
		header.Set(HeaderVersion, string(head.Version))
	}
	if r.request.SessionMoved {
		header.Set(HeaderSessionMoved, "true")
	}
	r.w.WriteHeader(head.StatusCode)
	if r.request.Stream {
		return r.controller.Flush()
	}
	return nil
}

// Chunk writes bytes of the body. The closing event of a stream is held back until finish.
func (r *responseWriter) Chunk(data []byte) error {
	if r.events != nil {
		data = r.events.filter(data)
	}
	if len(data) == 0 {
		return nil
	}
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if r.request.Stream {
		return r.controller.Flush()
	}
	return nil
}

// finish writes the closing event of a stream, after the answer is complete and billed.
func (r *responseWriter) finish() {
	if r.events == nil {
		return
	}
	_, _ = r.w.Write(r.events.remainder())
}

// fail reports the error to the caller. When the answer has started, a stream ends with an error event, and the
// connection of any other answer is cut.
func (r *responseWriter) fail(err error) {
	if !r.started {
		lavhttp.WriteError(r.w, err)
		return
	}
	if !r.request.Stream {
		panic(http.ErrAbortHandler)
	}
	data, encodeErr := json.Marshal(lavhttp.NewErrorBody(err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = r.w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = r.controller.Flush()
}
