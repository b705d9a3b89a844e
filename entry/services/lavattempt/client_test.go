package lavattempt

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/wire/lavwire"
)

const answerText = "the whole answer"

type discardLoads struct{}

func (discardLoads) Record(*lavwire.Load, time.Time) {}

func newClient() *Client {
	client := New(NewTransport())
	client.SilenceTimeout = 200 * time.Millisecond
	client.AttachTimeout = time.Second
	client.Loads = discardLoads{}
	return client
}

func writeFrames(w http.ResponseWriter, frames ...*lavwire.Frame) {
	w.Header().Set("Content-Type", lavframe.ContentType)
	for _, frame := range frames {
		_ = lavframe.Write(w, frame)
	}
	_ = http.NewResponseController(w).Flush()
}

func head() *lavwire.Frame {
	return &lavwire.Frame{Kind: &lavwire.Frame_Head{Head: &lavwire.Head{StatusCode: 200}}}
}

func chunk(offset int, text string) *lavwire.Frame {
	return &lavwire.Frame{Kind: &lavwire.Frame_Chunk{Chunk: &lavwire.Chunk{Offset: uint64(offset), Data: []byte(text)}}}
}

func end() *lavwire.Frame {
	return &lavwire.Frame{Kind: &lavwire.Frame_End{End: &lavwire.End{Length: uint64(len(answerText)), Checksum: xxhash.Sum64String(answerText)}}}
}

// TestRunAttachesAfterSilence guards against a request that hangs on a silent connection: the first connection delivers
// half of the answer and then stays open without frames.
func TestRunAttachesAfterSilence(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc("/attempt", func(w http.ResponseWriter, r *http.Request) {
		writeFrames(w, head(), chunk(0, answerText[:7]))
		<-r.Context().Done()
	})
	mux.HandleFunc("/attach", func(w http.ResponseWriter, _ *http.Request) {
		writeFrames(w, head(), chunk(3, answerText[3:]), end())
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	sink := &lavrequest.BufferedAnswer{}
	result, err := newClient().Run(t.Context(), server.URL, &lavwire.Attempt{AttemptId: "a"}, sink)
	is.NoErr(err)
	is.True(result.Refusal == nil)
	is.True(!result.Unreachable)
	is.Equal(string(sink.Body), answerText)
}

// TestRunDoesNotAcceptTruncatedAnswer guards against a truncated answer that is taken for complete: the stream ends before
// the stated length, and every later connection is aborted.
func TestRunDoesNotAcceptTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	var attaches atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("/attempt", func(w http.ResponseWriter, _ *http.Request) {
		writeFrames(w, head(), chunk(0, answerText[:7]), end())
	})
	mux.HandleFunc("/attach", func(http.ResponseWriter, *http.Request) {
		attaches.Add(1)
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	result, err := newClient().Run(t.Context(), server.URL, &lavwire.Attempt{AttemptId: "a"}, &lavrequest.BufferedAnswer{})
	is.NoErr(err)
	is.True(result.Unreachable)
	is.True(attaches.Load() > 1)
}

// TestRunSealsUnknownAttempt guards against an unsealed attempt that could still run later: the side process answers the
// attach with attempt unknown, as it does after a restart.
func TestRunSealsUnknownAttempt(t *testing.T) {
	is := is.New(t)
	var sealed atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("/attempt", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/attach", func(w http.ResponseWriter, _ *http.Request) {
		refusal := &lavwire.Refusal{Kind: lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN, RunState: lavwire.RunState_RUN_STATE_IN_DOUBT}
		writeFrames(w, &lavwire.Frame{Kind: &lavwire.Frame_Refusal{Refusal: refusal}})
	})
	mux.Handle("/twirp/", lavwire.NewSideServer(fakeSide{&sealed}))
	server := httptest.NewServer(mux)
	defer server.Close()
	result, err := newClient().Run(t.Context(), server.URL, &lavwire.Attempt{AttemptId: "a"}, &lavrequest.BufferedAnswer{})
	is.NoErr(err)
	is.Equal(result.Refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
	is.Equal(sealed.Load(), int64(1))
}

// TestRunReportsUnreachableSide guards against a request that hangs, or fails with an error, when the side process accepts
// a connection and never responds.
func TestRunReportsUnreachableSide(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	began := time.Now()
	result, err := newClient().Run(t.Context(), "http://"+listener.Addr().String(), &lavwire.Attempt{}, &lavrequest.BufferedAnswer{})
	is.NoErr(err)
	is.True(result.Unreachable)
	is.True(time.Since(began) < 3*time.Second)
}
