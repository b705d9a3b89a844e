package lavforward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavforecast"
)

func TestOnceOnlyRequestIsNotRepeatedAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, loseSend(true), replyWith(http.StatusOK, "never"))
	_, result := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(len(f.sends), 1)
	is.Equal(result.Refusal.Status, http.StatusBadGateway) // 503 would state that the request did not run
}

func TestOnceOnlyRequestIsRepeatedWhenItCannotHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, loseSend(false), refuseWith(http.StatusServiceUnavailable), replyWith(http.StatusOK, "done"))
	answer, result := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), "done")
	is.True(f.sends[0].Server.ID != f.sends[1].Server.ID) // the server that refused is excluded
	is.True(f.sends[1].Server.ID != f.sends[2].Server.ID)
}

func TestServerErrorOfOnceOnlyRequestIsDelivered(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, replyWith(http.StatusInternalServerError, "failed"))
	answer, result := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(result, Result{})
	is.Equal(answer.status, http.StatusInternalServerError)
	is.Equal(answer.body.String(), "failed")
	is.Equal(len(f.sends), 1)
}

func TestNotRunRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, refuseWith(http.StatusServiceUnavailable))
	_, result := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.True(result.Refusal.RetryAfter > 0)
}

func TestRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(0)
	started := time.Now()
	_, result := f.serve(newRequest(lavroute.Idempotent))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.True(time.Since(started) < time.Second)
}

func TestIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(5, loseSend(true), replyWith(http.StatusInternalServerError, "failed"), loseSend(true), replyWith(http.StatusOK, "beyond"))
	request := newRequest(lavroute.Idempotent)
	answer, result := f.serve(request)
	is.Equal(len(f.sends), 3)
	is.Equal(result, Result{})
	is.Equal(answer.status, http.StatusInternalServerError) // the only answer that a server gave
}

func TestUnsignedAnswerIsNotDelivered(t *testing.T) {
	is := is.New(t)
	forged := func(dispatch Dispatch) (*Reply, error) {
		reply, err := replyWith(http.StatusOK, "forged")(dispatch)
		reply.Signed = false
		return reply, err
	}
	f := newFixture(3, forged, replyWith(http.StatusOK, "signed"))
	answer, _ := f.serve(newRequest(lavroute.Idempotent))
	is.Equal(answer.body.String(), "signed")
}

func TestTruncatedAnswerIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, breakAfter("half"), replyWith(http.StatusOK, "whole"))
	answer, _ := f.serve(newRequest(lavroute.Idempotent))
	is.Equal(answer.body.String(), "whole")
}

func TestBrokenStreamResumesAfterLastWholeEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, breakAfter("id: 1\ndata: a\n\nid: 2\ndata: b"), replyWith(http.StatusOK, "id: 2\ndata: b\n\n"))
	answer, result := f.serve(newRequest(lavroute.Streaming))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.Equal(f.sends[1].ResumeAfter, "1")
	is.True(f.sends[0].Server.ID != f.sends[1].Server.ID)
}

// TestErrorInsteadOfTheRestOfAStreamIsNotDelivered guards against the text of an error in the middle of a stream, and against a stream
// that ends as if it were complete: the next server answers with an error after the first one broke off.
func TestErrorInsteadOfTheRestOfAStreamIsNotDelivered(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusMovedPermanently, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError, http.StatusGatewayTimeout} {
		is := is.New(t)
		begin, failed := breakAfter("id: 1\ndata: 1\n\n"), replyWith(status, "id: 2\ndata: error\n\n")
		f := newFixture(3, begin, failed, replyWith(http.StatusOK, "id: 2\ndata: 2\n\n"))
		answer, result := f.serve(newRequest(lavroute.Streaming))
		is.Equal(result, Result{})
		is.Equal(answer.body.String(), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		f = newFixture(2, begin, failed)
		answer, result = f.serve(newRequest(lavroute.Streaming))
		is.True(result.Broken)
		is.Equal(answer.status, http.StatusOK)
		is.Equal(answer.body.String(), "id: 1\ndata: 1\n\n")
	}
}

