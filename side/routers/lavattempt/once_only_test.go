package lavattempt

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

var errReplyLost = lavplatform.ErrStoreUnavailable{Reason: "reply lost"}

// isIntentWrite reports whether write records the claim of an attempt before its dispatch.
func isIntentWrite(write lavplatform.Insert, attempt string) bool {
	return strings.HasPrefix(write.Writer, attempt+"/") && strings.HasSuffix(write.Writer, "/Intent")
}

// TestRepeatedCallReturnsStoredAnswer guards against a second run of a once-only call that is repeated through another
// process, and against a stored answer for a request with another fingerprint.
func TestRepeatedCallReturnsStoredAnswer(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	first, second := newSideProcess(t, "s1", backend, table), newSideProcess(t, "s1", backend, table)
	is.Equal(string(first.send(submit("1")).body), "receipt")
	first.flushPending()
	repeat := second.send(submit("2"))
	is.Equal(string(repeat.body), "receipt")
	is.True(repeat.head.GetStored())
	other := submit("3")
	other.Fingerprint = 2
	refusal := second.send(other).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_REQUEST_MISMATCH)
	is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
	is.Equal(backend.count(), 1)
}

// TestClaimThatTakesEffectLateIsNotDispatched guards against a call that runs twice. The replies to the claim of the
// first attempt are lost, the attempt is refused, and the claim takes effect afterwards. A repeat on another process
// runs.
func TestClaimThatTakesEffectLateIsNotDispatched(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	first, second := newSideProcess(t, "s1", backend, table), newSideProcess(t, "s1", backend, table)
	var late []lavplatform.Insert
	table.beforeWrite = func(write lavplatform.Insert) error {
		if !strings.HasPrefix(write.Writer, "1/") {
			return nil
		}
		late = append(late, write)
		return errReplyLost
	}
	began := time.Now()
	refusal := first.send(submit("1")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE)
	is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
	is.True(time.Since(began) < time.Second)
	table.apply(late[0], 0)
	is.Equal(first.send(submit("1")).refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN) // the attempt stays refused
	is.Equal(string(second.send(submit("2")).body), "receipt")                                  // the holder reports that it did not run, so the repeat runs
	is.Equal(backend.count(), 1)
}

// TestRepeatIsInDoubtWhenHolderIsUnreachable guards against a repeat that runs although the first holder may have run
// the call.
func TestRepeatIsInDoubtWhenHolderIsUnreachable(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	first, second := newSideProcess(t, "s1", backend, table), newSideProcess(t, "s1", backend, table)
	first.send(submit("1"))
	first.server.Close()
	refusal := second.send(submit("2")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_REQUEST_IN_DOUBT)
	is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_IN_DOUBT)
	is.Equal(backend.count(), 1)
}

// TestRepeatOfRunningCallNamesItsHolder guards against a second run of a call that is repeated while it runs. The repeat
// is refused with the address and the attempt to attach to, and attaching returns the answer.
func TestRepeatOfRunningCallNamesItsHolder(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	backend, table := &fakeService{onCall: func() { close(started); <-release }}, newMemoryTable()
	first, second := newSideProcess(t, "s1", backend, table), newSideProcess(t, "s1", backend, table)
	answered := make(chan result, 1)
	go func() { answered <- first.send(submit("1")) }()
	<-started
	refusal := second.send(submit("2")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING)
	is.Equal(refusal.GetHolderAddress(), first.server.Listener.Addr().String())
	close(release)
	attached := first.post("/attach", &lavwire.Attach{AttemptId: refusal.GetHolderAttemptId()})
	is.Equal(string(attached.body), "receipt")
	is.Equal(string((<-answered).body), "receipt")
	is.Equal(backend.count(), 1)
}

