package lavexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Keys of a log line that are not copied to Line.Fields, beside those of lavlog.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLevel   = "level"
)

// Line is one log line. What is its message.
type Line struct {
	// At is the time of the event, which can be earlier than that of the log line.
	At      time.Time
	Host    lavid.HostID
	What    string
	Request lavid.RequestID
	Server  lavid.BackendServerID `json:",omitempty"`
	// Fields holds all other log fields.
	Fields map[string]any `json:",omitempty"`
}

// readLines calls visit for each log line that contains a JSON object. When the object does not name its host, the host
// is the last word before the object, where log collectors write it, or else source.
func readLines(log io.Reader, source string, visit func(Line)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue
		}
		host := source
		if prefix := strings.Fields(string(scanner.Bytes()[:start])); len(prefix) > 0 {
			host = prefix[len(prefix)-1]
		}
		visit(decode(fields, host))
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

// decode returns the Line with the given log fields. Log fields without a counterpart in Line, other than the level, go
// to Line.Fields. host is the host of a line without the log field host_id.
func decode(fields map[string]any, host string) Line {
	pop := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := Line{
		What:    pop(fieldMessage),
		Request: lavid.RequestID(pop(lavlog.FieldRequest)),
		Server:  lavid.BackendServerID(pop(lavlog.FieldServer)),
		Host:    lavid.HostID(pop(lavlog.FieldHost)),
	}
	if line.Host == "" {
		line.Host = lavid.HostID(host)
	}
	// A line without a valid time gets the zero time, which sorts first.
	line.At, _ = time.Parse(time.RFC3339Nano, pop(fieldTime))
	if ago, ok := fields[lavlog.FieldAgo].(float64); ok {
		line.At = line.At.Add(-time.Duration(ago) * time.Millisecond)
		delete(fields, lavlog.FieldAgo)
	}
	delete(fields, fieldLevel)
	line.Fields = fields
	return line
}