func TestBrokenStreamWithoutResumeEndsAsBroken(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, breakAfter("id: 1\ndata: a\n\n"), replyWith(http.StatusOK, "id: 2\ndata: b\n\n"))
	request := newRequest(lavroute.Streaming)
	request.Route.Resumable = false
	answer, result := f.serve(request)
	is.True(result.Broken)
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\n")
	is.Equal(len(f.sends), 1)
}

func TestStreamEndingWithinEventResumesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, replyWith(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda"), replyWith(http.StatusOK, "id: 2\ndata: b\n\n"))
	answer, _ := f.serve(newRequest(lavroute.Streaming))
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func TestLowConfidenceAnswerEscalatesToLargeModel(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, replyWithConfidence(20, "id: 1\ndata: small\n\n"), replyWithConfidence(20, "id: 1\ndata: large\n\n"))
	answer, _ := f.serve(newCascadeRequest())
	is.Equal(answer.body.String(), "id: 1\ndata: large\n\n")
	is.Equal(f.sends[0].Model, small)
	is.Equal(f.sends[1].Model, large)
}

// TestOnceOnlyStreamRunsOnceOnTheLargestModel guards against a second run of a stream that may not be resumed, in place of an answer
// of low confidence.
func TestOnceOnlyStreamRunsOnceOnTheLargestModel(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, replyWithConfidence(1, "id: 1\ndata: first\n\n"), replyWithConfidence(90, "id: 1\ndata: second\n\n"))
	request := newCascadeRequest()
	request.Route.Resumable = false
	answer, result := f.serve(request)
	is.Equal(result, Result{})
	is.Equal(len(f.sends), 1)
	is.Equal(f.sends[0].Model, large)
	is.Equal(answer.body.String(), "id: 1\ndata: first\n\n")
}

func TestHighConfidenceAnswerOfSmallModelIsDelivered(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, replyWithConfidence(90, "id: 1\ndata: small\n\n"))
	answer, _ := f.serve(newCascadeRequest())
	is.Equal(answer.body.String(), "id: 1\ndata: small\n\n")
}

func TestStreamResumesWithTheSameModel(t *testing.T) {
	is := is.New(t)
	first := func(dispatch Dispatch) (*Reply, error) {
		reply, err := breakAfter("id: 1\ndata: a\n\n")(dispatch)
		reply.Confidence, reply.HasConfidence = 90, true
		return reply, err
	}
	f := newFixture(3, first, replyWithConfidence(10, "id: 2\ndata: b\n\n"))
	answer, _ := f.serve(newCascadeRequest())
	is.Equal(f.sends[1].Model, small)
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func TestNamedModelIsNotEscalated(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, replyWithConfidence(0, "id: 1\ndata: a\n\n"))
	request := newCascadeRequest()
	request.Model = small
	f.serve(request)
	is.Equal(len(f.sends), 1)
	is.Equal(f.sends[0].Model, small)
}

func TestCancelledRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	leave := func(dispatch Dispatch) (*Reply, error) {
		cancel()
		return loseSend(true)(dispatch)
	}
	f := newFixture(3, leave, replyWith(http.StatusOK, "late"))
	f.Serve(ctx, newRequest(lavroute.Idempotent), &recordedAnswer{})
	is.Equal(len(f.sends), 1)
}

func TestPassedDeadlineIsRefusedWithoutSend(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	request := newRequest(lavroute.Idempotent)
	request.Deadline = time.Now()
	_, result := f.serve(request)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable) // nothing ran
	is.Equal(len(f.sends), 0)
}

func TestRefusedSendsAreBounded(t *testing.T) {
	is := is.New(t)
	request := newRequest(lavroute.Idempotent)
	request.Route.Attempts = 2
	full := slices.Repeat([]func(Dispatch) (*Reply, error){refuseWith(http.StatusServiceUnavailable)}, 20)
	f := newFixture(20, full...)
	_, result := f.serve(request)
	is.Equal(len(f.sends), request.Route.Attempts+maxRefusedSends)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable) // none of them ran
}