// TestPauseBetweenClaimAndDispatchPreventsDispatch guards against a dispatch by a process that was paused after its
// claim was written. The pause lasts until the deadline has passed or until an operator has fenced the call.
func TestPauseBetweenClaimAndDispatchPreventsDispatch(t *testing.T) {
	cases := []struct {
		name   string
		pause  time.Duration
		fenced bool
		kind   lavwire.RefusalKind
	}{
		{"past the deadline", 300 * time.Millisecond, false, lavwire.RefusalKind_REFUSAL_KIND_TIMEOUT},
		{"fenced meanwhile", 150 * time.Millisecond, true, lavwire.RefusalKind_REFUSAL_KIND_SEALED},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			backend, table := &fakeService{}, newMemoryTable()
			s := newSideProcess(t, "s1", backend, table)
			operator := lavledger.New(table)
			table.afterWrite = func(write lavplatform.Insert) error {
				if !isIntentWrite(write, "1") {
					return nil
				}
				if c.fenced {
					_, _ = operator.Settle(t.Context(), lavledger.Settlement{Account: "a", Request: "r", Attempt: "1"}, time.Now())
				}
				time.Sleep(c.pause)
				return nil
			}
			attempt := submit("1")
			attempt.TimeoutMillis = 250
			refusal := s.send(attempt).refusal
			is.Equal(refusal.GetKind(), c.kind)
			is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
			is.Equal(backend.count(), 0)
		})
	}
}

// TestDataCentreTakenOutOfServiceDuringClaimPreventsDispatch guards against a dispatch under an outdated configuration:
// the data centre goes out of service while the claim is written.
func TestDataCentreTakenOutOfServiceDuringClaimPreventsDispatch(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	s := newSideProcess(t, "s1", backend, table)
	outOfService := newDocument(lavconfig.VersionServing)
	outOfService.DataCentres["dc"] = lavconfig.DataCentre{State: lavconfig.OutOfService}
	table.afterWrite = func(lavplatform.Insert) error {
		s.configs.set(outOfService)
		return nil
	}
	refusal := s.send(submit("1")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_DATA_CENTRE_OUT)
	is.Equal(backend.count(), 0)
	s.flushPending()
	next := newSideProcess(t, "s1", backend, table)
	table.afterWrite = func(lavplatform.Insert) error { return nil }
	s.server.Close()
	is.Equal(string(next.send(submit("2")).body), "receipt") // the claim was released, so the stopped holder need not be asked
}

// TestRefusedConnectionCountsAsNotRun guards against a call that stays in doubt although the service refused the
// connection and cannot have run it. A repeat through another process runs.
func TestRefusedConnectionCountsAsNotRun(t *testing.T) {
	is := is.New(t)
	table := newMemoryTable()
	s := newSideProcessAt(t, "s1", "http://127.0.0.1:1", table)
	refusal := s.send(submit("1")).refusal
	is.Equal(refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED)
	is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
	s.flushPending()
	s.server.Close()
	is.Equal(string(newSideProcess(t, "s1", &fakeService{}, table).send(submit("2")).body), "receipt")
}

// TestErrorStatusIsTheAnswerOfAOnceOnlyCall guards against a once-only call that counts as failed, and could run again,
// because the service answered it with an error status. An idempotent call with such a status fails and can be repeated.
func TestErrorStatusIsTheAnswerOfAOnceOnlyCall(t *testing.T) {
	is := is.New(t)
	backend := &fakeService{status: http.StatusServiceUnavailable}
	s := newSideProcess(t, "s1", backend, newMemoryTable())
	is.Equal(s.send(submit("1")).head.GetStatusCode(), int32(http.StatusServiceUnavailable))
	lookup := submit("2")
	lookup.RequestId, lookup.CallId, lookup.Path, lookup.Idempotent = "q", "look", "/look", true
	is.Equal(s.send(lookup).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED)
}

