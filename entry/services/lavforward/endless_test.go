package lavforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavroute"
)

// endlessReader repeats a text without end, and counts what was read.
type endlessReader struct {
	text string
	read int
	mu   *sync.Mutex
	// onRead is called with each read if it is set.
	onRead func()
}

func (r *endlessReader) Read(buffer []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.onRead != nil {
		r.onRead()
	}
	count := 0
	for count < len(buffer) {
		copied := copy(buffer[count:], r.text[(r.read+count)%len(r.text):])
		count += copied
	}
	r.read += count
	return count, nil
}

// endlessReply returns an answer that begins as the given text and goes on without end.
func endlessReply(first, then string) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		body := io.MultiReader(strings.NewReader(first), &endlessReader{text: then, mu: &sync.Mutex{}})
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

// TestAnswerWithoutEndIsRequestedElsewhere guards against a server that sends bytes that are no answer until its caller closes:
// the caller would get them, or a broken answer although another server can give a whole one.
func TestAnswerWithoutEndIsRequestedElsewhere(t *testing.T) {
	const whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for name, test := range map[string]struct {
		kind         lavroute.Kind
		first, then  string
		second, want string
	}{
		"body":                      {lavroute.Idempotent, "", "garbage", "whole", "whole"},
		"event":                     {lavroute.Streaming, "", "garbage", whole, whole},
		"event after others":        {lavroute.Streaming, "id: 1\ndata: 1\n\n", "garbage", "id: 2\ndata: 2\n\n", whole},
		"lines that are no events":  {lavroute.Streaming, "id: 1\ndata: 1\n\n", "garbage\n\n", "id: 2\ndata: 2\n\n", whole},
		"another answer":            {lavroute.Streaming, "id: 1\ndata: 1\n\n", "HTTP/1.1 200 OK\r\nDate: x\r\n\r\n", "id: 2\ndata: 2\n\n", whole},
		"empty lines":               {lavroute.Streaming, "id: 1\ndata: 1\n\n", "\n", "id: 2\ndata: 2\n\n", whole},
		"the same event once again": {lavroute.Streaming, "", "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n", whole},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, endlessReply(test.first, test.then), replyWith(http.StatusOK, test.second))
			request := newRequest(test.kind)
			answer := &recordedAnswer{}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result := f.Serve(ctx, request, answer)
			is.NoErr(ctx.Err())
			is.True(!result.Broken && result.Refusal == nil)
			is.Equal(answer.body.String(), test.want)
			is.Equal(len(f.sends), 2)
			usable, _ := f.health.usable(f.sends[0].Server.Instance(), time.Now())
			is.True(!usable) // the server is not used for a while
			is.True(!f.Quarantine.Suspects())
		})
	}
}

// TestAnswersWithoutEndDoNotFillTheMemory guards against many servers that send bodies without end at the same time.
func TestAnswersWithoutEndDoNotFillTheMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	reader := &endlessReader{text: "garbage", mu: &sync.Mutex{}}
	largest := int64(0)
	reader.onRead = func() { largest = max(largest, f.buffers.inUse()) }
	for range 40 {
		f.replies = append(f.replies, func(Dispatch) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(reader)}, nil
		})
	}
	var group sync.WaitGroup
	for range 40 {
		group.Go(func() { f.serve(newRequest(lavroute.OnceOnly)) })
	}
	group.Wait()
	is.True(largest > 0 && largest <= f.settings.BufferBytes)
	is.Equal(f.buffers.inUse(), int64(0))
	f.replies = append(f.replies, replyWith(http.StatusOK, strings.Repeat("x", 3*freeBufferBytes)))
	answer, _ := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(answer.body.Len(), 3*freeBufferBytes)
	is.Equal(f.buffers.inUse(), int64(0))
}

// TestStreamThatEndsBeforeItsFirstEventIsRequestedElsewhere guards against a server that ends as it begins an answer without a
// length: the end of its connection would look like the end of the answer.
func TestStreamThatEndsBeforeItsFirstEventIsRequestedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, replyWith(http.StatusOK, ""), replyWith(http.StatusOK, "id: 1\ndata: 1\n\n"))
	answer, _ := f.serve(newRequest(lavroute.Streaming))
	is.Equal(answer.body.String(), "id: 1\ndata: 1\n\n")
	f = newFixture(2, replyWith(http.StatusOK, ""))
	request := newRequest(lavroute.Streaming)
	request.LastEventID = "7"
	_, result := f.serve(request)
	is.True(result.Refusal == nil && !result.Broken) // there may be nothing after the last event
	is.Equal(len(f.sends), 1)
}

// TestEmptyLinesOfAStreamAreDelivered guards against an answer whose bytes differ from those of its server because empty lines
// are held back.
func TestEmptyLinesOfAStreamAreDelivered(t *testing.T) {
	is := is.New(t)
	const stream = "\nid: 1\ndata: 1\n\n\n: comment\n\nid: 2\ndata: 2\n\n\n\n"
	f := newFixture(1, replyWith(http.StatusOK, stream))
	answer, _ := f.serve(newRequest(lavroute.Streaming))
	is.Equal(answer.body.String(), stream)
}