func TestColdServersGetNoMoreThanTheirStatedRate(t *testing.T) {
	is := is.New(t)
	done := replyWith(http.StatusOK, "done")
	f := newFixture(1, done, done, done, done)
	f.listServers(1, 3*time.Second)
	served := 0
	for range 4 {
		if _, result := f.serve(newRequest(lavroute.Idempotent)); result.Refusal == nil {
			served++
		}
	}
	is.Equal(served, 2) // the stated rate is two a second
}

func TestRequestsStayWithinRegionsOfTheirRoute(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, replyWith(http.StatusOK, "done"))
	f.Regions = map[lavid.DataCentreID]lavid.Region{"centre-a": "here"}
	request := newRequest(lavroute.Idempotent)
	request.Route.Regions = []lavid.Region{"there"}
	_, result := f.serve(request)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.Equal(len(f.sends), 0)
	request = newRequest(lavroute.Idempotent)
	request.Route.Regions = []lavid.Region{"here"}
	_, result = f.serve(request)
	is.Equal(result, Result{})
}

func TestColdServersWithoutStatedRateServe(t *testing.T) {
	is := is.New(t)
	done := replyWith(http.StatusOK, "done")
	f := newFixture(1, done, done, done, done)
	f.listServers(1, 3*time.Second)
	for range 4 {
		request := newRequest(lavroute.Idempotent)
		request.Service.ColdRate = 0
		_, result := f.serve(request)
		is.Equal(result, Result{})
	}
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	budget := newRepeatBudget(Settings{RepeatShare: 0.5, RepeatSlack: 2, RepeatWindow: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 4 {
		budget.countRequest(service, now)
	}
	taken := 0
	for range 10 {
		if budget.take(service, 1, 1, now) {
			taken++
		}
	}
	is.Equal(taken, 4) // half of the four requests plus a slack of two
	is.True(!budget.take(service, 1, 1, now.Add(9*time.Second)))
	is.True(budget.take(service, 1, 1, now.Add(11*time.Second))) // the window has passed
}

func TestFailedServerIsUnusableForAWhile(t *testing.T) {
	is := is.New(t)
	table := newHealthTable()
	now := time.Unix(1000, 0)
	const id = lavserver.InstanceKey(1)
	table.recordFailure(id, now)
	usable, _ := table.usable(id, now)
	is.True(!usable)
	usable, _ = table.usable(id, now.Add(time.Second))
	is.True(usable)
}

func TestWatchdogCancelsOnlySendsToSilentServers(t *testing.T) {
	is := is.New(t)
	for _, silent := range []bool{true, false} {
		ctx, cancel := context.WithCancel(context.Background())
		watch := newWatchdog(cancel, func(time.Time) bool { return silent }, time.Now)
		watch.reset(5 * time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		is.Equal(watch.hasFired(), silent)
		is.Equal(ctx.Err() != nil, silent)
		watch.stop()
		cancel()
	}
}

func TestSendIsLostOnceLaterSendsWereAnswered(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	now := time.Now()
	fixture.Clock = func() time.Time { return now }
	e := &execution{Forwarder: fixture.Forwarder, request: newRequest(lavroute.Idempotent)}
	e.request.Route.LatencyTarget = 2 * time.Second
	chosen, sentAt := choice{Row: e.Directory.All()[0]}, now
	for range overtakenThreshold - 1 {
		e.health.recordAnswer(chosen.Instance(), sentAt.Add(time.Millisecond), e.rank())
	}
	now = sentAt.Add(1500 * time.Millisecond)
	e.health.recordActivity(chosen.Instance(), now)
	is.True(!e.isLost(chosen, e.rank(), sentAt, now)) // a few answers may arrive out of order
	e.health.recordAnswer(chosen.Instance(), sentAt.Add(time.Millisecond), e.rank())
	is.True(e.isLost(chosen, e.rank(), sentAt, now))
	now = sentAt.Add(900 * time.Millisecond)
	is.True(!e.isLost(chosen, e.rank(), sentAt, now)) // the answer may still arrive
}

// TestSendOnASilencedConnectionIsGivenUpWhileAnotherServerCanAnswer guards against a send that waits until the deadline: its
// connection was lost without a reset, and its server answers on others.
func TestSendOnASilencedConnectionIsGivenUpWhileAnotherServerCanAnswer(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	sentAt := time.Unix(1000, 0)
	e := &execution{Forwarder: fixture.Forwarder, request: newRequest(lavroute.Streaming)}
	e.request.Deadline = sentAt.Add(3 * time.Second)
	chosen := choice{Row: e.Directory.All()[0]}
	after := func(waited time.Duration) bool {
		e.health.recordActivity(chosen.Instance(), sentAt.Add(waited)) // another request's events
		return e.isLost(chosen, e.rank(), sentAt, sentAt.Add(waited))
	}
	is.True(!after(2900 * time.Millisecond)) // the server may be busy with earlier requests
	e.health.recordAnswer(chosen.Instance(), sentAt.Add(time.Millisecond), e.rank())
	is.True(!after(1400 * time.Millisecond))
	is.True(after(1500 * time.Millisecond))
}

// TestSlowServerDoesNotProlongTheWait answers the pattern of a request that waits at a server that turned slow: the server's
// own slowness must not be a reason to wait longer for it.
func TestSlowServerDoesNotProlongTheWait(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	sentAt := time.Unix(1000, 0)
	e := &execution{Forwarder: fixture.Forwarder, request: newRequest(lavroute.Streaming)}
	chosen := choice{Row: e.Directory.All()[0], unreadTokens: 10_000}
	for range 50 {
		e.Forecasts.Observe(lavforecast.Query{Service: service, Server: "normal", Own: 10_000}, 300*time.Millisecond, sentAt)
		e.Forecasts.Observe(lavforecast.Query{Service: service, Server: chosen.ID, Own: 10_000, Before: 1e6}, time.Minute, sentAt)
	}
	is.True(e.expectedFirst(chosen, sentAt) > 600*time.Millisecond)
	e.health.recordActivity(chosen.Instance(), sentAt.Add(time.Second))
	for range overtakenThreshold {
		e.health.recordAnswer(chosen.Instance(), sentAt.Add(time.Millisecond), e.rank())
	}
	is.True(e.isLost(chosen, e.rank(), sentAt, sentAt.Add(time.Second)))
}

// TestOnlyServerIsNotGivenUp guards against a request that fails while its server is slow, although no other one could take
// it.
func TestOnlyServerIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	for _, servers := range []int{1, 2} {
		f := newFixture(servers, replyWith(http.StatusOK, "whole"))
		sends := 0
		f.beforeSend = func(ctx context.Context, _ Dispatch) {
			if sends++; sends == 1 {
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
			}
		}
		request := newRequest(lavroute.Idempotent)
		request.Deadline = request.Arrived.Add(400 * time.Millisecond)
		answer, result := f.serve(request)
		is.Equal(result, Result{})
		is.Equal(answer.body.String(), "whole")
		is.Equal(sends, servers)
	}
}

// TestSilentServerIsGivenUpAtHalfOfTheTimeLeft guards against a repeat that waits a whole latency target at a server that
// sends nothing, although its caller waits hardly longer than that.
func TestSilentServerIsGivenUpAtHalfOfTheTimeLeft(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(1)
	sentAt := time.Unix(1000, 0)
	e := &execution{Forwarder: fixture.Forwarder, request: newRequest(lavroute.Streaming)}
	chosen := choice{Row: e.Directory.All()[0]}
	isLost := func(left, waited time.Duration) bool {
		e.request.Deadline = sentAt.Add(left)
		return e.isLost(chosen, e.rank(), sentAt, sentAt.Add(waited))
	}
	is.True(!isLost(5*time.Second, 900*time.Millisecond))
	is.True(isLost(5*time.Second, time.Second)) // the latency target
	is.True(!isLost(1200*time.Millisecond, 500*time.Millisecond))
	is.True(isLost(1200*time.Millisecond, 600*time.Millisecond))
}

// slowBody returns one part per read after a delay, unless its context ends first.
type slowBody struct {
	ctx   context.Context
	parts []string
}

func (s *slowBody) Read(buffer []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	case <-time.After(20 * time.Millisecond):
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return copy(buffer, part), nil
}

func TestRouteWithoutTargetsWaitsForSlowServer(t *testing.T) {
	for _, kind := range []lavroute.Kind{lavroute.Idempotent, lavroute.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			body := &slowBody{parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}}
			f := newFixture(2, func(Dispatch) (*Reply, error) {
				return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(body)}, nil
			})
			f.beforeSend = func(ctx context.Context, _ Dispatch) {
				body.ctx = ctx
				time.Sleep(20 * time.Millisecond)
			}
			request := newRequest(kind)
			request.Route.LatencyTarget, request.Route.PauseTarget, request.Route.Timeout = 0, 0, 5*time.Second
			_, result := f.serve(request)
			is.Equal(result, Result{})
			is.Equal(len(f.sends), 1)
		})
	}
}

