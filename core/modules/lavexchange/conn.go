package lavexchange

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer bounds what one connection holds of an answer that is not read yet.
	readBuffer = 4 << 10
	// probeIdle, probeInterval and probeCount end a connection whose peer is silent after about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout ends a connection whose peer does not acknowledge what was sent.
	unackedTimeout = 800 * time.Millisecond
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the peer may close the connection for being idle.
	until time.Time
	used  bool
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
	opened, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

// limitUnacked bounds how long sent bytes may stay without acknowledgement.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// usable tells whether nothing has arrived on an idle connection, neither bytes nor its end.
func (c *conn) usable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !now.Before(c.until) {
		return false
	}
	access, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peeked == unix.EAGAIN || peeked == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
