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

// maxLine bounds one line of a log.
const maxLineBytes = 1 << 20

// The fields of a line that have a place of their own in Line.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLevel   = "level"
)

// Line is one line of a log.
type Line struct {
	// At is when it happened, which can be before the line was written.
	At      time.Time
	Host    lavid.HostID
	What    string
	Request lavid.RequestID
	Server  lavid.BackendServerID `json:",omitempty"`
	// Fields are all other fields.
	Fields map[string]any `json:",omitempty"`
}

// read calls visit with each line of a log that holds a JSON object; what precedes the object, as a collector may put
// there, names the host when the line does not.
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
	// A line without a readable time stays at the beginning of the story.
	line.At, _ = time.Parse(time.RFC3339Nano, pop(fieldTime))
	if ago, ok := fields[lavlog.FieldAgo].(float64); ok {
		line.At = line.At.Add(-time.Duration(ago) * time.Millisecond)
		delete(fields, lavlog.FieldAgo)
	}
	delete(fields, fieldLevel)
	line.Fields = fields
	return line
}
