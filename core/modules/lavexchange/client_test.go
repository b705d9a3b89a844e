package lavexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a server that hands each connection to the script and returns its address.
func serve(t *testing.T, script func(number int, conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// receive reads one request and returns its id.
func receive(reader *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), true
}

func reply(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, answerText(id, body))
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func message(id string) Request {
	return Request{
		Method: http.MethodPost, Target: "/a//b%2f?q=1", HostName: "name.example",
		Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(header http.Header) bool { return header.Get("Id") == id },
	}
}

func get(client *Client, address, id string) (string, error) {
	answer, err := client.Do(context.Background(), address, message(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Close() }()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func client() *Client { return NewClient(time.Second, time.Now) }

func TestRequestGoesOutUnchanged(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		seen <- request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)
		reply(conn, "1", "ok")
	})
	body, err := get(client(), address, "1")
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(<-seen, "POST /a//b%2f?q=1 name.example body")
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := receive(reader)
			if !ok {
				return
			}
			reply(conn, id, id)
		}
	})
	kept := client()
	for _, id := range []string{"1", "2", "3"} {
		body, err := get(kept, address, id)
		is.NoErr(err)
		is.Equal(body, id)
	}
	is.Equal(kept.ConnectionsOpened(), int64(1))
	kept.Tick(time.Now().Add(time.Minute))
	_, err := get(kept, address, "4")
	is.NoErr(err)
	is.Equal(kept.ConnectionsOpened(), int64(2)) // the idle connection was too old
}

func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _ := receive(reader)
		reply(conn, "stray", "stray")
		reply(conn, id, "mine")
		_, _ = reader.ReadByte()
	})
	kept := client()
	body, err := get(kept, address, "1")
	is.NoErr(err)
	is.Equal(body, "mine")
	_, err = get(kept, address, "2")
	is.NoErr(err)
	is.Equal(kept.ConnectionsOpened(), int64(2)) // a connection that carried a stray answer is not used again
}

func TestBytesAfterAnAnswerBelongToNoRequest(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _ := receive(reader)
		reply(conn, id, "first")
		reply(conn, id, "again")
		_, _ = reader.ReadByte()
	})
	kept := client()
	for _, id := range []string{"1", "2"} {
		body, err := get(kept, address, id)
		is.NoErr(err)
		is.Equal(body, "first")
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(kept.ConnectionsOpened(), int64(2))
}

func TestBytesThatComeWithAnAnswerBelongToNoRequest(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _ := receive(reader)
		_, _ = io.WriteString(conn, answerText(id, "first")+answerText(id, "again"))
		_, _ = reader.ReadByte()
	})
	kept := client()
	for _, id := range []string{"1", "2"} {
		body, err := get(kept, address, id)
		is.NoErr(err)
		is.Equal(body, "first")
	}
	is.Equal(kept.ConnectionsOpened(), int64(2))
}

func TestKeptConnectionOnWhichSomethingArrivedIsNotUsed(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, late := range map[string]string{"a late answer": answerText("1", "again"), "its end": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				id, _ := receive(reader)
				reply(conn, id, "first")
				time.Sleep(pause)
				if late != "" {
					_, _ = io.WriteString(conn, late)
					_, _ = reader.ReadByte()
				}
			})
			kept := client()
			for range 2 {
				body, err := get(kept, address, "1")
				is.NoErr(err)
				is.Equal(body, "first")
				time.Sleep(3 * pause)
			}
			is.Equal(kept.ConnectionsOpened(), int64(2))
		})
	}
}

func TestRequestIsNeverRepeatedByItself(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 8)
	address := serve(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := receive(reader)
			if !ok {
				return
			}
			received <- id
			if id == "lost" {
				return
			}
			reply(conn, id, id)
		}
	})
	kept := client()
	_, err := get(kept, address, "1")
	is.NoErr(err)
	_, err = get(kept, address, "lost")
	is.True(IsErrExchange(err))
	is.True(WasSent(err))
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(received), 2)
}

func TestNothingWasSentWhenThereIsNoConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = get(client(), address, "1")
	is.True(IsErrExchange(err))
	is.True(!WasSent(err))
}

func TestCutAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := receive(reader)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", id, head)
		})
		body, err := get(client(), address, "1")
		is.True(err != nil)
		is.Equal(body, "half")
	}
}

func TestAnswerWithoutLengthIsWholeOnlyWhenItsConnectionEndsInOrder(t *testing.T) {
	is := is.New(t)
	for _, reset := range []bool{false, true} {
		address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := receive(reader)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nbody", id)
			time.Sleep(20 * time.Millisecond)
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
		})
		_, err := get(client(), address, "1")
		is.Equal(err != nil, reset)
	}
}

func TestEarlyAnswerEndsTheConnectionWhileTheBodyIsUnsent(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		reply(conn, request.Header.Get("Id"), "early")
		time.Sleep(200 * time.Millisecond)
	})
	kept := client()
	long := message("1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	answer, err := kept.Do(context.Background(), address, long)
	is.NoErr(err)
	body, err := io.ReadAll(answer)
	is.NoErr(err)
	is.Equal(string(body), "early")
	is.NoErr(answer.Close())
	_, err = get(kept, address, "2")
	is.NoErr(err)
	is.Equal(kept.ConnectionsOpened(), int64(2)) // the rest of the first body must not run into the second request
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		receive(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := client().Do(ctx, address, message("1"))
	is.True(WasSent(err))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("server still works for a caller that has gone")
	}
}

func TestStatedIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, _ := receive(reader)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", id)
		_, _ = reader.ReadByte()
	})
	kept := client()
	for _, id := range []string{"1", "2"} {
		_, err := get(kept, address, id)
		is.NoErr(err)
	}
	is.Equal(kept.ConnectionsOpened(), int64(2))
}
