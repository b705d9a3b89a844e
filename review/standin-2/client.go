package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one request of a client.
type request struct {
	id, path, key string
	body          []byte
	budget        time.Duration
	header        string
}

// result is what a client has seen of a request.
type result struct {
	status int
	body   string
	// signature is the MAC of the answer.
	signature string
	err       error
	// wrote states that the whole request was written.
	wrote bool
}

// connection is a client's kept connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

func dial(front string) (*connection, error) {
	conn, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer. Pieces is the number of parts in which the body is written, one every 100 ms.
func (c *connection) send(r request, pieces int) result {
	_ = c.SetDeadline(time.Now().Add(r.budget + time.Second))
	c.used++
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n", r.path, r.id, r.budget.Milliseconds(), r.key, r.header, len(r.body))
	if _, err := io.WriteString(c, head); err != nil {
		return result{err: err}
	}
	rest := r.body
	for part := range pieces {
		size := len(rest) / (pieces - part)
		if part > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := c.Write(rest[:size]); err != nil {
			return result{err: err}
		}
		rest = rest[size:]
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return result{err: err, wrote: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(body), signature: response.Header.Get("Response-Signature"), err: err, wrote: true}
}
