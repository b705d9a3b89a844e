package lavforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavexchange"
)

// manualClock is a clock that a test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// deadlyPart is the part of a prompt that ends fragileServers.
const deadlyPart = "deadly"

// fragileServers are engines of which each ends when it begins to answer a prompt with deadlyPart.
type fragileServers struct {
	clock func() time.Time
	// endsBeforeHead makes servers end before the head of the answer.
	endsBeforeHead bool
	// endedAt holds when each server ended, and deadlySends when each prompt with the part was sent.
	endedAt     map[lavid.BackendServerID]time.Time
	deadlySends []time.Time
}

func hasPart(prompt Prompt, id string) bool {
	return slices.ContainsFunc(prompt.Parts, func(part Part) bool { return part.ID == id })
}

func (s *fragileServers) Send(_ context.Context, dispatch Dispatch) (*Reply, error) {
	if _, ended := s.endedAt[dispatch.Server.ID]; ended {
		return nil, lavexchange.ErrExchange{Reason: "connection refused"}
	}
	if !hasPart(dispatch.Prompt, deadlyPart) {
		return replyWith(http.StatusOK, "id: 1\ndata: 1\n\n")(dispatch)
	}
	s.deadlySends = append(s.deadlySends, s.clock())
	s.endedAt[dispatch.Server.ID] = s.clock()
	if s.endsBeforeHead {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "connection ended")
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(endedReader{})}, nil
}

// endedReader is the body of an answer whose server has ended.
type endedReader struct{}

func (endedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// sentAfter returns the number of prompts with the part that were sent later than a time after the given number of ends.
func (s *fragileServers) sentAfter(ends int, delay time.Duration) int {
	if len(s.deadlySends) < ends {
		return 0
	}
	limit := s.deadlySends[ends-1].Add(delay)
	count := 0
	for _, at := range s.deadlySends {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// newFragileFixture returns a forwarder with fragile servers and a clock of its own.
func newFragileFixture(servers int) (*fixture, *fragileServers, *manualClock) {
	clock := &manualClock{now: time.Now()}
	f := newFixture(servers)
	fragile := &fragileServers{clock: clock.Now, endedAt: make(map[lavid.BackendServerID]time.Time)}
	f.Sender, f.Clock, f.waiting.clock = fragile, clock.Now, clock.Now
	return f, fragile, clock
}

// newPromptRequest returns a request to an engine with the given parts.
func newPromptRequest(clock *manualClock, parts ...string) *Request {
	request := newRequest(lavroute.Streaming)
	request.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 100000, EventTokens: 3}
	request.Arrived = clock.Now()
	request.Deadline = request.Arrived.Add(20 * time.Second)
	request.Account = &lavroute.Account{ID: "account"}
	for _, part := range parts {
		request.Prompt.Parts = append(request.Prompt.Parts, Part{ID: part, Tokens: 100})
		request.Prompt.Input += 100
	}
	return request
}

// failingServers fail every send in one way.
type failingServers struct{ err error }

func (s failingServers) Send(context.Context, Dispatch) (*Reply, error) { return nil, s.err }

// TestFailuresThatDoNotEndServersKeepNoPromptFromThem guards against prompts that are kept from servers because answers were
// damaged, refused or late.
func TestFailuresThatDoNotEndServersKeepNoPromptFromThem(t *testing.T) {
	for name, err := range map[string]error{
		"damaged": errors.Wrap(lavexchange.ErrExchange{Sent: true, Reason: "malformed response"}, "read response"),
		"late":    errors.Wrap(syscall.ETIMEDOUT, "read response"),
		"refused": lavexchange.ErrExchange{Reason: "connection refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _, clock := newFragileFixture(4)
			f.Sender = failingServers{err}
			for range 20 {
				f.serve(newPromptRequest(clock, "shared", "own"))
				clock.advance(time.Second)
			}
			is.True(!f.Quarantine.Suspects())
		})
	}
}

// TestPartOfAPromptThatEndsServersIsSentToFewOfThem guards against requests with a part in common that end one server after
// the other, new ones and repeats, while sound requests of the same account with the same first part are to be answered.
func TestPartOfAPromptThatEndsServersIsSentToFewOfThem(t *testing.T) {
	for name, endsBeforeHead := range map[string]bool{"after the head of the answer": false, "before the head of the answer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, fragile, clock := newFragileFixture(26)
			fragile.endsBeforeHead = endsBeforeHead
			for i := range 80 {
				own := fmt.Sprintf("own-%d", i)
				f.serve(newPromptRequest(clock, "shared", deadlyPart, own))
				clock.advance(200 * time.Millisecond)
				answer, result := f.serve(newPromptRequest(clock, "shared", "sound-"+own, own))
				is.True(result.Refusal == nil)         // a sound request is not refused
				is.Equal(answer.status, http.StatusOK) // and answered
				clock.advance(200 * time.Millisecond)
			}
			is.True(fragile.sentAfter(5, 3*time.Second) <= 3) // requests later than 3 s after the fifth end of a server
		})
	}
}
