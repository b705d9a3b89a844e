package lavdispatch

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const readBytes = 32 << 10

// event is one thing that a connection to the backend server brings.
type event struct {
	response *http.Response
	data     []byte
	// ended says that the body came to its end; err is any other end of the connection.
	ended bool
	err   error
}

// source reads one answer over one connection.
type source struct {
	events chan event
	cancel context.CancelFunc
}

// open starts the call and hands over its events until it ends or the source is closed.
func (d *Dispatcher) open(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) *source {
	ctx, cancel := context.WithCancel(ctx)
	s := &source{events: make(chan event), cancel: cancel}
	d.work.Go(func() { s.pump(ctx, call) })
	return s
}

// errNoAnswer is not io.EOF, which means the end of an answer.
var errNoAnswer = errors.New("connection ended before the answer began; it is resumed where that can be done")

func (s *source) pump(ctx context.Context, call func(ctx context.Context) (*http.Response, error)) {
	response, err := call(ctx)
	if errors.Is(err, io.EOF) {
		err = errNoAnswer
	}
	if err != nil {
		s.send(ctx, event{err: err})
		return
	}
	defer response.Body.Close()
	if !s.send(ctx, event{response: response}) {
		return
	}
	for {
		chunk := make([]byte, readBytes)
		n, err := response.Body.Read(chunk)
		if n > 0 && !s.send(ctx, event{data: chunk[:n]}) {
			return
		}
		if err != nil {
			s.send(ctx, event{ended: errors.Is(err, io.EOF), err: err})
			return
		}
	}
}

func (s *source) send(ctx context.Context, e event) bool {
	select {
	case <-ctx.Done():
		return false
	case s.events <- e:
		return true
	}
}
