package lavdispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const readChunkBytes = 32 << 10

// responseEvent is one thing that a connection to the backend server brings.
type responseEvent struct {
	response *http.Response
	data     []byte
	// ended says that the body came to its end; err is any other end of the connection.
	ended bool
	err   error
}

// responseReader reads one answer over one connection.
type responseReader struct {
	events chan responseEvent
	cancel context.CancelFunc
}

// openResponse starts the call and hands over its events until it ends or the source is closed.
func (d *Dispatcher) openResponse(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) *responseReader {
	ctx, cancel := context.WithCancel(ctx)
	s := &responseReader{events: make(chan responseEvent), cancel: cancel}
	d.goroutines.Go(func() { s.read(ctx, call) })
	return s
}

// errClosedBeforeAnswer is not io.EOF, which means the end of an answer.
var errClosedBeforeAnswer = errors.New("connection ended before the answer began; it is resumed where that can be done")

func (s *responseReader) read(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) {
	response, err := call(ctx)
	if errors.Is(err, io.EOF) {
		err = errClosedBeforeAnswer
	}
	if err != nil {
		s.send(ctx, responseEvent{err: err})
		return
	}
	defer response.Body.Close()
	if !s.send(ctx, responseEvent{response: response}) {
		return
	}
	for {
		chunk := make([]byte, readChunkBytes)
		n, err := response.Body.Read(chunk)
		if n > 0 && !s.send(ctx, responseEvent{data: chunk[:n]}) {
			return
		}
		if err != nil {
			s.send(ctx, responseEvent{ended: errors.Is(err, io.EOF), err: err})
			return
		}
	}
}

func (s *responseReader) send(ctx context.Context, e responseEvent) bool {
	select {
	case <-ctx.Done():
		return false
	case s.events <- e:
		return true
	}
}
