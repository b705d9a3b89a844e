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
)

func TestOnceOnlyRequestIsNotRepeatedAfterItMayHaveRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, loses(true), answers(http.StatusOK, "never"))
	_, result := w.serve(request(lavroute.OnceOnly))
	is.Equal(len(w.sends), 1)
	is.Equal(result.Refusal.Status, http.StatusBadGateway) // 503 would promise that it did not run
}

func TestOnceOnlyRequestGoesOnWhenNothingWasSent(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, loses(false), refuses(http.StatusServiceUnavailable), answers(http.StatusOK, "done"))
	answer, result := w.serve(request(lavroute.OnceOnly))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), "done")
	is.True(w.sends[0].Server.ID != w.sends[1].Server.ID) // not to the server that refused
	is.True(w.sends[1].Server.ID != w.sends[2].Server.ID)
}

func TestFailureOfAOnceOnlyRequestIsDeliveredAsItIs(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, answers(http.StatusInternalServerError, "failed"))
	answer, result := w.serve(request(lavroute.OnceOnly))
	is.Equal(result, Result{})
	is.Equal(answer.status, http.StatusInternalServerError)
	is.Equal(answer.body.String(), "failed")
	is.Equal(len(w.sends), 1)
}

func TestRefusalThatNothingRanSaysWhenToComeBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, refuses(http.StatusServiceUnavailable))
	_, result := w.serve(request(lavroute.OnceOnly))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.True(result.Refusal.RetryAfter > 0)
}

func TestNoServerIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(0)
	started := time.Now()
	_, result := w.serve(request(lavroute.Idempotent))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.True(time.Since(started) < time.Second)
}

func TestIdempotentRequestIsRepeatedWithinItsAttempts(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, loses(true), answers(http.StatusInternalServerError, "failed"), loses(true), answers(http.StatusOK, "beyond"))
	asked := request(lavroute.Idempotent)
	answer, result := w.serve(asked)
	is.Equal(len(w.sends), 3)
	is.Equal(result, Result{})
	is.Equal(answer.status, http.StatusInternalServerError) // the only answer that a server gave
}

func TestAnswerWithoutProofIsNotDelivered(t *testing.T) {
	is := is.New(t)
	forged := func(dispatch Dispatch) (*Reply, error) {
		reply, err := answers(http.StatusOK, "forged")(dispatch)
		reply.Genuine = false
		return reply, err
	}
	w := newWorld(3, forged, answers(http.StatusOK, "genuine"))
	answer, _ := w.serve(request(lavroute.Idempotent))
	is.Equal(answer.body.String(), "genuine")
}

func TestCutAnswerIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, breaks("half"), answers(http.StatusOK, "whole"))
	answer, _ := w.serve(request(lavroute.Idempotent))
	is.Equal(answer.body.String(), "whole")
}

func TestBrokenStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, breaks("id: 1\ndata: a\n\nid: 2\ndata: b"), answers(http.StatusOK, "id: 2\ndata: b\n\n"))
	answer, result := w.serve(request(lavroute.Streaming))
	is.Equal(result, Result{})
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.Equal(w.sends[1].After, "1")
	is.True(w.sends[0].Server.ID != w.sends[1].Server.ID)
}

func TestBrokenStreamThatCannotBeResumedDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, breaks("id: 1\ndata: a\n\n"), answers(http.StatusOK, "id: 2\ndata: b\n\n"))
	asked := request(lavroute.Streaming)
	asked.Route.Resumable = false
	answer, result := w.serve(asked)
	is.True(result.Broken)
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\n")
	is.Equal(len(w.sends), 1)
}

func TestStreamThatEndsWithinAnEventGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, answers(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda"), answers(http.StatusOK, "id: 2\ndata: b\n\n"))
	answer, _ := w.serve(request(lavroute.Streaming))
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func TestDoubtfulAnswerOfASmallModelIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, confident(20, "id: 1\ndata: small\n\n"), confident(20, "id: 1\ndata: large\n\n"))
	answer, _ := w.serve(cascade())
	is.Equal(answer.body.String(), "id: 1\ndata: large\n\n")
	is.Equal(w.sends[0].Model, small)
	is.Equal(w.sends[1].Model, large)
}

