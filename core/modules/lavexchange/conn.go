package lavexchange

import (
	"bufio"
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lavenderswitch/core/modules/lavtcp"
)

const (
	// readBufferBytes is the size of the read buffer of one connection.
	readBufferBytes = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection whose peer does not respond after about
	// three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout closes a connection whose peer does not acknowledge sent data.
	unackedTimeout = 800 * time.Millisecond
)

// errTooManyBytes reports that a peer has sent more than it may before an answer begins.
var errTooManyBytes = errors.New("server sent too many bytes that are no answer")

// limitedReader reads from a connection until its limit is used up, if it has one.
type limitedReader struct {
	net.Conn
	limited bool
	left    int
}

// Read returns errTooManyBytes once the limit is used up.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(buffer)
	}
	if r.left <= 0 {
		return 0, errTooManyBytes
	}
	count, err := r.Conn.Read(buffer[:min(len(buffer), r.left)])
	r.left -= count
	return count, err
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	limit  *limitedReader
	reader *bufio.Reader
	// idleDeadline is the time from which the idle connection is not used, as the peer may close it.
	idleDeadline time.Time
	used         bool
	// unneeded states that the connection was opened for a request that required a new one.
	unneeded bool
}

// awaitReset waits for a time and returns an error if the peer has reset or closed the connection, or has sent anything.
func (c *conn) awaitReset(wait time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return errors.Wrap(err, "set a deadline")
	}
	_, err := c.reader.Peek(1)
	if err == nil {
		return errors.New("server sent data before a request")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "server does not accept the connection")
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear the deadline")
	}
	// A read whose deadline passed before it began does not look at the socket.
	if !c.silent() {
		return errors.New("server does not accept the connection")
	}
	return nil
}

// dial opens an IPv4 TCP connection that is closed if its peer stops responding.
func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         limitUnacked,
	}
	opened, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{Conn: lavtcp.ReportResets(opened)}
	return &conn{Conn: opened, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, nil
}

// limitUnacked sets TCP_USER_TIMEOUT, the maximum time that sent data may remain unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// usable reports whether an idle connection has not expired and has received neither data nor a close.
func (c *conn) usable(now time.Time) bool {
	return c.reader.Buffered() == 0 && now.Before(c.idleDeadline) && c.silent()
}

// silent reports, without waiting, whether the connection has received neither data nor a close.
func (c *conn) silent() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}
