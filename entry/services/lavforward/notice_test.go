package lavforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcold"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavrate"
)

// leaving changes a reply so that its server states that it leaves.
func leaving(reply func(Dispatch) (*Reply, error)) func(Dispatch) (*Reply, error) {
	return func(dispatch Dispatch) (*Reply, error) {
		answer, err := reply(dispatch)
		answer.Leaving = true
		return answer, err
	}
}

// refuseFor returns a refusal with which a server asks for a pause.
func refuseFor(pause time.Duration) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, NotRun: true, Pause: pause, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

// TestServerThatLeavesGetsNoFurtherRequest guards against requests for a server that said in an answer of any kind that it
// leaves, while the listing still shows it as usable.
func TestServerThatLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, reply := range map[string]func(Dispatch) (*Reply, error){
		"answer":  replyWith(http.StatusOK, "whole"),
		"error":   replyWith(http.StatusInternalServerError, "failed"),
		"refusal": refuseWith(http.StatusServiceUnavailable),
		"stream":  breakAfter("id: 1\ndata: 1\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, leaving(reply))
			kind := lavroute.Idempotent
			if name == "stream" {
				kind = lavroute.Streaming
			}
			f.serve(newRequest(kind))
			left := f.sends[0].Server.ID
			f.listServers(2, 0) // the listing does not show yet that it leaves
			for range 20 {
				f.replies = append(f.replies, replyWith(http.StatusOK, "whole"))
				f.serve(newRequest(lavroute.Idempotent))
			}
			for _, dispatch := range f.sends[1:] {
				is.True(dispatch.Server.ID != left)
			}
		})
	}
}

// TestLargerModelIsNotAskedOfAServerThatLeaves guards against the second send of a cascade to a server whose first answer
// said that it leaves.
func TestLargerModelIsNotAskedOfAServerThatLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, leaving(replyWithConfidence(1, "id: 1\ndata: small\n\n")), replyWithConfidence(90, "id: 1\ndata: large\n\n"))
	f.serve(newCascadeRequest())
	is.Equal(len(f.sends), 2)
	is.True(f.sends[0].Server.ID != f.sends[1].Server.ID)
}

// TestRequestIsRefusedAtOnceWhenAllServersLeave guards against a send to a server that leaves because there is no other one.
func TestRequestIsRefusedAtOnceWhenAllServersLeave(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, leaving(replyWith(http.StatusOK, "whole")))
	f.serve(newRequest(lavroute.OnceOnly))
	for _, request := range []*Request{newRequest(lavroute.OnceOnly), newCascadeRequest()} {
		began := time.Now()
		_, result := f.serve(request)
		is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
		is.True(result.Refusal.RetryAfter > 0)
		is.True(time.Since(began) < 100*time.Millisecond)
	}
	is.Equal(len(f.sends), 1)
}

// TestServerThatAnswersForAnotherOneAndLeavesIsLeft guards against requests for a leaving server that was found by a send to
// the one that had its address before.
func TestServerThatAnswersForAnotherOneAndLeavesIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, leaving(func(Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusMisdirectedRequest, Header: http.Header{}, NotRun: true, OtherServer: true, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}))
	earlier, later := f.directory.All()[0].Server, f.directory.All()[0].Server
	later.ID = "later"
	f.directory.ApplyListing([]lavserver.Server{earlier, later}, time.Now())
	f.serve(newRequest(lavroute.OnceOnly))
	_, result := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.Equal(len(f.sends), 1)
}

// TestRequestGoesElsewhereDuringAPause guards against sends to a server that has asked for a pause.
func TestRequestGoesElsewhereDuringAPause(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, refuseFor(time.Minute), replyWith(http.StatusOK, "whole"))
	_, result := f.serve(newRequest(lavroute.OnceOnly))
	is.True(result.Refusal == nil)
	paused := f.sends[0].Server.ID
	f.listServers(2, 0) // a listing does not end the pause
	for range 20 {
		f.replies = append(f.replies, replyWith(http.StatusOK, "whole"))
		f.serve(newRequest(lavroute.OnceOnly))
	}
	for _, dispatch := range f.sends[1:] {
		is.True(dispatch.Server.ID != paused)
	}
}

