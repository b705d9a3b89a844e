package lavexchange

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxIdleTime is how long an idle connection is kept. Most servers keep theirs longer.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 32
	// maxIdleUnneeded is the number of idle connections to one server up to which those are kept that were opened for a
	// request that required a new one. Such requests reuse none, so that more would only fill up the server's connections.
	maxIdleUnneeded = 2
	// minAcceptWait and maxAcceptWait bound the time that a new connection waits for its reset by a server that accepts no
	// more connections.
	minAcceptWait = time.Millisecond
	maxAcceptWait = 10 * time.Millisecond
	// maxStrayResponses is the maximum number of responses to other requests that are skipped on one connection.
	maxStrayResponses = 3
)

// Request is one HTTP request.
type Request struct {
	Method string
	// Target is the path and query as written in the request line.
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Matches reports whether response headers belong to this request. Nil accepts every response.
	Matches func(http.Header) bool
	// Names reports whether response headers name this request. On a connection that was used before, a response that names none may be a
	// second copy of an earlier one: it fails the exchange. Nil accepts every response.
	Names func(http.Header) bool
	// NewConnection requires a new connection. A server may be about to close an idle one, and it would then be unknown
	// whether the request ran. The request is sent once the server had the time to reset a connection that it does not accept.
	NewConnection bool
	// MaySend is called once a connection is open and reports whether the request may still be sent. Nil allows it.
	MaySend func() bool
}

// ErrWithheld is the ErrExchange of a request that MaySend did not allow.
var ErrWithheld error = ErrExchange{Reason: "server may not take the request any more"}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	connectTimeout time.Duration
	clock          func() time.Time

	mu sync.Mutex
	// idle holds the idle connections to each address, the most recently used last.
	idle map[string][]*conn
	// opened counts the connections opened so far.
	opened atomic.Int64
}

// NewClient returns a client that waits up to connectTimeout for a new connection.
func NewClient(connectTimeout time.Duration, clock func() time.Time) *Client {
	return &Client{connectTimeout: connectTimeout, clock: clock, idle: make(map[string][]*conn)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range idle {
		connection.Close()
	}
}

// Tick closes the connections that have been idle for too long.
func (c *Client) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		remaining := idle[:0]
		for _, connection := range idle {
			if now.Before(connection.idleDeadline) {
				remaining = append(remaining, connection)
				continue
			}
			connection.Close()
		}
		if len(remaining) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = remaining
	}
}

// Do sends the request to the address and returns once the response headers are read. The caller must close the response.
//
// When ctx ends, the connection is closed, even while the body is being read. Do fails with ErrExchange.
func (c *Client) Do(ctx context.Context, address string, request Request) (*Response, error) {
	connection := c.takeIdle(address, request.NewConnection)
	if connection == nil {
		opened, err := c.open(ctx, address, request.NewConnection)
		if err != nil {
			return nil, ErrExchange{Reason: err.Error(), cause: err}
		}
		connection = opened
	}
	if request.MaySend != nil && !request.MaySend() {
		c.putIdle(address, connection, nil)
		return nil, ErrWithheld
	}
	response := &Response{client: c, conn: connection, address: address, sendResult: make(chan error, 1)}
	response.stopCancelWatch = context.AfterFunc(ctx, func() { connection.Close() })
	if err := response.exchange(request); err != nil {
		response.stopCancelWatch()
		connection.Close()
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, ErrExchange{Sent: true, Reason: err.Error(), cause: err}
	}
	return response, nil
}

// open opens a connection. If the request requires a new one, it waits about as long as the connection took to be opened for a
// reset by the server.
func (c *Client) open(ctx context.Context, address string, required bool) (*conn, error) {
	began := c.clock()
	opened, err := dial(ctx, address, c.connectTimeout)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	opened.unneeded = required
	if !required {
		return opened, nil
	}
	if err := opened.awaitReset(min(max(c.clock().Sub(began), minAcceptWait), maxAcceptWait)); err != nil {
		opened.Close()
		return nil, err
	}
	return opened, nil
}

// takeIdle returns a usable idle connection, or nil if there is none or a new connection is required.
func (c *Client) takeIdle(address string, newConnection bool) *conn {
	if newConnection {
		return nil
	}
	now := c.clock()
	for {
		c.mu.Lock()
		idle := c.idle[address]
		if len(idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		if last.usable(now) {
			return last
		}
		last.Close()
	}
}

// putIdle adds a connection to the idle pool, or closes it if the pool is full or the server closes idle connections at once.
func (c *Client) putIdle(address string, connection *conn, header http.Header) {
	idleTime := maxIdleTime
	if statedTime, ok := keepAlive(header); ok {
		idleTime = min(idleTime, statedTime-idleMargin)
	}
	if idleTime <= 0 {
		connection.Close()
		return
	}
	connection.idleDeadline = c.clock().Add(idleTime)
	connection.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := len(c.idle[address])
	if kept >= maxIdlePerServer || connection.unneeded && kept >= maxIdleUnneeded {
		connection.Close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// head returns the encoded request line and headers.
func (r Request) head() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.HostName + "\r\n")
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Del("Host")
	header.Del("Content-Length")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if err := header.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "write headers")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes(), nil
}
