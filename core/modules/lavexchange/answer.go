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
	// closes says that the connection ends with this answer.
	closes bool
	whole  bool
	stop   func() bool
	// written receives the outcome of sending the request.
	written chan error
	once    sync.Once
}

// exchange sends the message and reads the head of its answer, which may come before the body is sent.
func (a *Response) exchange(message Request) error {
	head, err := message.head()
	if err != nil {
		return err
	}
	if len(head)+len(message.Body) <= writeAtOnce {
		_, err = a.conn.Write(append(head, message.Body...))
		a.written <- err
		if err != nil {
			return errors.Wrap(err, "send")
		}
	} else {
		go a.send(head, message.Body)
	}
	return a.readHead(message)
}

// writeAtOnce is small enough for the send buffer of a new connection.
const writeAtOnce = 8 << 10

func (a *Response) send(head, body []byte) {
	_, err := a.conn.Write(head)
	if err == nil {
		_, err = a.conn.Write(body)
	}
	a.written <- err
}

// readHead passes over interim responses and answers to other requests.
func (a *Response) readHead(message Request) error {
	for stray := 0; stray <= maxStray; {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: message.Method}) //nolint:bodyclose // the connection is closed or kept with the answer
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if message.Matches != nil && !message.Matches(response.Header) {
			stray++
			if response.Close {
				return errors.New("connection ends with an answer to another request")
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return errors.Wrap(err, "read answer to another request")
			}
			a.closes = true
			continue
		}
		a.Status, a.Header, a.body = response.StatusCode, response.Header, response.Body
		a.closes = a.closes || response.Close
		return nil
	}
	return errors.New("answers belong to other requests")
}

// Read reads the body; it returns io.EOF only after the whole of it.
func (a *Response) Read(buffer []byte) (int, error) {
	count, err := a.body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return count, err
}

// Close keeps the connection after a whole answer and closes it otherwise, which makes most servers stop their work.
func (a *Response) Close() error {
	a.once.Do(a.release)
	return nil
}

func (a *Response) release() {
	running := a.stop()
	if !running || !a.whole || a.closes || !a.sent() {
		a.conn.Close()
		return
	}
	a.client.keep(a.address, a.conn, a.Header)
}

// sent tells whether the whole request went out, without waiting.
func (a *Response) sent() bool {
	select {
	case err := <-a.written:
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