// TestCallersReturnAfterThePauseWhenAllServersHaveAskedForOne guards against sends to a paused server because there is no
// other one, and against callers that come back too early.
func TestCallersReturnAfterThePauseWhenAllServersHaveAskedForOne(t *testing.T) {
	is := is.New(t)
	const pause = 5 * time.Second
	f := newFixture(1, refuseFor(pause))
	f.serve(newRequest(lavroute.OnceOnly))
	for _, request := range []*Request{newRequest(lavroute.OnceOnly), newCascadeRequest()} {
		_, result := f.serve(request)
		is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
		is.True(result.Refusal.RetryAfter > pause-time.Second)
	}
	is.Equal(len(f.sends), 1)
}

// TestWithheldSendIsRepeatedElsewhere guards against a once-only request that fails, or a server that counts as failed,
// because its server left while the connection was opened.
func TestWithheldSendIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	withhold := func(Dispatch) (*Reply, error) { return nil, lavexchange.ErrWithheld }
	f := newFixture(2, withhold, replyWith(http.StatusOK, "whole"))
	answer, _ := f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(answer.status, http.StatusOK)
	usable, _ := f.health.usable(f.sends[0].Server.Instance(), time.Now())
	is.True(usable)
	is.True(f.sends[0].MaySend())
	f.directory.Leave(f.sends[0].Server, time.Now())
	is.True(!f.sends[0].MaySend())
}

// pausingServer is a server that runs a number of requests a second and asks for a pause when it gets more.
type pausingServer struct {
	left     float64
	refilled time.Time
	// pausedUntil is the end of the pause that each host was asked for.
	pausedUntil map[lavid.HostID]time.Time
}

// pauseSimulation plays hosts that share servers. Requests and replies take no time.
type pauseSimulation struct {
	now     time.Time
	servers map[lavid.BackendServerID]*pausingServer
	// reachedPaused counts requests that reached a server within a pause that it had asked the host for.
	reachedPaused int
}

const (
	simServers  = 12
	simCapacity = 20.0 // requests a second of one server
	simPause    = time.Second
	simPatience = 5 * time.Second
)

// simHost sends the requests of one host to the simulated servers.
type simHost struct {
	*pauseSimulation
	id lavid.HostID
}

func (h simHost) Send(_ context.Context, dispatch Dispatch) (*Reply, error) {
	server := h.servers[dispatch.Server.ID]
	if h.now.Before(server.pausedUntil[h.id]) {
		h.reachedPaused++
	}
	server.left = min(server.left+simCapacity*h.now.Sub(server.refilled).Seconds(), simCapacity/4)
	server.refilled = h.now
	if server.left < 1 {
		server.pausedUntil[h.id] = h.now.Add(simPause)
		return refuseFor(simPause)(dispatch)
	}
	server.left--
	return replyWith(http.StatusOK, "whole")(dispatch)
}

