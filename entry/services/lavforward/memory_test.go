package lavforward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavload"
)

// newMemoryRequest returns a request that takes tokens of the 1,000 that an engine holds.
func newMemoryRequest(tokens lavid.Tokens) *Request {
	request := newRequest(lavroute.Streaming)
	request.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 1000}
	request.Prompt = Prompt{Input: tokens - 10, MaxOutput: 10}
	return request
}

// TestEngineGetsNoMoreThanItsMemoryHolds guards against an engine that ends as the requests that it holds exceed its memory: a request
// goes to an engine that has room, or waits.
func TestEngineGetsNoMoreThanItsMemoryHolds(t *testing.T) {
	is := is.New(t)
	whole := "id: 1\ndata: 1\n\n"
	f := newFixture(2, replyWith(http.StatusOK, whole), replyWith(http.StatusOK, whole))
	first := f.Loads.Start("a", lavload.Load{Memory: 800})
	_, result := f.serve(newMemoryRequest(400))
	is.Equal(result, Result{})
	is.Equal(string(f.sends[0].Server.ID), "b")
	f.Loads.Start("b", lavload.Load{Memory: 800})
	time.AfterFunc(100*time.Millisecond, first.End)
	_, result = f.serve(newMemoryRequest(400))
	is.Equal(result, Result{})
	is.Equal(string(f.sends[1].Server.ID), "a") // once it had room
}

// TestRequestLargerThanAnyEngineIsRefusedAtOnce guards against a request that waits until its deadline for memory that no engine has.
func TestRequestLargerThanAnyEngineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	request := newMemoryRequest(1001)
	_, result := f.serve(request)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.True(time.Since(request.Arrived) < time.Second)
	is.Equal(len(f.sends), 0)
}
