package lavexchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxAcceptedBytes is what a client may take at most of bytes that are no answer, with the buffers of the connection.
const maxAcceptedBytes = 16 << 20

// TestBytesWithoutEndAreGivenUp guards against a server that sends bytes that are no answer until the connection is closed,
// which would fill the memory of the host or hold the request until its deadline.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	filler := strings.Repeat("x", 32<<10)
	for name, endless := range map[string]struct{ first, then string }{
		"no line end":                 {"", filler},
		"header without end":          {"HTTP/1.1 200 OK\r\nId: 1\r\nLong: ", filler},
		"headers without end":         {"HTTP/1.1 200 OK\r\nId: 1\r\n", strings.Repeat("Name: value\r\n", 1000)},
		"interim answers without end": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		"answers to other requests":   {"", strings.Repeat(responseText("other", "body"), 1000)},
		"body of another answer":      {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", filler},
		"chunks of another answer":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			address := startTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, err := io.WriteString(conn, endless.first)
				for err == nil && sent.Load() < 4*maxAcceptedBytes {
					var count int
					count, err = io.WriteString(conn, endless.then)
					sent.Add(int64(count))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := newTestClient().Do(ctx, address, newTestRequest("1"))
			is.True(IsErrExchange(err))
			is.True(WasSent(err))
			is.True(!IsPeerEnd(err)) // the server has not ended
			is.NoErr(ctx.Err())
			is.True(sent.Load() <= maxAcceptedBytes)
		})
	}
}
