package lavdispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// readChunkBytes bounds the part of a body in one event.
const readChunkBytes = 32 << 10

// responseEvent is one event of a response: its head, a part of its body, or its end.
type responseEvent struct {
	response *http.Response
	data     []byte
	// ended reports whether the body was read to its end; any other end of the connection sets only err.
	ended bool
	err   error
}

// responseReader reads one response over one connection.
type responseReader struct {
	events chan responseEvent
	cancel context.CancelFunc
}

// openResponse starts the call and delivers the events of its response until the response ends or the reader is cancelled.
func (d *Dispatcher) openResponse(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) *responseReader {
	ctx, cancel := context.WithCancel(ctx)
	r := &responseReader{events: make(chan responseEvent), cancel: cancel}
	d.goroutines.Go(func() { r.read(ctx, call) })
	return r
}

// errClosedBeforeAnswer replaces io.EOF, which stands for the regular end of a body.
var errClosedBeforeAnswer = errors.New("connection was closed before the response headers arrived")

func (r *responseReader) read(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) {
	response, err := call(ctx)
	if errors.Is(err, io.EOF) {
		err = errClosedBeforeAnswer
	}
	if err != nil {
		r.send(ctx, responseEvent{err: err})
		return
	}
	defer response.Body.Close()
	if !r.send(ctx, responseEvent{response: response}) {
		return
	}
	for {
		chunk := make([]byte, readChunkBytes)
		n, err := response.Body.Read(chunk)
		if n > 0 && !r.send(ctx, responseEvent{data: chunk[:n]}) {
			return
		}
		if err != nil {
			r.send(ctx, responseEvent{ended: errors.Is(err, io.EOF), err: err})
			return
		}
	}
}

// send delivers an event, or returns false when the reader is cancelled.
func (r *responseReader) send(ctx context.Context, e responseEvent) bool {
	select {
	case <-ctx.Done():
		return false
	case r.events <- e:
		return true
	}
}
