package lavattempt

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/wire/lavwire"
)

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func stall(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func endEarly(http.ResponseWriter, *http.Request) {}

// TestInterruptedStreamIsResumed guards against a chat answer that is lost or generated twice when the connection to
// the engine fails. The engine cuts the connection, stalls or ends the response after half of the answer.
func TestInterruptedStreamIsResumed(t *testing.T) {
	for name, afterFirstHalf := range map[string]func(http.ResponseWriter, *http.Request){"cut": abortConnection, "silent": stall, "ended early": endEarly} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend := &fakeEngine{version: "v", afterFirstHalf: afterFirstHalf}
			s := newSideProcess(t, "engine", backend, newMemoryTable())
			began := time.Now()
			got := s.send(chat("1"))
			is.Equal(string(got.body), wholeStream)
			is.Equal(got.end.GetUsage().GetOutputTokens(), int64(5))
			is.Equal(backend.read(&backend.runs), 1)
			is.True(time.Since(began) < 4*silenceTimeout)
		})
	}
}

// TestInterruptedStreamWithoutResumeIsRefused guards against a truncated answer that is reported as complete. The
// engine breaks its connection after half of the answer and no longer has the stream.
func TestInterruptedStreamWithoutResumeIsRefused(t *testing.T) {
	for name, afterFirstHalf := range map[string]func(http.ResponseWriter, *http.Request){"cut": abortConnection, "silent": stall, "ended early": endEarly} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSideProcess(t, "engine", &fakeEngine{version: "v", afterFirstHalf: afterFirstHalf, forgetsStreams: true}, newMemoryTable())
			got := s.send(chat("1"))
			is.True(got.end == nil)
			is.Equal(got.refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED)
		})
	}
}

// TestAnswerOfWrongVersionIsDiscarded guards against an answer of another model version than the requested one: the
// attempt is refused, none of the answer reaches the reader, and the run is cancelled.
func TestAnswerOfWrongVersionIsDiscarded(t *testing.T) {
	is := is.New(t)
	backend := &fakeEngine{version: "other"}
	got := newSideProcess(t, "engine", backend, newMemoryTable()).send(chat("1"))
	is.Equal(got.refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION)
	is.Equal(len(got.body), 0)
	for range 100 {
		if backend.read(&backend.cancelled) > 0 {
			break
		}
		time.Sleep(silenceTimeout / 10)
	}
	is.Equal(backend.read(&backend.cancelled), 1)
}

// TestDuplicateAttemptAttachesToExistingRun guards against a second run of an attempt that is sent twice, and checks
// that a reader can attach from an offset.
func TestDuplicateAttemptAttachesToExistingRun(t *testing.T) {
	is := is.New(t)
	backend := &fakeEngine{version: "v"}
	s := newSideProcess(t, "engine", backend, newMemoryTable())
	is.Equal(string(s.send(chat("1")).body), wholeStream)
	is.Equal(string(s.send(chat("1")).body), wholeStream)
	is.Equal(string(s.post("/attach", &lavwire.Attach{AttemptId: "1", Offset: 10}).body), wholeStream[10:])
	is.Equal(backend.read(&backend.runs), 1)
}

// TestRestartedSideProcessResumesStreamFromEngine attaches to a side process that did not start the attempt, as after a
// restart. It guards against a lost answer and against a second run.
func TestRestartedSideProcessResumesStreamFromEngine(t *testing.T) {
	is := is.New(t)
	backend := &fakeEngine{version: "v"}
	s := newSideProcess(t, "engine", backend, newMemoryTable())
	attach := &lavwire.Attach{AttemptId: "1", RequestId: "r", AccountId: "a", VersionId: "v", Stream: true, Offset: 10}
	got := s.post("/attach", attach)
	is.Equal(string(got.body), wholeStream[10:])
	is.Equal(got.end.GetLength(), uint64(len(wholeStream)))
	attach.AttemptId = "2"
	is.Equal(s.post("/attach", attach).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN)
	is.Equal(backend.read(&backend.runs), 0)
}

