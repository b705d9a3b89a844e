package lavcaller

import (
	"bytes"
)

const eventEnd = "\n\n"

// eventFilter passes whole server-sent events, keeps the closing one back and drops the usage event that the caller did not ask for.
type eventFilter struct {
	dropUsage bool
	partial   []byte
	closing   []byte
}

// filter returns the events that data completes.
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

// isUsageOnly recognises the event that carries usage and no choice.
func isUsageOnly(event []byte) bool {
	return bytes.Contains(event, []byte(`"choices":[]`)) && bytes.Contains(event, []byte(`"usage":{`))
}

// remainder returns the closing event and any bytes after the last whole event.
func (f *eventFilter) remainder() []byte {
	return append(f.closing, f.partial...)
}