func TestConfidentAnswerOfASmallModelIsDelivered(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, confident(90, "id: 1\ndata: small\n\n"))
	answer, _ := w.serve(cascade())
	is.Equal(answer.body.String(), "id: 1\ndata: small\n\n")
}

func TestStreamGoesOnWithTheModelThatBeganIt(t *testing.T) {
	is := is.New(t)
	first := func(dispatch Dispatch) (*Reply, error) {
		reply, err := breaks("id: 1\ndata: a\n\n")(dispatch)
		reply.Confidence, reply.HasConfidence = 90, true
		return reply, err
	}
	w := newWorld(3, first, confident(10, "id: 2\ndata: b\n\n"))
	answer, _ := w.serve(cascade())
	is.Equal(w.sends[1].Model, small)
	is.Equal(answer.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func TestNamedModelIsKept(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, confident(0, "id: 1\ndata: a\n\n"))
	asked := cascade()
	asked.Model = small
	w.serve(asked)
	is.Equal(len(w.sends), 1)
	is.Equal(w.sends[0].Model, small)
}

func TestCallerThatLeftIsNotServedFurther(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	leave := func(dispatch Dispatch) (*Reply, error) {
		cancel()
		return loses(true)(dispatch)
	}
	w := newWorld(3, leave, answers(http.StatusOK, "late"))
	w.Serve(ctx, request(lavroute.Idempotent), &recorded{})
	is.Equal(len(w.sends), 1)
}

func TestPassedDeadlineIsAFinalAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	asked := request(lavroute.Idempotent)
	asked.Deadline = time.Now()
	_, result := w.serve(asked)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable) // nothing ran
	is.Equal(len(w.sends), 0)
}

func TestSendsThatServersRefuseAreBounded(t *testing.T) {
	is := is.New(t)
	asked := request(lavroute.Idempotent)
	asked.Route.Attempts = 2
	full := slices.Repeat([]func(Dispatch) (*Reply, error){refuses(http.StatusServiceUnavailable)}, 20)
	w := newWorld(20, full...)
	_, result := w.serve(asked)
	is.Equal(len(w.sends), asked.Route.Attempts+extraTries)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable) // none of them ran
}

func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	is := is.New(t)
	done := answers(http.StatusOK, "done")
	w := newWorld(1, done, done, done, done)
	w.list(1, 3*time.Second)
	served := 0
	for range 4 {
		if _, result := w.serve(request(lavroute.Idempotent)); result.Refusal == nil {
			served++
		}
	}
	is.Equal(served, 2) // the stated rate is two a second
}

func TestRequestsStayWithinTheRegionsOfTheirRoute(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, answers(http.StatusOK, "done"))
	w.Regions = map[lavid.DataCentreID]lavid.Region{"centre-a": "here"}
	asked := request(lavroute.Idempotent)
	asked.Route.Regions = []lavid.Region{"there"}
	_, result := w.serve(asked)
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.Equal(len(w.sends), 0)
	asked = request(lavroute.Idempotent)
	asked.Route.Regions = []lavid.Region{"here"}
	_, result = w.serve(asked)
	is.Equal(result, Result{})
}

