package lavlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fillAndAnswer admits requests up to the limit, answers each after the latency, and ticks. It returns the time after the
// tick and the number of requests admitted.
func fillAndAnswer(l *Limiter, latency time.Duration, now time.Time) (time.Time, int) {
	var permits []*Permit
	for {
		permit, ok := l.AdmitReserved(100, now)
		if !ok {
			break
		}
		permits = append(permits, permit)
	}
	now = now.Add(latency)
	for _, permit := range permits {
		permit.RecordTokens(1, now)
	}
	for _, permit := range permits {
		permit.Done(Succeeded, now)
	}
	now = now.Add(max(TickInterval, maxWindowAge-latency))
	l.Tick(now)
	return now, len(permits)
}

func growToMaximum(l *Limiter, now time.Time) time.Time {
	for range 12 {
		now, _ = fillAndAnswer(l, 100*time.Millisecond, now)
	}
	return now
}

func TestFreshServerStartsLowAndGrowsByHalfToItsMaximum(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(32), start)
	now, admitted := fillAndAnswer(l, 100*time.Millisecond, start)
	is.Equal(admitted, 2)
	_, admitted = fillAndAnswer(l, 100*time.Millisecond, now)
	is.Equal(admitted, 3)
	growToMaximum(l, now)
	is.Equal(l.Limit(), 32)
}

func TestLimitFallsInProportionToExcessLatency(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(32), start)
	now := growToMaximum(l, start)
	l.baseline = baseline{}
	fillAndAnswer(l, 3400*time.Millisecond, now)
	is.Equal(l.Limit(), 16)
}

// A server that turns cold must be detected from the requests that wait for their first token. Until
// their answers end, it would otherwise keep receiving the load of a warm server.
func TestUnansweredRequestsAtAColdServerCollapseTheLimit(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(32), start)
	now := growToMaximum(l, start)
	for range 10 {
		l.Admit(100, now)
	}
	l.Tick(now.Add(900 * time.Millisecond))
	is.Equal(l.Limit(), 2)
	is.Equal(l.Snapshot().Collapses, 1)
	_, ok := l.Admit(100, now.Add(time.Second))
	is.True(!ok)
}

func TestPartOfTheLimitIsReserved(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(20), start)
	now := growToMaximum(l, start)
	for range 18 {
		_, ok := l.Admit(100, now)
		is.True(ok)
	}
	_, ok := l.Admit(100, now)
	is.True(!ok)
	_, ok = l.AdmitReserved(100, now)
	is.True(ok)
}

func TestTwoFailuresCollapseTheLimit(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(32), start)
	now := growToMaximum(l, start)
	for range 2 {
		permit, _ := l.Admit(100, now)
		permit.Done(Failed, now)
		permit.Done(Failed, now)
	}
	is.Equal(l.Limit(), 2)
}

func TestUnusedLimitShrinks(t *testing.T) {
	is := is.New(t)
	l := New(EngineSettings(32), start)
	now := growToMaximum(l, start)
	l.Tick(now.Add(idleDecayAge))
	is.Equal(l.Limit(), 16)
}

func TestPlainServiceLimitSettlesNearTheLatencyKnee(t *testing.T) {
	is := is.New(t)
	l := New(PlainSettings(100), start)
	now := start
	for range 60 {
		latency := 20 * time.Millisecond * time.Duration(max(8, l.Limit())) / 8
		now, _ = fillAndAnswer(l, latency, now)
	}
	is.True(l.Limit() >= 8)
	is.True(l.Limit() <= 20)
}

// Random sequences of admissions, ends and ticks must not admit a request above the limit, unless none is in progress, and
// must not lose count of the requests in progress.
func TestAdmissionNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(EngineSettings(rapid.IntRange(1, 40).Draw(t, "max")), start)
		now := start
		var permits []*Permit
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			before := l.Snapshot()
			if permit, ok := l.Admit(100, now); ok {
				permits = append(permits, permit)
				if before.Running > 0 && before.Running >= before.Limit {
					t.Fatalf("admitted a request with %d running at a limit of %d", before.Running, before.Limit)
				}
			}
			if len(permits) > 0 && rapid.Bool().Draw(t, "end") {
				permits[0].RecordTokens(1, now)
				permits[0].Done(Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), now)
				permits = permits[1:]
			}
			l.Tick(now)
		}
		if l.Snapshot().Running != len(permits) {
			t.Fatal("number of running requests differs from the number of open permits")
		}
	})
}
