package lavexplain

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// ErrRequestNotFound says that no line names a request.
type ErrRequestNotFound struct{ Request lavid.RequestID }

// Error names the remedy.
func (e ErrRequestNotFound) Error() string {
	return fmt.Sprintf("no line names request %q; read the logs of all entry hosts of that time, and look for \"lines left out\" in them", string(e.Request))
}

// IsErrRequestNotFound tells whether err says that no line names a request.
func IsErrRequestNotFound(err error) bool {
	var notFound ErrRequestNotFound
	return errors.As(err, &notFound)
}

// Reader collects what belongs to one request.
type Reader struct {
	request      lavid.RequestID
	requestLines []Line
	// state holds the lines that belong to no request.
	hostLines []Line
}

// NewReader returns a reader for a request.
func NewReader(request lavid.RequestID) *Reader {
	return &Reader{request: request}
}

// Read takes in a log; source names its host where neither the line nor what precedes it does.
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

// Lines returns the lines of the request in order of time over all hosts, with what its hosts noted of themselves and of
// its backend servers from the time around before its first line to the time around after its last one.
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
