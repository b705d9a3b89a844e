package lavforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/services/lavbuffer"
)

const (
	// maxHeldBytes is what a host holds at most for one caller who reads slowly. It is many times the usual stream.
	maxHeldBytes = 256 << 10
	// minHeldRead is the room that a stream needs to be read on.
	minHeldRead = streamReadBytes
	// behindAfter is how long a write to a caller may take before the stream is read on meanwhile.
	behindAfter = 50 * time.Millisecond
)

// errCallerTooSlow reports that a stream was ended as its caller was behind and the bytes held for all callers were used up.
var errCallerTooSlow = errors.New("caller reads too slowly")

// readAhead reads a stream on while its caller is behind, as far as the budget allows. It implements io.Reader.
type readAhead struct {
	body   io.Reader
	budget *lavbuffer.Budget
	stream *lavbuffer.Stream
	clock  func() time.Time
	cancel context.CancelFunc
	// onRead is called with each read from the server.
	onRead func()
	done   chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	held    []byte
	err     error
	stopped bool
	// asked is set while Read waits for bytes, and behind while a write to the caller takes long. Otherwise the server is not read.
	asked  bool
	behind bool
	// full is set while the stream is not read, for lack of room.
	full bool
}

// startReadAhead starts to read the body. End of the stream is called if the stream has to end.
func startReadAhead(body io.Reader, budget *lavbuffer.Budget, stream *lavbuffer.Stream, clock func() time.Time, cancel context.CancelFunc, onRead func()) *readAhead {
	r := &readAhead{body: body, budget: budget, stream: stream, clock: clock, cancel: cancel, onRead: onRead, done: make(chan struct{})}
	r.changed.L = &r.mu
	go r.run()
	return r
}

// run reads the body until it ends or the stream is stopped.
func (r *readAhead) run() {
	defer close(r.done)
	defer r.end()
	buffer := make([]byte, streamReadBytes)
	for r.awaitRoom() {
		count, err := r.body.Read(buffer)
		if count > 0 {
			r.onRead()
		}
		if ahead := r.isAhead(); ahead && count > 0 && !r.budget.Take(r.stream, int64(count), r.clock()) {
			err = errCallerTooSlow
		}
		r.mu.Lock()
		r.held = append(r.held, buffer[:count]...)
		r.err = err
		r.asked = r.asked && count == 0 && err == nil
		r.mu.Unlock()
		r.changed.Broadcast()
		if err != nil {
			return
		}
	}
}

// isAhead reports whether nobody waits for what was read, so that it counts as held.
func (r *readAhead) isAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.asked
}

// end makes Read return if the stream ends in another way than by an error of the body.
func (r *readAhead) end() {
	r.mu.Lock()
	if r.err == nil {
		r.err = io.ErrUnexpectedEOF
	}
	r.mu.Unlock()
	r.changed.Broadcast()
}

// awaitRoom waits until bytes are asked for, or until the caller is behind and the stream may hold more. It reports whether the stream
// is to be read on.
func (r *readAhead) awaitRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.stopped && !r.asked {
		room := r.budget.Room(r.stream, minHeldRead)
		if r.behind && room {
			break
		}
		r.full = r.behind && !room
		r.changed.Wait()
	}
	r.full = false
	return !r.stopped
}

// watch notes if what follows takes long, such as a write to the caller, until the returned function is called. The stream is then
// read on meanwhile.
func (r *readAhead) watch() func() {
	timer := time.AfterFunc(behindAfter, func() { r.setBehind(true) })
	return func() {
		timer.Stop()
		r.setBehind(false)
	}
}

func (r *readAhead) setBehind(behind bool) {
	r.mu.Lock()
	r.behind = behind
	r.mu.Unlock()
	r.changed.Broadcast()
}

// Read returns what was read from the server, in order, and its error at the end.
func (r *readAhead) Read(buffer []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.held) == 0 && r.err == nil {
		r.asked = true
		r.changed.Broadcast()
		r.changed.Wait()
	}
	r.asked = false
	count := copy(buffer, r.held)
	r.held = r.held[count:]
	if len(r.held) == 0 {
		r.held = nil
	}
	r.budget.Return(r.stream, int64(count))
	r.changed.Broadcast()
	if len(r.held) == 0 {
		return count, r.err
	}
	return count, nil
}

// isFull reports whether the server is not read because the caller is too far behind.
func (r *readAhead) isFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full
}

// stop ends the reading and returns what is held to the budget. A body that was not read to its end is cancelled.
func (r *readAhead) stop() {
	r.mu.Lock()
	r.stopped = true
	ended := r.err != nil
	r.mu.Unlock()
	r.changed.Broadcast()
	if !ended {
		r.cancel()
	}
	<-r.done
	r.budget.Release(r.stream)
}
