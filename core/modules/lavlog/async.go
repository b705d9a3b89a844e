package lavlog

import (
	"io"
	"sync/atomic"

	"lavenderswitch/core/modules/lavlife"
)

// maxQueuedLines is the maximum number of lines that wait to be written.
const maxQueuedLines = 4096

// AsyncWriter writes lines in the background. It never blocks the caller and drops lines when its queue is full.
type AsyncWriter struct {
	lavlife.DoneSignal
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to w that runs until Close is called.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	writer := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go writer.run(w)
	return writer
}

func (a *AsyncWriter) run(w io.Writer) {
	defer a.Finish()
	for line := range a.lines {
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write queues one line. It ignores an empty line and always returns success.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.Done()
}
