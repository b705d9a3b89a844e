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
	// HasData reports whether the event has data. Comments and empty lines have none.
	HasData bool
	// Malformed reports that the event has a line, and none that is a comment or a known field.
	Malformed bool
	// Empty reports that the event is just an empty line.
	Empty bool
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
		events = append(events, parseEvent(bytes.Clone(rest[:end])))
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

// Buffered returns the number of bytes of the incomplete event.
func (s *Splitter) Buffered() int { return len(s.pending) }

// parseEvent returns the event with the given bytes.
func parseEvent(data []byte) Event {
	event := Event{Bytes: data}
	lines, known := 0, 0
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		lines++
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			event.HasData = true
		case "", "event", "retry":
		default:
			continue
		}
		known++
	}
	event.Malformed, event.Empty = lines > 0 && known == 0, lines == 0
	return event
}