// TestPausesUnderOverload plays servers that ask for pauses under 1.3 times their capacity. No request may reach a paused
// server, and callers that are refused may not return all at once.
func TestPausesUnderOverload(t *testing.T) {
	for _, size := range []int{6, 29, 68} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, uint64(size)))
			start := time.Unix(1000, 0)
			sim := &pauseSimulation{now: start, servers: make(map[lavid.BackendServerID]*pausingServer)}
			var listing []lavserver.Server
			for i := range simServers {
				id := lavid.BackendServerID(fmt.Sprint("server-", i))
				sim.servers[id] = &pausingServer{refilled: start, pausedUntil: make(map[lavid.HostID]time.Time)}
				listing = append(listing, lavserver.Server{ID: id, Service: service, Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: "centre-a", Release: "v1", Slots: 8})
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			var members []lavring.Member
			for i := range size {
				members = append(members, lavring.Member{ID: lavid.HostID(fmt.Sprint("host-", i)), DataCentre: "centre-a"})
			}
			forwarders := make([]*Forwarder, size)
			for i := range forwarders {
				directory := lavdirectory.New(lavdirectory.Settings{})
				directory.ApplyListing(listing, start)
				forwarders[i] = New(Settings{RepeatShare: 0.7, RepeatSlack: 54, RepeatWindow: 10 * time.Second}, Dependencies{
					Directory: directory, Loads: lavload.New(), Forecasts: lavforecast.New(), Cold: lavcold.New(members[i].ID), Limits: lavrate.New(members[i].ID), Holdings: lavholding.New(), Quarantine: lavquarantine.New(), HostID: members[i].ID,
					Releases: lavcutover.New(lavcutover.Settings{}), Hosts: hosts(members), Sender: simHost{sim, members[i].ID}, DataCentre: "centre-a",
					Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, Clock: func() time.Time { return sim.now },
				})
				forwarders[i].random = random.Float64
			}
			const (
				step   = 10 * time.Millisecond
				length = 10 * time.Second
			)
			returns := make(map[time.Duration]int)     // callers that return, by tenth of a second
			due := make(map[time.Duration][]time.Time) // first arrivals of the callers that return at a time
			served, refused, load := 0, 0, 0.0
			for at := time.Duration(0); at < length; at += step {
				sim.now = start.Add(at)
				load += 1.3 * simServers * simCapacity * step.Seconds()
				arrivals := due[at]
				for ; load >= 1; load-- {
					arrivals = append(arrivals, sim.now)
				}
				for _, first := range arrivals {
					request := newRequest(lavroute.OnceOnly)
					request.Arrived, request.Deadline = sim.now, first.Add(simPatience)
					result := forwarders[random.IntN(size)].Serve(context.Background(), request, &recordedAnswer{})
					if result.Refusal == nil {
						served++
						continue
					}
					refused++
					back := (at + result.Refusal.RetryAfter).Truncate(step)
					if start.Add(back).Before(first.Add(simPatience)) {
						returns[back/(100*time.Millisecond)]++
						due[back] = append(due[back], first)
					}
				}
				if at%(400*time.Millisecond) == 0 {
					for _, from := range forwarders {
						reports := from.Directory.Notices().Reports(sim.now)
						for _, to := range forwarders {
							to.Directory.Notices().Apply(reports, sim.now)
						}
					}
				}
			}
			most, sum := 0, 0
			for _, count := range returns {
				most, sum = max(most, count), sum+count
			}
			mean := float64(sum) / float64(len(returns))
			t.Logf("%d hosts: served %d of a capacity of %.0f, refused %d, of whom %.0f return in 100 ms in the mean and %d at most, %d reached a paused server",
				size, served, simServers*simCapacity*length.Seconds(), refused, mean, most, sim.reachedPaused)
			is.Equal(sim.reachedPaused, 0)
			is.True(float64(most) <= 3*mean)
		})
	}
}

// pausedServers replies for servers of which the one that is reached first asks for a pause.
type pausedServers struct {
	paused lavid.BackendServerID
	pause  time.Duration
	// reached counts the requests that reached the server after it had asked for the pause.
	reached int
	reply   func(Dispatch) (*Reply, error)
}

func (s *pausedServers) Send(_ context.Context, dispatch Dispatch) (*Reply, error) {
	switch {
	case !dispatch.MaySend():
		return nil, lavexchange.ErrWithheld
	case s.paused == "":
		s.paused = dispatch.Server.ID
		return refuseFor(s.pause)(dispatch)
	case dispatch.Server.ID != s.paused:
		return s.reply(dispatch)
	}
	s.reached++
	return replyWith(http.StatusOK, "id: 1\ndata: 1\n\n")(dispatch)
}

