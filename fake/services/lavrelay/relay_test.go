package lavrelay

import (
	"bufio"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// startEchoServer starts a TCP server that sends each line back, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(connection)
				for lines.Scan() {
					_, _ = connection.Write([]byte(lines.Text() + "\n"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func startRoute(t *testing.T) (*Route, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	route := newRoute(listener.Addr().String(), startEchoServer(t))
	ctx, cancel := context.WithCancel(context.Background())
	var workers conc.WaitGroup
	workers.Go(func() { route.serve(ctx, listener) })
	t.Cleanup(func() { cancel(); workers.Wait() })
	return route, listener.Addr().String()
}

func exchangeLine(connection net.Conn, wait time.Duration) (string, error) {
	_ = connection.SetDeadline(time.Now().Add(wait))
	if _, err := connection.Write([]byte("ping\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(connection).ReadString('\n')
}

// TestSilentExistingDoesNotAffectNewConnections guards against a relay that closes a connection instead of silencing it,
// which its ends would detect at once, or that also silences new connections.
func TestSilentExistingDoesNotAffectNewConnections(t *testing.T) {
	is := is.New(t)
	route, address := startRoute(t)
	old, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer old.Close()
	answer, err := exchangeLine(old, time.Second)
	is.NoErr(err)
	is.Equal(answer, "ping\n")
	route.SetMode(SilentExisting)
	_, err = exchangeLine(old, 100*time.Millisecond)
	is.True(err != nil)
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the connection is silent, not closed
	fresh, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer fresh.Close()
	_, err = exchangeLine(fresh, time.Second)
	is.NoErr(err)
}

// TestHoldDeliversBytesOnceReleased guards against a relay that loses held data, or that does not report it while it is
// held.
func TestHoldDeliversBytesOnceReleased(t *testing.T) {
	is := is.New(t)
	route, address := startRoute(t)
	route.SetMode(Hold)
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer connection.Close()
	_, err = exchangeLine(connection, 100*time.Millisecond)
	is.True(err != nil)
	is.Equal(route.Truth().HeldBytes, int64(len("ping\n")))
	route.SetMode(Pass)
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	answer, err := bufio.NewReader(connection).ReadString('\n')
	is.NoErr(err)
	is.Equal(answer, "ping\n")
}

// TestRelayRejectsAddressesOutsideLoopback guards against a stand-in that is reachable from other hosts.
func TestRelayRejectsAddressesOutsideLoopback(t *testing.T) {
	is := is.New(t)
	_, err := New([]string{"127.0.0.1:1=192.0.2.1:80"})
	is.True(err != nil)
	_, err = New([]string{"0.0.0.0:1=127.0.0.1:80"})
	is.True(err != nil)
}

// TestRefuseClosesListenerUntilModeChanges guards against a relay that accepts and then closes connections, which differs
// from a target that is down, and against one that stays closed after the mode changes.
func TestRefuseClosesListenerUntilModeChanges(t *testing.T) {
	is := is.New(t)
	route, address := startRoute(t)
	route.SetMode(Refuse)
	var err error
	for range 100 {
		var early net.Conn
		if early, err = net.Dial("tcp", address); errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err == nil {
			early.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	route.SetMode(Pass)
	var connection net.Conn
	for range 100 {
		if connection, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(err)
	defer connection.Close()
	_, err = connection.Write([]byte("hello\n"))
	is.NoErr(err)
	line, err := bufio.NewReader(connection).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "hello\n")
}
