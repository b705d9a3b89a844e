package lavforward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavdrain"
	"lavenderswitch/core/services/lavload"
)

// drainFor returns the plan of a host that stops now.
func drainFor(streams, answers time.Duration) lavdrain.Plan {
	now := time.Now()
	return lavdrain.Plan{StreamsUntil: now.Add(streams), AnswersUntil: now.Add(answers)}
}

// TestWaitingRequestsAreRefusedWhenTheHostStops guards against streams that wait for an engine until the host exits: they got no
// answer at all.
func TestWaitingRequestsAreRefusedWhenTheHostStops(t *testing.T) {
	for name, arrivesLate := range map[string]bool{"before the stop": false, "during the stop": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.Loads.Start("a", lavload.Load{Memory: 800})
			began := time.Now()
			stop := func() { f.Drain(drainFor(100*time.Millisecond, 300*time.Millisecond)) }
			if arrivesLate {
				stop()
			} else {
				time.AfterFunc(50*time.Millisecond, stop)
			}
			_, result := f.serve(newMemoryRequest(400))
			is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
			is.Equal(result.Refusal.Reason, "host is stopping")
			is.True(result.Refusal.RetryAfter > 0)
			is.True(time.Since(began) < 300*time.Millisecond)
			is.Equal(len(f.sends), 0)
		})
	}
}

// TestRequestWithoutAnAnswerIsAnsweredBeforeTheHostExits guards against requests whose server has not answered when the host
// exits: their connections ended without an answer. Streams that have begun go on.
func TestRequestWithoutAnAnswerIsAnsweredBeforeTheHostExits(t *testing.T) {
	for _, kind := range []lavroute.Kind{lavroute.Streaming, lavroute.OnceOnly, lavroute.Idempotent} {
		is := is.New(t)
		f := newFixture(1)
		f.beforeSend = func(ctx context.Context, _ Dispatch) { <-ctx.Done() }
		began := time.Now()
		f.Drain(drainFor(50*time.Millisecond, 100*time.Millisecond))
		_, result := f.serve(newRequest(kind))
		is.Equal(result.Refusal.Status, http.StatusBadGateway) // the server may have run it
		is.True(time.Since(began) < 300*time.Millisecond)
	}
}

// TestStreamThatHasBegunOutlastsTheDrain guards against streams that are cut before the host exits.
func TestStreamThatHasBegunOutlastsTheDrain(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "id: 1\ndata: 1\n\n")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(writer, "id: 2\ndata: 2\n\n")
		_ = writer.Close()
	}()
	f := newFixture(1, func(Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: reader}, nil
	})
	f.Drain(drainFor(50*time.Millisecond, 100*time.Millisecond))
	answer, result := f.serve(newRequest(lavroute.Streaming))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}