func TestColdServersOfAServiceWithoutARateServe(t *testing.T) {
	is := is.New(t)
	done := answers(http.StatusOK, "done")
	w := newWorld(1, done, done, done, done)
	w.list(1, 3*time.Second)
	for range 4 {
		asked := request(lavroute.Idempotent)
		asked.Service.ColdRate = 0
		_, result := w.serve(asked)
		is.Equal(result, Result{})
	}
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	budget := newRepeats(Settings{RepeatShare: 0.5, RepeatSlack: 2, RepeatWindow: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 4 {
		budget.first(service, now)
	}
	taken := 0
	for range 10 {
		if budget.take(service, 1, now) {
			taken++
		}
	}
	is.Equal(taken, 4) // half of four requests and two
	is.True(!budget.take(service, 1, now.Add(9*time.Second)))
	is.True(budget.take(service, 1, now.Add(11*time.Second))) // the window has passed
}

func TestRefusedServerFails(t *testing.T) {
	is := is.New(t)
	rows := newHealths()
	now := time.Unix(1000, 0)
	id := lavid.BackendServerID("a")
	rows.fail(id, now)
	usable, _ := rows.usable(id, now)
	is.True(!usable)
	usable, _ = rows.usable(id, now.Add(time.Second))
	is.True(usable)
}

func TestStallEndsOnlySendsToSilentServers(t *testing.T) {
	is := is.New(t)
	for _, silent := range []bool{true, false} {
		ctx, cancel := context.WithCancel(context.Background())
		watch := newStall(cancel, func(time.Time) bool { return silent }, time.Now)
		watch.reset(5 * time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		is.Equal(watch.fired(), silent)
		is.Equal(ctx.Err() != nil, silent)
		watch.stop()
		cancel()
	}
}

func TestSendIsTakenToBeLostOnceLaterOnesHaveOvertakenIt(t *testing.T) {
	is := is.New(t)
	world := newWorld(1)
	now := time.Now()
	world.Clock = func() time.Time { return now }
	w := &work{Forwarder: world.Forwarder, request: request(lavroute.Idempotent)}
	w.request.Route.LatencyTarget = 2 * time.Second
	chosen, sent := choice{Row: w.Directory.All()[0]}, now
	for range overtakenBy - 1 {
		w.health.answer(chosen.ID, sent.Add(time.Millisecond), w.rank())
	}
	now = sent.Add(1500 * time.Millisecond)
	w.health.hear(chosen.ID, now)
	is.True(!w.isLost(chosen, w.rank(), sent)) // a few answers may come out of order
	w.health.answer(chosen.ID, sent.Add(time.Millisecond), w.rank())
	is.True(w.isLost(chosen, w.rank(), sent))
	now = sent.Add(900 * time.Millisecond)
	is.True(!w.isLost(chosen, w.rank(), sent)) // the answer may still come
}

// slowly is a body that needs time for each of its parts, unless the send is given up.
type slowly struct {
	ctx   context.Context
	parts []string
}

func (s *slowly) Read(buffer []byte) (int, error) {
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

func TestRouteWithoutTargetsWaitsForItsServer(t *testing.T) {
	for _, kind := range []lavroute.Kind{lavroute.Idempotent, lavroute.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			body := &slowly{parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}}
			w := newWorld(2, func(Dispatch) (*Reply, error) {
				return &Reply{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: io.NopCloser(body)}, nil
			})
			w.before = func(ctx context.Context, _ Dispatch) {
				body.ctx = ctx
				time.Sleep(20 * time.Millisecond)
			}
			asked := request(kind)
			asked.Route.LatencyTarget, asked.Route.PauseTarget, asked.Route.Timeout = 0, 0, 5*time.Second
			_, result := w.serve(asked)
			is.Equal(result, Result{})
			is.Equal(len(w.sends), 1)
		})
	}
}

func TestSendThatIsMoreUrgentThanTheOnesItWaitsForIsNotTakenToBeLost(t *testing.T) {
	is := is.New(t)
	h, sent := newHealths(), time.Unix(1000, 0)
	for i := range overtakenBy {
		h.answer("a", sent.Add(time.Duration(i+1)*time.Second), 3)
	}
	is.True(h.overtaken("a", sent, 3))
	is.True(!h.overtaken("a", sent, 5)) // those that overtook it are more urgent
	is.True(!h.overtaken("a", sent.Add(2*time.Second), 3))
	is.True(!h.overtaken("b", sent, 3))
}

func TestServerWhoseAddressAnotherOneHasIsLeftOutForAll(t *testing.T) {
	is := is.New(t)
	other := func(dispatch Dispatch) (*Reply, error) {
		reply, err := refuses(http.StatusMisdirectedRequest)(dispatch)
		reply.OtherServer = true
		return reply, err
	}
	done := answers(http.StatusOK, "done")
	w := newWorld(2, other, done, done, done, done)
	for range 4 {
		w.serve(request(lavroute.Idempotent))
	}
	for _, send := range w.sends[1:] {
		is.True(send.Server.ID != w.sends[0].Server.ID)
	}
}

func TestHostsShareTheSlackOfTheBudget(t *testing.T) {
	is := is.New(t)
	const hosts = 24
	now := time.Unix(1000, 0)
	taken := 0
	for range hosts {
		budget := newRepeats(Settings{RepeatShare: 0.5, RepeatSlack: 88, RepeatWindow: 10 * time.Second})
		for budget.take(service, hosts, now) {
			taken++
		}
	}
	is.True(taken <= 88)
	is.True(taken >= 60)
}
