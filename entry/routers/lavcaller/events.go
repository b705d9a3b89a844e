package lavcaller

import (
	"bytes"
)

const eventEnd = "\n\n"

// eventFilter splits a stream into server-sent events. It holds back the closing event, and drops the usage event
// unless the caller asked for it.
type eventFilter struct {
	dropUsage bool
	partial   []byte
	closing   []byte
}

// filter adds data and returns the events that are complete and may be sent.
func (f *eventFilter) filter(data []byte) []byte {
	f.partial = append(f.partial, data...)
	var out []byte
	for {
		end := bytes.Index(f.partial, []byte(eventEnd))
		if end < 0 {
			return out
		}
		event := f.partial[:end+len(eventEnd)]
		f.partial = f.partial[end+len(eventEnd):]
		out = f.appendEvent(out, event)
	}
}

func (f *eventFilter) appendEvent(out, event []byte) []byte {
	if bytes.HasPrefix(event, []byte("data: [DONE]")) {
		f.closing = append(f.closing, event...)
		return out
	}
	if f.dropUsage && isUsageOnly(event) {
		return out
	}
	return append(out, event...)
}

// isUsageOnly reports whether an event carries usage and no choice.
func isUsageOnly(event []byte) bool {
	return bytes.Contains(event, []byte(`"choices":[]`)) && bytes.Contains(event, []byte(`"usage":{`))
}

// remainder returns the closing event and the bytes of an incomplete last event.
func (f *eventFilter) remainder() []byte {
	return append(f.closing, f.partial...)
}
