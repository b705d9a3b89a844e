package lavevent

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSplitterReturnsCompleteEvents adds a stream in parts of each size, and guards against events that are lost, changed or
// returned early because a part ends within a line or an event.
func TestSplitterReturnsCompleteEvents(t *testing.T) {
	is := is.New(t)
	const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n: comment\nid: 4\ndata: half"
	for size := 1; size < len(stream); size++ {
		var splitter Splitter
		var ids, text string
		for from := 0; from < len(stream); from += size {
			events, err := splitter.Add([]byte(stream[from:min(from+size, len(stream))]))
			is.NoErr(err)
			for _, event := range events {
				ids += event.ID + ","
				text += string(event.Bytes)
			}
		}
		is.Equal(ids, "1,2,,")
		is.True(strings.HasPrefix(stream, text)) // the bytes are unchanged
		is.True(splitter.Partial())
	}
}

// TestTooLargeEventIsAnError guards against a buffer that grows without limit because an event never ends.
func TestTooLargeEventIsAnError(t *testing.T) {
	is := is.New(t)
	var splitter Splitter
	_, err := splitter.Add(make([]byte, maxEventBytes+1))
	is.Equal(err, ErrEventTooLarge)
}

// TestEventsAreToldFromOtherText guards against bytes that are no events and are delivered as such.
func TestEventsAreToldFromOtherText(t *testing.T) {
	is := is.New(t)
	var splitter Splitter
	events, err := splitter.Add([]byte("id: 1\ndata\n\n: comment\n\nevent: end\n\n\nHTTP/1.1 200 OK\nDate: x\n\nversion: 2\nid: 3\ndata: x\n\n"))
	is.NoErr(err)
	var data, malformed []bool
	for _, event := range events {
		data, malformed = append(data, event.HasData), append(malformed, event.Malformed)
	}
	is.Equal(data, []bool{true, false, false, false, false, true})
	is.Equal(malformed, []bool{false, false, false, false, true, false})
	is.Equal(events[5].ID, "3")
}
