package lavforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavbuffer"
)

// slowCaller reads nothing of an answer until it is released.
type slowCaller struct {
	recordedAnswer
	released chan struct{}
	aborted  chan struct{}
	once     sync.Once
}

func newSlowCaller() *slowCaller {
	return &slowCaller{released: make(chan struct{}), aborted: make(chan struct{})}
}

func (s *slowCaller) Write(data []byte) error {
	select {
	case <-s.released:
		return s.recordedAnswer.Write(data)
	case <-s.aborted:
		return errors.New("write was aborted")
	}
}

func (s *slowCaller) Abort() { s.once.Do(func() { close(s.aborted) }) }

// notingReader notes when its text was read to the end.
type notingReader struct {
	io.Reader
	end chan struct{}
}

func (r *notingReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if err == io.EOF {
		close(r.end)
	}
	return count, err
}

// events returns a stream of the given number of events of about 1 KB.
func events(count int) string {
	var text strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
	}
	return text.String()
}

func replyWithReader(body io.Reader) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

// TestServerIsReadOnWhileItsCallerIsSlow guards against a server that cuts off a stream, or works on in vain, because its caller reads
// slowly: the host reads on, and the caller gets the whole answer.
func TestServerIsReadOnWhileItsCallerIsSlow(t *testing.T) {
	is := is.New(t)
	text := events(100)
	body := &notingReader{Reader: strings.NewReader(text), end: make(chan struct{})}
	f := newFixture(1, replyWithReader(body))
	caller := newSlowCaller()
	ended := make(chan Result)
	go func() { ended <- f.Serve(context.Background(), newRequest(lavroute.Streaming), caller) }()
	select {
	case <-body.end:
	case <-time.After(3 * time.Second):
		t.Fatal("the server was not read on")
	}
	is.True(f.held.Held() > 90_000)
	close(caller.released)
	is.Equal(<-ended, Result{})
	is.Equal(caller.body.String(), text)
	is.Equal(f.held.Held(), int64(0))
	is.Equal(len(f.sends), 1)
}

// TestOnlySlowCallersPayForFullMemory guards against a host that holds ever more for slow callers, and against callers who keep up and
// whose streams end because of others.
func TestOnlySlowCallersPayForFullMemory(t *testing.T) {
	is := is.New(t)
	const slow = 3
	var replies []func(Dispatch) (*Reply, error)
	for range slow + 1 {
		replies = append(replies, replyWithReader(strings.NewReader(events(100))))
	}
	f := newFixture(1, replies...)
	f.held = newHeld(150_000)
	var callers []*slowCaller
	var ends [slow]chan Result
	for i := range slow {
		caller := newSlowCaller()
		callers = append(callers, caller)
		ends[i] = make(chan Result, 1)
		request := newRequest(lavroute.Streaming)
		request.ID = lavid.RequestID(fmt.Sprint("slow-", i))
		go func() { ends[i] <- f.Serve(context.Background(), request, caller) }()
	}
	// Two of the streams do not fit beside each other.
	broken := 0
	for broken < slow-1 {
		select {
		case result := <-ends[0]:
			is.True(result.Broken)
			broken++
		case result := <-ends[1]:
			is.True(result.Broken)
			broken++
		case result := <-ends[2]:
			is.True(result.Broken)
			broken++
		case <-time.After(3 * time.Second):
			t.Fatal("the bytes for slow callers were not bounded")
		}
	}
	is.True(f.held.Held() <= 150_000)
	answer, result := f.serve(newRequest(lavroute.Streaming))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), events(100))
	for _, caller := range callers {
		caller.Abort()
	}
}

// tricklingReader sends the same bytes now and then.
type tricklingReader struct {
	first   io.Reader
	trickle string
	closed  <-chan struct{}
}

func (r *tricklingReader) Read(buffer []byte) (int, error) {
	if count, err := r.first.Read(buffer); err == nil {
		return count, nil
	}
	select {
	case <-r.closed:
		return 0, errors.New("connection closed")
	case <-time.After(40 * time.Millisecond):
		return copy(buffer, r.trickle), nil
	}
}