// TestNoSendReachesAServerDuringItsPause guards against a path on which requests reach a server during the pause that it asked
// this host for, and against a host that does not use it again afterwards.
func TestNoSendReachesAServerDuringItsPause(t *testing.T) {
	whole := replyWith(http.StatusOK, "id: 1\ndata: 1\n\n")
	for name, test := range map[string]struct {
		request func() *Request
		reply   func(Dispatch) (*Reply, error)
	}{
		"first sends":            {func() *Request { return newRequest(lavroute.OnceOnly) }, whole},
		"repeats after errors":   {func() *Request { return newRequest(lavroute.Idempotent) }, replyWith(http.StatusInternalServerError, "failed")},
		"repeats after refusals": {func() *Request { return newRequest(lavroute.OnceOnly) }, refuseWith(http.StatusServiceUnavailable)},
		"servers in doubt":       {func() *Request { return newRequest(lavroute.Idempotent) }, loseSend(true)},
		"servers that leave":     {func() *Request { return newRequest(lavroute.Idempotent) }, leaving(whole)},
		"resumed streams":        {func() *Request { return newRequest(lavroute.Streaming) }, breakAfter("id: 1\ndata: 1\n\n")},
		"second runs":            {newCascadeRequest, replyWithConfidence(1, "id: 1\ndata: 1\n\n")},
		"homes of prompts": {func() *Request {
			request := newCascadeRequest()
			request.Prompt = Prompt{Parts: []Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 10}}, Input: 5010}
			return request
		}, replyWithConfidence(99, "id: 1\ndata: 1\n\n")},
	} {
		for _, pause := range []time.Duration{3 * time.Second, 26 * time.Hour} {
			t.Run(fmt.Sprint(name, " ", pause), func(t *testing.T) {
				is := is.New(t)
				clock := &manualClock{now: time.Now()}
				f := newFixture(3)
				servers := &pausedServers{pause: pause, reply: test.reply}
				f.Sender, f.Clock, f.waiting.clock = servers, clock.Now, clock.Now
				play := func(step time.Duration, count int) {
					for range count {
						request := test.request()
						request.Arrived = clock.Now()
						request.Deadline = request.Arrived.Add(5 * time.Second)
						f.serve(request)
						clock.advance(step)
					}
				}
				play(time.Millisecond, 1)
				play(pause/100, 95)
				is.Equal(servers.reached, 0)
				clock.advance(pause / 10)
				for _, row := range f.directory.All() {
					if row.ID != servers.paused {
						f.directory.Leave(row.Server, clock.Now())
					}
				}
				play(time.Millisecond, 1)
				is.Equal(servers.reached, 1) // the pause has ended
			})
		}
	}
}

// serverNamed returns a listed server.
func (f *fixture) serverNamed(id lavid.BackendServerID) lavserver.Server {
	for _, row := range f.directory.All() {
		if row.ID == id {
			return row.Server
		}
	}
	panic("server is not listed: " + string(id))
}

// TestSendIsWithheldOnceItsServerAsksForAPause guards against a request that reaches a server during its pause because the
// connection to it was being opened when another request was told of the pause.
func TestSendIsWithheldOnceItsServerAsksForAPause(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, replyWith(http.StatusOK, "whole"))
	f.beforeSend = func(_ context.Context, dispatch Dispatch) {
		is.True(dispatch.MaySend())
		f.directory.Pause(dispatch.Server, 3*time.Second, time.Now())
		is.True(!dispatch.MaySend())
	}
	f.serve(newRequest(lavroute.OnceOnly))
	is.Equal(len(f.sends), 1)
}

// TestRequestThatWaitedIsNotPlacedAtAPausedServer guards against a request that waits for an engine and goes to one that has
// asked for a pause meanwhile.
func TestRequestThatWaitedIsNotPlacedAtAPausedServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	request := newCascadeRequest()
	e := &execution{Forwarder: f.Forwarder, request: request, keys: request.keys(), excluded: map[lavid.BackendServerID]bool{}}
	now := time.Now()
	f.directory.Pause(f.serverNamed("a"), time.Minute, now)
	for range 20 {
		chosen, job, refused := e.placeWithin(noLimit, now)
		is.Equal(refused, "")
		is.Equal(chosen.ID, lavid.BackendServerID("b"))
		e.release(chosen, job)
	}
	f.directory.Pause(f.serverNamed("b"), time.Minute, now)
	_, _, refused := e.placeWithin(noLimit, now)
	is.True(refused != "")
}

// limitedServers replies for servers of which one states a limit.
type limitedServers struct {
	limited  lavid.BackendServerID
	clock    func() time.Time
	arrivals []time.Time
	reply    func(dispatch Dispatch, limited bool) (*Reply, error)
}

