package lavtcp

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// closeWait is the state of a connection whose peer has closed it in order, as Linux numbers it.
const closeWait = 8

// connection is a connection with access to what the operating system knows of it.
type connection struct {
	net.Conn
	raw syscall.RawConn
}

// ReceivedAgo returns how long ago the latest bytes of a connection arrived at this host, which may be long before they are read. It returns
// false if the connection is not from ReportResets, or is closed.
func ReceivedAgo(conn net.Conn) (time.Duration, bool) {
	watched, ok := conn.(*connection)
	if !ok {
		return 0, false
	}
	info, _ := watched.info()
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// ReportResets returns a connection whose Read returns ECONNRESET after each reset. Linux reports a reset once: if a write gets it, the next
// read finds the end of the connection, which ends an answer without a length as if it were whole. A connection that is not of the operating
// system is returned as it is.
func ReportResets(conn net.Conn) net.Conn {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return conn
	}
	return &connection{Conn: conn, raw: raw}
}

// Read reads from the connection. It returns io.EOF only if the peer has closed the connection in order.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && !c.endedInOrder() {
		return count, errors.Wrap(syscall.ECONNRESET, "read")
	}
	return count, err //nolint:wrapcheck // readers compare it with io.EOF
}

// endedInOrder reports whether the peer has closed the connection in order. A connection that was closed here meanwhile has failed, such as
// by a write that got the reset.
func (c *connection) endedInOrder() bool {
	info, open := c.info()
	return open && (info == nil || info.State == closeWait)
}

// info returns what the operating system knows of the connection, or nil if it does not tell, and whether the connection is open.
func (c *connection) info() (*unix.TCPInfo, bool) {
	var info *unix.TCPInfo
	err := c.raw.Control(func(fd uintptr) {
		if read, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = read
		}
	})
	return info, err == nil
}
