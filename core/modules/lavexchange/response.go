package lavexchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavtcp"
)

// Response is a response whose status and headers are read. Its body is read with Read.
type Response struct {
	Status int
	Header http.Header

	client  *Client
	conn    *conn
	address string
	body    io.ReadCloser
	// closeConn reports that the connection must not be reused after this response.
	closeConn       bool
	complete        bool
	stopCancelWatch func() bool
	// sendResult receives the result of sending the request.
	sendResult  chan error
	releaseOnce sync.Once
}

// exchange sends the request and reads the status and headers of its response, which may arrive before the request body
// is sent.
func (r *Response) exchange(request Request) error {
	head, err := request.head()
	if err != nil {
		return err
	}
	if len(head)+len(request.Body) <= maxSingleWriteBytes {
		_, err = r.conn.Write(append(head, request.Body...))
		r.sendResult <- err
		if err != nil {
			return errors.Wrap(err, "send request")
		}
	} else {
		go r.send(head, request.Body)
	}
	return r.readHead(request)
}

// maxSingleWriteBytes fits into the send buffer of a new connection, so that such a write does not block.
const maxSingleWriteBytes = 8 << 10

func (r *Response) send(head, body []byte) {
	_, err := r.conn.Write(head)
	if err == nil {
		_, err = r.conn.Write(body)
	}
	r.sendResult <- err
}

// maxHeadBytes is the number of bytes that are read before the body of the answer, with interim responses and responses to
// other requests.
const maxHeadBytes = 256 << 10

// IsKnownStatus reports whether HTTP defines the class of a status. Callers can't read answers with another one.
func IsKnownStatus(status int) bool { return status >= 100 && status < 600 }

// readHead reads the status and headers. It skips interim responses and responses to other requests.
func (r *Response) readHead(request Request) error {
	r.conn.limit.limited, r.conn.limit.left = true, maxHeadBytes
	defer func() { r.conn.limit.limited = false }()
	for strayCount := 0; strayCount <= maxStrayResponses; {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // Response.Close closes or pools the connection
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if !IsKnownStatus(response.StatusCode) {
			return errors.Errorf("response has the unknown status %03d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches != nil && !request.Matches(response.Header) {
			strayCount++
			if response.Close {
				return errors.New("connection closes after a response to another request")
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read response to another request")
			}
			r.closeConn = true
			continue
		}
		if r.conn.used && request.Names != nil && !request.Names(response.Header) {
			return errors.New("response on a reused connection does not name its request")
		}
		r.Status, r.Header, r.body = response.StatusCode, response.Header, response.Body
		r.closeConn = r.closeConn || response.Close
		return nil
	}
	return errors.New("too many responses to other requests")
}

// Read reads the body. It returns io.EOF only after the complete body.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.body.Read(buffer)
	if err == io.EOF {
		r.complete = true
	}
	return count, err
}

// ReceivedAgo returns how long ago the latest bytes of the server arrived at this host, or false if that is not known.
func (r *Response) ReceivedAgo() (time.Duration, bool) { return lavtcp.ReceivedAgo(r.conn.limit.Conn) }

// Close returns the connection to the idle pool after a complete body. Otherwise it closes the connection, which makes
// most servers cancel the request.
func (r *Response) Close() error {
	r.releaseOnce.Do(r.release)
	return nil
}

func (r *Response) release() {
	running := r.stopCancelWatch()
	if !running || !r.complete || r.closeConn || !r.sentWhole() {
		r.conn.Close()
		return
	}
	r.client.putIdle(r.address, r.conn, r.Header)
}

// sentWhole reports, without blocking, whether the complete request has been sent.
func (r *Response) sentWhole() bool {
	select {
	case err := <-r.sendResult:
		return err == nil
	default:
		return false
	}
}

// keepAlive returns the timeout of the Keep-Alive header, and whether there is one.
func keepAlive(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}