func (s *limitedServers) Send(_ context.Context, dispatch Dispatch) (*Reply, error) {
	isLimited := dispatch.Server.ID == s.limited
	if isLimited {
		s.arrivals = append(s.arrivals, s.clock())
	}
	reply, err := s.reply(dispatch, isLimited)
	if reply != nil && isLimited {
		reply.Limit = lavnotice.Limit{Stated: true, Rate: 1}
	}
	return reply, err
}

// TestEverySendCountsAgainstAStatedLimit guards against a server in need that gets repeats, second runs and resumed streams
// beyond the limit that first sends keep to.
func TestEverySendCountsAgainstAStatedLimit(t *testing.T) {
	whole, broken := replyWith(http.StatusOK, "id: 1\ndata: 1\n\n"), breakAfter("id: 1\ndata: 1\n\n")
	for name, test := range map[string]struct {
		request func() *Request
		reply   func(dispatch Dispatch, limited bool) (*Reply, error)
	}{
		"first sends": {
			func() *Request { return newRequest(lavroute.Idempotent) },
			func(dispatch Dispatch, _ bool) (*Reply, error) { return whole(dispatch) },
		},
		"repeats": {
			func() *Request { return newRequest(lavroute.Idempotent) },
			func(dispatch Dispatch, limited bool) (*Reply, error) {
				if limited {
					return whole(dispatch)
				}
				return replyWith(http.StatusInternalServerError, "failed")(dispatch)
			},
		},
		"resumed streams": {
			func() *Request { return newRequest(lavroute.Streaming) },
			func(dispatch Dispatch, limited bool) (*Reply, error) {
				if limited {
					return whole(dispatch)
				}
				return broken(dispatch)
			},
		},
		"second runs": {
			newCascadeRequest,
			func(dispatch Dispatch, _ bool) (*Reply, error) {
				return replyWithConfidence(1, "id: 1\ndata: 1\n\n")(dispatch)
			},
		},
		"refusals": {
			func() *Request { return newRequest(lavroute.OnceOnly) },
			func(dispatch Dispatch, _ bool) (*Reply, error) {
				return refuseWith(http.StatusServiceUnavailable)(dispatch)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &manualClock{now: time.Now()}
			f := newFixture(4)
			servers := &limitedServers{limited: "a", clock: clock.Now, reply: test.reply}
			f.Sender, f.Clock, f.waiting.clock = servers, clock.Now, clock.Now
			for range 100 {
				request := test.request()
				request.Arrived = clock.Now()
				request.Deadline = request.Arrived.Add(5 * time.Second)
				f.serve(request)
				clock.advance(40 * time.Millisecond)
			}
			is.True(len(servers.arrivals) <= 11) // one and a half times what the limit allows in 4 s, and 5 requests
			is.True(len(servers.arrivals) >= 3)
		})
	}
}

// TestLimitEndsWithAnAnswerThatStatesNone guards against a server that gets few requests for good, once it was in need.
func TestLimitEndsWithAnAnswerThatStatesNone(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	limit := lavnotice.Limit{Stated: true, Rate: 0.5}
	f.replies = append(f.replies, func(dispatch Dispatch) (*Reply, error) {
		reply, err := replyWith(http.StatusOK, "whole")(dispatch)
		reply.Limit = limit
		return reply, err
	})
	f.serve(newRequest(lavroute.Idempotent))
	is.Equal(f.directory.All()[0].Limit, limit)
	f.replies = append(f.replies, func(dispatch Dispatch) (*Reply, error) {
		reply, err := replyWith(http.StatusOK, "whole")(dispatch)
		reply.BadLimit = "many"
		return reply, err
	})
	f.serve(newRequest(lavroute.Idempotent))    // the server has one token at the start
	is.Equal(f.directory.All()[0].Limit, limit) // what cannot be read changes nothing
	_, result := f.serve(newRequest(lavroute.Idempotent))
	is.Equal(result.Refusal.Status, http.StatusServiceUnavailable)
	is.Equal(len(f.sends), 2)
	f.directory.Limit(f.sends[0].Server, lavnotice.Limit{}, time.Now())
	f.replies = append(f.replies, replyWith(http.StatusOK, "whole"))
	answer, _ := f.serve(newRequest(lavroute.Idempotent))
	is.Equal(answer.status, http.StatusOK)
}
