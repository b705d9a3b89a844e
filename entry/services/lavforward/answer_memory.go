package lavforward

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes is the largest answer that is buffered before delivery.
	maxBufferedBytes = 8 << 20
	// freeBufferBytes is what each request may buffer of its answer. Larger buffers share Settings.BufferBytes, from which they
	// take steps of bufferStepBytes.
	freeBufferBytes = 64 << 10
	bufferStepBytes = 64 << 10
)

// errBuffersFull reports that the buffers of all requests together are full.
var errBuffersFull = errors.New("buffers for large answers are full")

// bufferBudget bounds the bytes of answers that all requests together buffer. It is safe for concurrent use.
type bufferBudget struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// change takes or returns bytes and reports whether there are as many left.
func (b *bufferBudget) change(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 && b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

// inUse returns the bytes that are taken.
func (b *bufferBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserveBuffer changes what the request may buffer to the given number of bytes. It fails with errBuffersFull.
func (e *execution) reserveBuffer(bytes int) error {
	steps := max(bytes-freeBufferBytes+bufferStepBytes-1, 0) / bufferStepBytes
	needed := int64(steps) * bufferStepBytes
	if !e.buffers.change(needed - e.bufferedBytes) {
		return errBuffersFull
	}
	e.bufferedBytes = needed
	return nil
}

// releaseBuffer returns what the request has reserved.
func (e *execution) releaseBuffer() {
	e.buffers.change(-e.bufferedBytes)
	e.bufferedBytes = 0
}

// readBuffered reads a whole body of at most maxBufferedBytes. Its buffer is reserved until releaseBuffer.
func (e *execution) readBuffered(body io.Reader) ([]byte, error) {
	data, err := e.readAll(body)
	if err != nil {
		e.releaseBuffer()
		return nil, err
	}
	return data, nil
}

func (e *execution) readAll(body io.Reader) ([]byte, error) {
	var data []byte
	chunk := make([]byte, streamReadBytes)
	for {
		count, err := body.Read(chunk)
		if len(data)+count > maxBufferedBytes {
			return nil, errors.New("answer is larger than 8 MiB")
		}
		if reserveErr := e.reserveBuffer(len(data) + count); reserveErr != nil {
			return nil, reserveErr
		}
		data = append(data, chunk[:count]...)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
	}
}
