package lavanswer

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/wire/lavwire"
)

// Buffer holds one answer from its first byte to its end.
type Buffer struct {
	mu      sync.Mutex
	head    *lavwire.Head
	body    []byte
	end     *lavwire.End
	refusal *lavwire.Refusal
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// View is what a buffer holds from an offset on.
type View struct {
	Head    *lavwire.Head
	Body    []byte
	End     *lavwire.End
	Refusal *lavwire.Refusal
	// Changed closes when the buffer holds more.
	Changed <-chan struct{}
}

// Finished tells whether nothing more follows.
func (v View) Finished() bool {
	return v.End != nil || v.Refusal != nil
}

// View returns the content from offset on; Body must not be changed.
func (b *Buffer) View(offset uint64) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := min(offset, uint64(len(b.body)))
	return View{Head: b.head, Body: b.body[from:len(b.body):len(b.body)], End: b.end, Refusal: b.refusal, Changed: b.changed}
}

// SetHead stores the head.
func (b *Buffer) SetHead(head *lavwire.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = head
	b.signal()
}

// Append adds bytes of the body.
func (b *Buffer) Append(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.body = append(b.body, data...)
	b.signal()
}

// Close ends the answer as whole.
func (b *Buffer) Close(usage *lavwire.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || b.refusal != nil {
		return
	}
	b.end = &lavwire.End{Length: uint64(len(b.body)), Checksum: xxhash.Sum64(b.body), Usage: usage}
	b.signal()
}

// Refuse ends the answer with a refusal; a whole answer stays whole.
func (b *Buffer) Refuse(refusal *lavwire.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || b.refusal != nil {
		return
	}
	b.refusal = refusal
	b.signal()
}

func (b *Buffer) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}