// TestTricklingStreamGoesOnElsewhere guards against a stream that never ends as its server sends a byte of an event now and then.
func TestTricklingStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	answer := serveTrickle(t, "id: 1\ndata: 1\n\nid: 2\ndata: ", "x")
	is.Equal(answer.body.String(), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// TestStreamOfCommentsGoesOnElsewhere guards against a stream that makes no progress until its deadline, as its server goes on sending
// comments or empty lines.
func TestStreamOfCommentsGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	for _, trickle := range []string{": alive\n\n", ":\n", "\n"} {
		answer := serveTrickle(t, "id: 1\ndata: 1\n\n", trickle)
		is.True(strings.HasPrefix(answer.body.String(), "id: 1\ndata: 1\n\n"))
		is.True(strings.HasSuffix(answer.body.String(), "id: 2\ndata: 2\n\n"))
	}
}

// serveTrickle serves a stream that begins with first and goes on with trickle for ever, until another server may go on with it after
// the first event.
func serveTrickle(t *testing.T, first, trickle string) *recordedAnswer {
	t.Helper()
	is := is.New(t)
	ended := make(chan struct{})
	f := newFixture(2, replyWithReader(&tricklingReader{first: strings.NewReader(first), trickle: trickle, closed: ended}), replyWith(http.StatusOK, "id: 2\ndata: 2\n\n"))
	f.beforeSend = func(ctx context.Context, _ Dispatch) {
		if len(f.sends) == 0 {
			context.AfterFunc(ctx, func() { close(ended) })
		}
	}
	request := newRequest(lavroute.Streaming)
	request.Route.PauseTarget = 50 * time.Millisecond
	answer, result := f.serve(request)
	is.Equal(result, Result{})
	is.True(time.Since(request.Arrived) < 2*time.Second) // not the deadline
	return answer
}

// slowReader returns one whole event at a time, with a pause before each.
type slowReader struct {
	events []string
	pause  time.Duration
}

func (r *slowReader) Read(buffer []byte) (int, error) {
	if len(r.events) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	count := copy(buffer, r.events[0])
	r.events = r.events[1:]
	return count, nil
}

// TestSlowButSoundStreamIsNotCut guards against a stream that is cut although its server sends whole events, if slowly, and other
// servers could go on with it.
func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	sound := []string{"id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n", "id: 3\ndata: 3\n\n"}
	f := newFixture(2, replyWithReader(&slowReader{events: sound, pause: 80 * time.Millisecond}))
	request := newRequest(lavroute.Streaming)
	request.Route.PauseTarget = 50 * time.Millisecond
	answer, result := f.serve(request)
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), strings.Join(sound, ""))
	is.Equal(len(f.sends), 1)
}

// TestBrokenStreamEndsWithTheError guards against an error of the server that is lost, or arrives before the bytes that were read.
func TestBrokenStreamEndsWithTheError(t *testing.T) {
	is := is.New(t)
	budget := newHeld(1 << 20)
	ahead := startReadAhead(io.MultiReader(bytes.NewBufferString("some"), failingReader{}), budget, newHeldStream(), time.Now, func() {}, func() {})
	data, err := io.ReadAll(ahead)
	is.Equal(string(data), "some")
	is.True(err != nil)
	ahead.stop()
	is.Equal(budget.Held(), int64(0))
}

func newHeld(limit int64) *lavbuffer.Budget { return lavbuffer.New(limit, maxHeldBytes) }

func newHeldStream() *lavbuffer.Stream { return &lavbuffer.Stream{End: func() {}} }

// TestCallerWhoKeepsUpNeedsNoRoom guards against streams that end, or wait for ever, as the bytes that are being delivered count as
// held for a slow caller.
func TestCallerWhoKeepsUpNeedsNoRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, replyWith(http.StatusOK, events(20)))
	f.held = newHeld(0)
	answer, result := f.serve(newRequest(lavroute.Streaming))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), events(20))
}
