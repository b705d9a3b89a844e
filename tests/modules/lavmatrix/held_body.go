package lavmatrix

import (
	"io"
	"sync"
)

// heldBody is a request body that blocks the reader after the first half until release is called.
type heldBody struct {
	mu          sync.Mutex
	data        []byte
	offset      int
	released    chan struct{}
	reached     chan struct{}
	reachOnce   sync.Once
	releaseOnce sync.Once
}

func newHeldBody() *heldBody {
	return &heldBody{released: make(chan struct{}), reached: make(chan struct{})}
}

// setData sets the content of the body. It must be called before the first Read.
func (b *heldBody) setData(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = data
}

// Read implements io.Reader. After the first half it blocks until release is called.
func (b *heldBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	half := len(b.data) / 2
	offset := b.offset
	b.mu.Unlock()
	limit := half
	if offset >= half {
		b.reachOnce.Do(func() { close(b.reached) })
		<-b.released
		limit = len(b.data)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.offset == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.offset:limit])
	b.offset += n
	return n, nil
}

// isHalfRead reports whether the reader has read the first half and is blocked.
func (b *heldBody) isHalfRead() bool {
	select {
	case <-b.reached:
		return true
	default:
		return false
	}
}

// release lets the reader read the second half. It may be called more than once.
func (b *heldBody) release() {
	b.releaseOnce.Do(func() { close(b.released) })
}
