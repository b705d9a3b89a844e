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
}

func newAnswer(w http.ResponseWriter, request *lavrequest.Request) *answer {
	return &answer{w: w, flush: http.NewResponseController(w), request: request}
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
	a.w.WriteHeader(head.StatusCode)
	return nil
}

// Chunk writes bytes of the body.
func (a *answer) Chunk(data []byte) error {
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if a.request.Stream {
		return a.flush.Flush()
	}
	return nil
}

// fail writes the error; within a started stream as its last event, within a plain answer by cutting the connection.
func (a *answer) fail(err error) {
	if !a.started {
		lavhttp.WriteError(a.w, err)
		return
	}
	if a.request.Stream {
		a.writeEvent(err)
		return
	}
	panic(http.ErrAbortHandler)
}

func (a *answer) writeEvent(err error) {
	data, encodeErr := json.Marshal(lavhttp.Detail(err))
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write([]byte("\n\ndata: " + string(data) + "\n\n"))
	_ = a.flush.Flush()
}
