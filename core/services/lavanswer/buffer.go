package lavanswer

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lavenderswitch/wire/lavwire"
)

// retainedBytes is how many bytes before the newest consumed one are kept under memory pressure, because bytes in
// transit can be lost with the reader's connection.
const retainedBytes = 1 << 20

// Options bound the memory of one buffer.
type Options struct {
	// Budget is shared with other buffers; nil means no bound.
	Budget *Budget
	// Window is how many bytes the body may be ahead of the reader before Append blocks; zero means no bound. The last block
	// may exceed it.
	Window int
	// KeepAll keeps every byte until Free, even after a reader has consumed it; Window then has no effect.
	KeepAll bool
}

// Buffer holds one answer from its first byte to its end; it is safe for concurrent use.
type Buffer struct {
	options Options
	mu      sync.Mutex
	head    *lavwire.Head
	// dropped counts the bytes before body that are no longer held.
	dropped uint64
	body    []byte
	// consumed is the highest offset up to which any reader has received the body.
	consumed uint64
	digest   *xxhash.Digest
	end      *lavwire.End
	refusal  *lavwire.Refusal
	freed    bool
	changed  chan struct{}
}

// NewBuffer returns an empty buffer without bounds.
func NewBuffer() *Buffer {
	return New(Options{})
}

// New returns an empty buffer with the given bounds.
func New(options Options) *Buffer {
	return &Buffer{options: options, digest: xxhash.New(), changed: make(chan struct{})}
}

// View is the content of a buffer from an offset on.
type View struct {
	Head    *lavwire.Head
	Body    []byte
	End     *lavwire.End
	Refusal *lavwire.Refusal
	// Gone reports that the bytes at the offset are no longer held.
	Gone bool
	// Changed closes at the next change of the buffer.
	Changed <-chan struct{}
}

// Finished reports whether the answer has ended, completely or with a refusal.
func (v View) Finished() bool {
	return v.End != nil || v.Refusal != nil
}

// View returns the content from offset on; the caller must not change Body.
func (b *Buffer) View(offset uint64) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := View{Head: b.head, End: b.end, Refusal: b.refusal, Changed: b.changed}
	if offset < b.dropped {
		view.Gone = true
		return view
	}
	from := min(offset-b.dropped, uint64(len(b.body)))
	view.Body = b.body[from:len(b.body):len(b.body)]
	return view
}

// Length returns the number of bytes written so far.
func (b *Buffer) Length() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.length()
}

func (b *Buffer) length() uint64 {
	return b.dropped + uint64(len(b.body))
}

// Consumed records that a reader has received the bytes up to offset.
func (b *Buffer) Consumed(offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset <= b.consumed {
		return
	}
	b.consumed = offset
	if b.options.Window > 0 && b.end == nil {
		b.signal()
	}
}

// SetHead stores the head of the answer; later calls change nothing.
func (b *Buffer) SetHead(head *lavwire.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head != nil {
		return
	}
	b.head = head
	b.signal()
}

// Append adds bytes to the body. It blocks while the window or the budget is used up, and fails when ctx ends first.
func (b *Buffer) Append(ctx context.Context, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	for {
		wait := b.tryAppend(data)
		if wait == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the answer's readers are too slow")
		case <-wait:
		}
	}
}

// tryAppend returns nil when the bytes were added, or a channel that closes when another try may succeed.
func (b *Buffer) tryAppend(data []byte) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	ahead := b.length() - min(b.consumed, b.length())
	if b.options.Window > 0 && !b.options.KeepAll && ahead > uint64(b.options.Window) {
		return b.changed
	}
	if b.options.Budget != nil {
		if b.options.Budget.UnderPressure() {
			b.trim()
		}
		if ok, freed := b.options.Budget.reserve(int64(len(data))); !ok {
			return freed
		}
	}
	b.body = append(b.body, data...)
	_, _ = b.digest.Write(data)
	b.signal()
	return nil
}

// trim drops the consumed bytes except the last retainedBytes of them.
func (b *Buffer) trim() {
	if b.options.KeepAll || b.consumed < b.dropped+retainedBytes {
		return
	}
	drop := min(b.consumed-retainedBytes-b.dropped, uint64(len(b.body)))
	b.body = slices.Clone(b.body[drop:])
	b.dropped += drop
	b.options.Budget.release(int64(drop))
}

// Close ends the answer as complete; it changes nothing after an earlier end or refusal.
func (b *Buffer) Close(usage *lavwire.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || b.refusal != nil {
		return
	}
	b.end = &lavwire.End{Length: b.length(), Checksum: b.digest.Sum64(), Usage: usage}
	b.signal()
}

// Refuse ends the answer with a refusal; it changes nothing after an earlier end or refusal.
func (b *Buffer) Refuse(refusal *lavwire.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil || b.refusal != nil {
		return
	}
	b.refusal = refusal
	b.signal()
}

// Free releases the memory; later views at an offset below the answer's length have Gone set.
func (b *Buffer) Free() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed {
		return
	}
	b.freed = true
	if b.options.Budget != nil {
		b.options.Budget.release(int64(len(b.body)))
	}
	b.dropped = b.length()
	b.body = nil
	b.signal()
}

func (b *Buffer) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}
