package lavevent

import (
	"bytes"

	"github.com/pkg/errors"
)

// maxEventBytes is the maximum size of an incomplete event in the buffer.
const maxEventBytes = 1 << 20

// ErrEventTooLarge reports that an incomplete event exceeds maxEventBytes.
var ErrEventTooLarge = errors.New("event exceeds 1 MiB; the server's event stream is damaged")

// Event is one complete event, including the empty line that ends it.
type Event struct {
	// ID is empty if the event has no id line.
	ID    string
	Bytes []byte
}

// Splitter buffers the bytes of a stream until an event is complete. The zero value is ready to use.
type Splitter struct {
	pending []byte
}

// Add appends data to the stream and returns the events that it completes, as copies. It returns them also with
// ErrEventTooLarge, which reports that the incomplete event is too large.
func (s *Splitter) Add(data []byte) ([]Event, error) {
	s.pending = append(s.pending, data...)
	var events []Event
	rest := s.pending
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		events = append(events, Event{ID: eventID(rest[:end]), Bytes: bytes.Clone(rest[:end])})
		rest = rest[end:]
	}
	s.pending = append(s.pending[:0], rest...)
	if len(s.pending) > maxEventBytes {
		return events, ErrEventTooLarge
	}
	return events, nil
}

// Partial reports whether the buffer holds an incomplete event.
func (s *Splitter) Partial() bool {
	return len(s.pending) > 0
}

// eventEnd returns the length of the first event with its empty line, or -1 if no event is complete.
func eventEnd(data []byte) int {
	for from := 0; ; {
		line := bytes.IndexByte(data[from:], '\n')
		if line < 0 {
			return -1
		}
		content := bytes.TrimSuffix(data[from:from+line], []byte("\r"))
		from += line + 1
		if len(content) == 0 {
			return from
		}
	}
}

// eventID returns the value of the last id line.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return id
}
