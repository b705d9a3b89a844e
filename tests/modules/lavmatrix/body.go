package lavmatrix

import (
	"io"
	"sync"
)

// heldBody gives half of a body, then waits until it is released.
type heldBody struct {
	mu       sync.Mutex
	data     []byte
	read     int
	released chan struct{}
	reached  chan struct{}
	once     sync.Once
	free     sync.Once
}

func newHeldBody() *heldBody {
	return &heldBody{released: make(chan struct{}), reached: make(chan struct{})}
}

func (b *heldBody) fill(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = data
}

// Read returns the next bytes of the body.
func (b *heldBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	half := len(b.data) / 2
	read := b.read
	b.mu.Unlock()
	limit := half
	if read >= half {
		b.once.Do(func() { close(b.reached) })
		<-b.released
		limit = len(b.data)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:limit])
	b.read += n
	return n, nil
}

func (b *heldBody) isReached() bool {
	select {
	case <-b.reached:
		return true
	default:
		return false
	}
}

func (b *heldBody) release() {
	b.free.Do(func() { close(b.released) })
}
