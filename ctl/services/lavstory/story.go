package lavstory

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
	var found ErrRequestNotFound
	return errors.As(err, &found)
}

// Reader collects what belongs to one request.
type Reader struct {
	request lavid.RequestID
	own     []Line
	// state holds the lines that belong to no request.
	state []Line
}

// NewReader returns a reader for a request.
func NewReader(request lavid.RequestID) *Reader {
	return &Reader{request: request}
}

// Read takes in a log; source names its host where neither the line nor what precedes it does.
func (r *Reader) Read(log io.Reader, source string) error {
	return read(log, source, func(line Line) {
		switch line.Request {
		case r.request:
			r.own = append(r.own, line)
		case "":
			r.state = append(r.state, line)
		}
	})
}

// Story returns the lines of the request in order of time over all hosts, with what its hosts noted of themselves and of
// its backend servers from the time around before its first line to the time around after its last one.
func (r *Reader) Story(around time.Duration) ([]Line, error) {
	if len(r.own) == 0 {
		return nil, ErrRequestNotFound{Request: r.request}
	}
	hosts := make(map[lavid.HostID]bool)
	servers := map[lavid.BackendServerID]bool{"": true}
	first, last := r.own[0].At, r.own[0].At
	for _, line := range r.own {
		hosts[line.Host] = true
		servers[line.Server] = true
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	story := slices.Clone(r.own)
	for _, line := range r.state {
		inTime := !line.At.Before(first.Add(-around)) && !line.At.After(last.Add(around))
		if inTime && hosts[line.Host] && servers[line.Server] {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story, nil
}
