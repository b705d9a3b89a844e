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
	// maxIdleAge is how long an idle connection is kept; most servers keep theirs longer.
	maxIdleAge = 4 * time.Second
	// idleMargin is taken off the idle time that a server states.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 32
	// maxStray bounds the answers to other requests that are passed over on one connection.
	maxStray = 3
)

// Request is one request.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Matches tells whether a response header answers this request; nil accepts every response.
	Matches func(http.Header) bool
	// NewConnection keeps the request off connections that the server may be about to close.
	NewConnection bool
}

// Client keeps connections to servers.
type Client struct {
	connectTimeout time.Duration
	clock          func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts new connections.
	opened atomic.Int64
}

// NewClient returns a client that waits connectTimeout for a new connection.
func NewClient(connectTimeout time.Duration, clock func() time.Time) *Client {
	return &Client{connectTimeout: connectTimeout, clock: clock, idle: make(map[string][]*conn)}
}

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range kept {
		connection.Close()
	}
}

// Tick closes the connections that were idle for too long.
func (c *Client) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		left := kept[:0]
		for _, connection := range kept {
			if now.Before(connection.until) {
				left = append(left, connection)
				continue
			}
			connection.Close()
		}
		if len(left) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = left
	}
}

// Do sends the message to the address and returns the head of its answer, whose body the caller closes.
//
// When ctx ends, the connection is closed, also while the body is read. It
// fails with ErrExchange.
func (c *Client) Do(ctx context.Context, address string, message Request) (*Response, error) {
	connection := c.take(address, message.NewConnection)
	if connection == nil {
		opened, err := dial(ctx, address, c.connectTimeout)
		if err != nil {
			return nil, ErrExchange{Reason: err.Error(), cause: err}
		}
		c.opened.Add(1)
		connection = opened
	}
	answer := &Response{client: c, conn: connection, address: address, written: make(chan error, 1)}
	answer.stop = context.AfterFunc(ctx, func() { connection.Close() })
	if err := answer.exchange(message); err != nil {
		answer.stop()
		connection.Close()
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, ErrExchange{Sent: true, Reason: err.Error(), cause: err}
	}
	return answer, nil
}

func (c *Client) take(address string, fresh bool) *conn {
	if fresh {
		return nil
	}
	now := c.clock()
	for {
		c.mu.Lock()
		kept := c.idle[address]
		if len(kept) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		c.mu.Unlock()
		if last.usable(now) {
			return last
		}
		last.Close()
	}
}

func (c *Client) keep(address string, connection *conn, header http.Header) {
	age := maxIdleAge
	if stated, ok := keepAlive(header); ok {
		age = min(age, stated-idleMargin)
	}
	if age <= 0 {
		connection.Close()
		return
	}
	connection.until = c.clock().Add(age)
	connection.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdle {
		connection.Close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// head returns the request line and headers as they go over the wire.
func (m Request) head() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.HostName + "\r\n")
	header := m.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Del("Host")
	header.Del("Content-Length")
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(m.Body)))
	}
	if err := header.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "write headers")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes(), nil
}
