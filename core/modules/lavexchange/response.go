package lavexchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Response is the head of a response and its body.
type Response struct {
	Status int
	Header http.Header

	client  *Client
	conn    *conn
	address string
	body    io.ReadCloser
	// closeConn says that the connection ends with this answer.
	closeConn       bool
	complete        bool
	stopCancelWatch func() bool
	// sendResult receives the outcome of sending the request.
	sendResult chan error
	once       sync.Once
}

// exchange sends the message and reads the head of its answer, which may come before the body is sent.
func (r *Response) exchange(request Request) error {
	head, err := request.head()
	if err != nil {
		return err
	}
	if len(head)+len(request.Body) <= maxSingleWriteBytes {
		_, err = r.conn.Write(append(head, request.Body...))
		r.sendResult <- err
		if err != nil {
			return errors.Wrap(err, "send")
		}
	} else {
		go r.send(head, request.Body)
	}
	return r.readHead(request)
}

// maxSingleWriteBytes is small enough for the send buffer of a new connection.
const maxSingleWriteBytes = 8 << 10

func (r *Response) send(head, body []byte) {
	_, err := r.conn.Write(head)
	if err == nil {
		_, err = r.conn.Write(body)
	}
	r.sendResult <- err
}

// readHead passes over interim responses and answers to other requests.
func (r *Response) readHead(request Request) error {
	for strayCount := 0; strayCount <= maxStrayResponses; {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: request.Method}) //nolint:bodyclose // the connection is closed or kept with the answer
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches != nil && !request.Matches(response.Header) {
			strayCount++
			if response.Close {
				return errors.New("connection ends with an answer to another request")
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read answer to another request")
			}
			r.closeConn = true
			continue
		}
		r.Status, r.Header, r.body = response.StatusCode, response.Header, response.Body
		r.closeConn = r.closeConn || response.Close
		return nil
	}
	return errors.New("answers belong to other requests")
}

// Read reads the body; it returns io.EOF only after the whole of it.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.body.Read(buffer)
	if err == io.EOF {
		r.complete = true
	}
	return count, err
}

// Close keeps the connection after a whole answer and closes it otherwise, which makes most servers stop their work.
func (r *Response) Close() error {
	r.once.Do(r.release)
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

// sentWhole tells whether the whole request went out, without waiting.
func (r *Response) sentWhole() bool {
	select {
	case err := <-r.sendResult:
		return err == nil
	default:
		return false
	}
}

// keepAlive returns the idle time that a response states.
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