// TestSealReportsRunState seals an attempt before it arrives, after it ran, and after a restart of the process that
// dispatched it. A restarted process must not report a call of its predecessor as not run.
func TestSealReportsRunState(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	s := newSideProcess(t, "s1", backend, table)
	seal := func(on *sideProcess, attempt string, age time.Duration) lavwire.RunState {
		return on.dispatcher.Seal(t.Context(), &lavwire.SealRequest{
			AttemptId: attempt, RequestId: "r", AccountId: "a", SentAgeMillis: age.Milliseconds(),
		}, time.Now()).GetRunState()
	}
	is.Equal(seal(s, "0", 0), lavwire.RunState_RUN_STATE_NOT_RUN)
	is.Equal(s.send(submit("0")).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_SEALED)
	is.Equal(string(s.send(submit("1")).body), "receipt")
	is.Equal(seal(s, "1", 0), lavwire.RunState_RUN_STATE_RAN)
	restarted := newSideProcess(t, "s1", backend, table)
	is.Equal(seal(restarted, "1", time.Minute), lavwire.RunState_RUN_STATE_IN_DOUBT)
	is.Equal(seal(restarted, "2", time.Minute), lavwire.RunState_RUN_STATE_NOT_RUN) // the ledger row of attempt 1 now lists attempt 2 as sealed
	is.Equal(restarted.send(submit("2")).refusal.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_SEALED)
	is.Equal(backend.count(), 1)
}

// TestOutcomeIsStoredAfterTableServiceOutage guards against a lost outcome: the table service is unavailable when the
// call ends, and the outcome is written once it is back.
func TestOutcomeIsStoredAfterTableServiceOutage(t *testing.T) {
	is := is.New(t)
	backend, table := &fakeService{}, newMemoryTable()
	s := newSideProcess(t, "s1", backend, table)
	unavailable := func(lavplatform.Insert) error { return errReplyLost }
	backend.onCall = func() { table.beforeWrite = unavailable }
	is.Equal(string(s.send(submit("1")).body), "receipt")
	s.flushPending()
	is.Equal(s.outbox.Len(), 1)
	table.beforeWrite = func(lavplatform.Insert) error { return nil }
	s.outbox.Flush(t.Context())
	is.Equal(s.outbox.Len(), 0)
	s.server.Close()
	is.True(newSideProcess(t, "s1", backend, table).send(submit("2")).head.GetStored())
}

// TestCallWithoutReplyIsInDoubtAtOnce guards against a caller that waits for its whole timeout. The service cuts the
// connection of a call, or stays silent past the silence timeout before it answers.
func TestCallWithoutReplyIsInDoubtAtOnce(t *testing.T) {
	for name, onCall := range map[string]func(){"cut": func() { panic(http.ErrAbortHandler) }, "silent": func() { time.Sleep(6 * silenceTimeout) }} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend, table := &fakeService{onCall: onCall}, newMemoryTable()
			first, second := newSideProcess(t, "s1", backend, table), newSideProcess(t, "s1", backend, table)
			began := time.Now()
			refusal := first.send(submit("1")).refusal
			is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_IN_DOUBT)
			is.True(time.Since(began) < 4*silenceTimeout)
			running := second.send(submit("2")).refusal
			is.Equal(running.GetKind(), lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING)
			attached := first.post("/attach", &lavwire.Attach{AttemptId: running.GetHolderAttemptId()})
			is.Equal(attached.refusal.GetRunState(), lavwire.RunState_RUN_STATE_IN_DOUBT)
			is.Equal(first.dispatcher.Metrics.Value("Panics"), int64(0))
			if name == "cut" {
				return
			}
			body := ""
			for attempt := 3; body == "" && time.Since(began) < 20*silenceTimeout; attempt++ {
				time.Sleep(silenceTimeout)
				first.outbox.Flush(t.Context())
				body = string(second.send(submit(strconv.Itoa(attempt))).body)
			}
			is.Equal(body, "receipt") // the process waited for the late outcome and stored it
			is.True(time.Since(began) >= 6*silenceTimeout)
			is.Equal(backend.count(), 1)
		})
	}
}
