package lavexplain

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// ErrRequestNotFound is returned when no log line has the id of the request. An entry host may also have left the lines
// out to limit its log.
type ErrRequestNotFound struct{ Request lavid.RequestID }

// Error returns the message and a remedy.
func (e ErrRequestNotFound) Error() string {
	return fmt.Sprintf("no line names request %q; read the logs of all entry hosts for that time, and search them for \"lines left out\"", string(e.Request))
}

// IsErrRequestNotFound reports whether err is an ErrRequestNotFound.
func IsErrRequestNotFound(err error) bool {
	var notFound ErrRequestNotFound
	return errors.As(err, &notFound)
}

// Reader collects the log lines that can explain one request.
type Reader struct {
	request lavid.RequestID
	// requestLines holds the lines of the request.
	requestLines []Line
	// hostLines holds the lines that belong to no request.
	hostLines []Line
}

// NewReader returns a reader for the request with the given id.
func NewReader(request lavid.RequestID) *Reader {
	return &Reader{request: request}
}

// Read reads a log. Lines that do not name a host are attributed to source.
func (r *Reader) Read(log io.Reader, source string) error {
	return readLines(log, source, func(line Line) {
		switch line.Request {
		case r.request:
			r.requestLines = append(r.requestLines, line)
		case "":
			r.hostLines = append(r.hostLines, line)
		}
	})
}

// Lines returns the lines of the request from all hosts, in order of time. It adds the lines without a request id that
// the same hosts wrote about themselves and about the request's backend servers, from the time around before its first
// line to the time around after its last one. Without a line of the request, it returns ErrRequestNotFound.
func (r *Reader) Lines(around time.Duration) ([]Line, error) {
	if len(r.requestLines) == 0 {
		return nil, ErrRequestNotFound{Request: r.request}
	}
	hosts := make(map[lavid.HostID]bool)
	servers := map[lavid.BackendServerID]bool{"": true}
	first, last := r.requestLines[0].At, r.requestLines[0].At
	for _, line := range r.requestLines {
		hosts[line.Host] = true
		servers[line.Server] = true
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	lines := slices.Clone(r.requestLines)
	for _, line := range r.hostLines {
		inTime := !line.At.Before(first.Add(-around)) && !line.At.After(last.Add(around))
		if inTime && hosts[line.Host] && servers[line.Server] {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}
