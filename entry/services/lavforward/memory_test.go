package lavforward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavring"
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

// TestEnginesOfATrialDoNotLookFull guards against sessions of a release on trial that no engine takes, because the requests of all
// hosts to the whole service are expected at its few engines.
func TestEnginesOfATrialDoNotLookFull(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newFixture(20)
	var members hosts
	for i := range 24 {
		members = append(members, lavring.Member{ID: lavid.HostID(fmt.Sprint("host-", i))})
	}
	f.Hosts = members
	f.Loads.SetPeers(map[lavload.ServerKey]lavload.Load{}, now.Add(-400*time.Millisecond), now.Add(time.Second))
	for range 40 {
		f.arrivals.add(service, 10, now)
	}
	e := &execution{Forwarder: f.Forwarder, request: newMemoryRequest(100)}
	arrivals := e.memoryArrivals(now)
	is.Equal(arrivals.Memory, lavid.Tokens(10))
	is.True(arrivals.Requests > 0)
	trial := f.Directory.Usable(service, now)[0]
	is.True(e.fitsMemory(trial, 100, arrivals, now))
	is.Equal(arrivals.Requests, e.unreported(20, now)) // not those of the trial's engines alone
}