func TestAnswersToMoreUrgentSendsDoNotMakeASendLost(t *testing.T) {
	is := is.New(t)
	h, sentAt := newHealthTable(), time.Unix(1000, 0)
	for i := range overtakenThreshold {
		h.recordAnswer(1, sentAt.Add(time.Duration(i+1)*time.Second), 3)
	}
	is.Equal(h.overtaking(1, sentAt, 3), overtakenThreshold)
	is.Equal(h.overtaking(1, sentAt, 5), 0) // the answered sends were more urgent
	is.Equal(h.overtaking(1, sentAt.Add(2*time.Second), 3), overtakenThreshold-2)
	is.Equal(h.overtaking(2, sentAt, 3), 0)
}

func TestServerWithReusedAddressIsExcludedForAllRequests(t *testing.T) {
	is := is.New(t)
	other := func(dispatch Dispatch) (*Reply, error) {
		reply, err := refuseWith(http.StatusMisdirectedRequest)(dispatch)
		reply.OtherServer = true
		return reply, err
	}
	done := replyWith(http.StatusOK, "done")
	f := newFixture(2, other, done, done, done, done)
	for range 4 {
		f.serve(newRequest(lavroute.Idempotent))
	}
	for _, send := range f.sends[1:] {
		is.True(send.Server.ID != f.sends[0].Server.ID)
	}
}