// TestAttemptWithoutReaderIsCancelled guards against an attempt that occupies the engine forever: nobody reads the
// answer, and the engine never ends it.
func TestAttemptWithoutReaderIsCancelled(t *testing.T) {
	is := is.New(t)
	backend := &fakeEngine{version: "v", afterFirstHalf: stall}
	s := newSideProcess(t, "engine", backend, newMemoryTable())
	s.dispatcher.Start(chat("5"), time.Now())
	for range 100 {
		s.dispatcher.Tick(time.Now())
		if s.dispatcher.Running() == 0 {
			break
		}
		time.Sleep(silenceTimeout / 10)
	}
	is.Equal(s.dispatcher.Running(), 0)
	is.Equal(s.dispatcher.Metrics.Value("Orphans"), int64(1))
	is.Equal(backend.read(&backend.cancelled), 1)
}

// TestNewerConfigNumberFetchesConfigurationFirst guards against a decision under an older configuration than the one
// the attempt names: the attempt is refused until the newer one is fetched, and then decided under it.
func TestNewerConfigNumberFetchesConfigurationFirst(t *testing.T) {
	is := is.New(t)
	s := newSideProcess(t, "engine", &fakeEngine{version: "v"}, newMemoryTable())
	attempt := chat("1")
	attempt.ConfigNumber = 2
	is.Equal(s.send(attempt).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND)
	s.configs.newer = newDocument(lavconfig.VersionWithdrawn)
	s.configs.newer.Number = 2
	attempt.AttemptId = "3"
	is.Equal(s.send(attempt).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN)
}

// TestDrainingRefusesNewAttemptsAndFinishesRunningOnes guards against lost work in a graceful shutdown.
func TestDrainingRefusesNewAttemptsAndFinishesRunningOnes(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	backend := &fakeService{onCall: func() { close(started); <-release }}
	s := newSideProcess(t, "s1", backend, newMemoryTable())
	answered := make(chan result, 1)
	go func() { answered <- s.send(submit("1")) }()
	<-started
	s.dispatcher.StopAdmitting()
	is.True(s.dispatcher.Load().GetLeaving())
	is.Equal(s.send(submit("2")).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING)
	ready, err := http.Get(s.server.URL + "/ready")
	is.NoErr(err)
	ready.Body.Close()
	is.Equal(ready.StatusCode, http.StatusServiceUnavailable)
	close(release)
	is.Equal(string((<-answered).body), "receipt")
}

// TestMalformedAttemptsAreRefused guards against an attempt with a missing or contradictory field that is sent to the
// backend server.
func TestMalformedAttemptsAreRefused(t *testing.T) {
	is := is.New(t)
	s := newSideProcess(t, "s1", &fakeService{}, newMemoryTable())
	for _, change := range []func(a *lavwire.Attempt){
		func(a *lavwire.Attempt) { a.RequestId = "" },
		func(a *lavwire.Attempt) { a.TimeoutMillis = 0 },
		func(a *lavwire.Attempt) { a.VersionId = "v" },
		func(a *lavwire.Attempt) { a.Path = "submit" },
	} {
		attempt := submit("1")
		change(attempt)
		is.Equal(s.send(attempt).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_MALFORMED)
	}
}

// TestForgottenStreamOrRefusedConnectionMarksServerCold guards against a restarted engine that keeps the limit of a warm
// one. A restart shows in two ways: the engine no longer has a stream that it started, or it refuses connections.
func TestForgottenStreamOrRefusedConnectionMarksServerCold(t *testing.T) {
	is := is.New(t)
	s := newSideProcess(t, "engine", &fakeEngine{version: "v", afterFirstHalf: abortConnection, forgetsStreams: true}, newMemoryTable())
	s.send(chat("1"))
	is.Equal(s.dispatcher.Metrics.Value("ColdStarts"), int64(1))
	unreachable := newSideProcessAt(t, "engine", "http://127.0.0.1:1", newMemoryTable())
	is.Equal(unreachable.dispatcher.Metrics.Value("ColdStarts"), int64(1))
}

// TestHostListStartsAndEndsDraining guards against new work at a backend server that the host list marks as leaving, and
// against a server that still refuses work after the mark was removed.
func TestHostListStartsAndEndsDraining(t *testing.T) {
	is := is.New(t)
	s := newSideProcess(t, "s1", &fakeService{}, newMemoryTable())
	s.dispatcher.ApplyHostList([]lavplatform.Host{{BackendServer: "s1", Leaving: true}, {BackendServer: "s2"}})
	is.True(s.dispatcher.Load().GetLeaving())
	refusal := s.send(submit("1")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING)
	is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
	s.dispatcher.ApplyHostList([]lavplatform.Host{{BackendServer: "s1"}, {BackendServer: "s2", Leaving: true}})
	is.Equal(string(s.send(submit("2")).body), "receipt")
}