func TestHostsShareTheRepeatSlack(t *testing.T) {
	is := is.New(t)
	const hosts = 24
	now := time.Unix(1000, 0)
	taken := 0
	for range hosts {
		budget := newRepeatBudget(Settings{RepeatShare: 0.5, RepeatSlack: 88, RepeatWindow: 10 * time.Second})
		for budget.take(service, hosts, 1, now) {
			taken++
		}
	}
	is.True(taken <= 88)
	is.True(taken >= 60)
}

// TestServerThatStartedAgainIsJudgedAnew guards against a server that gets little work, or is taken to have prompts in its
// cache, because of what an earlier instance under the same ID did before it ended.
func TestServerThatStartedAgainIsJudgedAnew(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	clock := time.Now()
	instance := func(born time.Time) lavserver.InstanceKey {
		f.directory.ApplyListing([]lavserver.Server{{ID: "a", Service: service, Address: "127.0.0.1:1", Release: "v1", Slots: 8, Born: born}}, clock)
		return f.directory.All()[0].Instance()
	}
	prompt := Prompt{Parts: []Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}, Input: 110}
	request := &Request{Prompt: prompt}
	held := func(instance lavserver.InstanceKey) int {
		return f.Holdings.Held(request.promptKeys(small), clock)[instance]
	}
	earlier := instance(clock.Add(-time.Hour))
	for range 10 {
		f.health.recordFailure(earlier, clock)
	}
	f.Holdings.Record(request.promptKeys(small), earlier, clock)
	usable, rate := f.health.usable(earlier, clock)
	is.True(!usable)
	is.True(rate > suspectFailureRate)
	is.Equal(held(earlier), 2)
	later := instance(clock)
	usable, rate = f.health.usable(later, clock)
	is.True(usable)
	is.Equal(rate, 0.0)
	is.Equal(held(later), 0)
}
