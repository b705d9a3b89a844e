package lavcutover

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

const (
	pool       = lavid.ServiceID("pool")
	trialShare = 0.1
)

var start = time.Unix(1000, 0)

// at returns the revision with a version before the store states an era.
func at(version int) lavrevision.Revision {
	return lavrevision.Revision{Version: lavrevision.Version(version)}
}

func newCutovers() *Cutovers {
	c := New(Settings{TrialShare: trialShare, Exposure: Exposure{Share: 0.15, Slack: 30}, MaxSessionPause: 5 * time.Second, Test: lavrollout.DefaultSettings(), StopEvidence: 100, DoubtEvidence: 5, MaxCompleteEvidence: 1})
	c.SetStoreClock(0, start)
	c.MarkRowsRead()
	return c
}

// runningCutovers returns cutovers in which v2 replaces v1 within 24 s from start.
func runningCutovers() *Cutovers {
	c := newCutovers()
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start)
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Running, Duration: 24 * time.Second}, at(1), start)
	return c
}

// serverOf returns a server of the pool that runs a release.
func serverOf(release lavid.ReleaseID) lavserver.Server {
	return lavserver.Server{ID: lavid.BackendServerID("server-" + string(release)), Service: pool, Release: release}
}

// shareOfNewRelease returns the share of new sessions that prefer v2 at a time after the start.
func shareOfNewRelease(c *Cutovers, after time.Duration) float64 {
	const sessions = 2000
	count := 0.0
	for i := range sessions {
		if c.Preferences(pool, fmt.Sprintf("%v-%d", after, i), start.Add(after))("v2") == Preferred {
			count++
		}
	}
	return count / sessions
}

func firstRank(lavid.ServiceID) int              { return 0 }
func idle(lavid.ServiceID, lavid.ReleaseID) bool { return false }
func busy(lavid.ServiceID, lavid.ReleaseID) bool { return true }

func TestNewReleaseServesNothingBeforeItsCutoverBegins(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start)
	preference := c.Preferences(pool, "session", start)
	is.Equal(preference("v2"), Never)
	is.Equal(preference("v1"), Preferred)
}

// recordSends counts sends to v1 at 40 a second up to a time after the start.
func recordSends(c *Cutovers, until time.Duration) {
	for i := range int(until.Seconds() * 40) {
		c.RecordSend(serverOf("v1"), fmt.Sprint("sent-", i), start)
	}
}

func TestTrialTakesItsShareOfNewSessions(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	is.Equal(shareOfNewRelease(c, time.Second), 0.0) // hosts tell each other which sessions have begun
	is.True(shareOfNewRelease(c, 3*time.Second) > 0.06 && shareOfNewRelease(c, 3*time.Second) < 0.14)
}

func TestAllTrafficMovesOnceTheRemainingTimeFitsTheExposure(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	movedAfter := time.Duration(0)
	for after := time.Second; after < 24*time.Second && movedAfter == 0; after += 100 * time.Millisecond {
		c.statistics.clear(pool)
		recordSends(c, after)
		c.Tick(firstRank, busy, start.Add(after))
		if shareOfNewRelease(c, after) == 1 {
			movedAfter = after
		}
	}
	// The service gets 960 sends in 24 s. The planned bound is 0.9 * 0.15 * 960 + 0.5 * 30 = 144.6 sends, or 3.6 s of
	// traffic.
	is.True(movedAfter > 20300*time.Millisecond && movedAfter < 20700*time.Millisecond)
}

func TestSessionStaysOnTheOldReleaseDuringTheTrial(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for i := range 200 {
		session := fmt.Sprint(i)
		c.RecordSend(serverOf("v1"), session, start.Add(time.Second))
		is.Equal(c.Preferences(pool, session, start.Add(2*time.Second))("v2"), Never)
	}
}

func TestSessionNeverReturnsToTheOldRelease(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for i := range 200 {
		session := fmt.Sprint(i)
		c.RecordSend(serverOf("v2"), session, start.Add(time.Second))
		is.Equal(c.Preferences(pool, session, start.Add(2*time.Second))("v2"), Preferred)
	}
}

func TestStoppedReleaseServesNothingAndACompleteOneIsPreferred(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, at(2), start)
	is.Equal(c.Preferences(pool, "s", start)("v2"), Never)
	c = runningCutovers()
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete}, at(2), start)
	is.Equal(c.Preferences(pool, "s", start)("v2"), Preferred)
	is.Equal(c.Preferences(pool, "s", start)("v1"), Fallback)
}

func TestOlderRowIsIgnored(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	is.True(c.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, at(3), start))
	is.True(!c.ApplyRow(Progress{Service: pool, To: "v2", State: Running}, at(2), start))
	is.Equal(c.Preferences(pool, "s", start)("v2"), Never)
}

// observeAnswers counts 100 answers of v1 without failures, and answers of v2 of which some fail.
func observeAnswers(c *Cutovers, answers, failures int) {
	for i := range 100 {
		c.Observe(serverOf("v1"), Outcome{Kind: "chat"})
		// One in ten answers of the old release is slow, as under load.
		c.ObserveDuration(serverOf("v1"), "chat", time.Duration(20+150*(i%10/9))*time.Millisecond)
	}
	for i := range answers {
		c.Observe(serverOf("v2"), Outcome{Kind: "chat", Failed: i < failures})
	}
}

func TestFailingReleaseIsStoppedAtOnce(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 8, 3)
	changes := c.Tick(firstRank, idle, start.Add(time.Second))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Progress.State, Stopped)
	is.Equal(changes[0].Revision, at(1))
	// The host stops the release even if the row cannot be written.
	is.Equal(c.Preferences(pool, "s", start)("v2"), Never)
}

func TestFailuresReportedByPeersCount(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 3, 1)
	is.Equal(len(c.Tick(firstRank, idle, start)), 0) // one failure is little evidence
	counts := Counts{Failures: lavrollout.Sample{Trials: 5, Bad: 2}}
	c.SetOtherCounts(pool, map[Key]Counts{{Service: pool, Release: "v2", Kind: "chat"}: counts})
	is.Equal(c.Tick(firstRank, idle, start)[0].Progress.State, Stopped)
}

func TestSlowReleaseIsStopped(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 0, 0)
	// Six in ten answers take at least eight times as long as most answers of v1.
	for i := range 10 {
		c.ObserveDuration(serverOf("v2"), "chat", time.Duration(20+140*(i%5/2))*time.Millisecond)
	}
	is.Equal(c.Tick(firstRank, idle, start)[0].Progress.State, Stopped)
}

func TestFailuresOfAllReleasesStopNone(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for i := range 200 {
		c.Observe(serverOf("v1"), Outcome{Kind: "lookup", Failed: i%5 == 0})
	}
	for i := range 25 {
		c.Observe(serverOf("v2"), Outcome{Kind: "lookup", Failed: i%5 == 0})
	}
	is.Equal(len(c.Tick(firstRank, idle, start)), 0)
}

func TestGoodReleaseCompletesOnceTheOldServersAreIdle(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 40, 0)
	recordSends(c, 21*time.Second)
	is.Equal(len(c.Tick(firstRank, busy, start.Add(21*time.Second))), 0)
	is.Equal(len(c.Tick(firstRank, idle, start.Add(21500*time.Millisecond))), 0)
	changes := c.Tick(firstRank, idle, start.Add(22200*time.Millisecond))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Progress.State, Complete)
}

func TestGoodReleaseCompletesInTimeThoughOldServersAreBusy(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	recordSends(c, 22*time.Second)
	is.Equal(len(c.Tick(firstRank, busy, start.Add(22*time.Second))), 0)
	is.Equal(c.Tick(firstRank, busy, start.Add(22900*time.Millisecond))[0].Progress.State, Complete)
}

func TestHostsWriteInTurn(t *testing.T) {
	is := is.New(t)
	second := func(lavid.ServiceID) int { return 1 }
	c := newCutovers()
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start)
	is.Equal(len(c.Tick(second, idle, start)), 0)
	changes := c.Tick(second, idle, start.Add(time.Second)) // the first host did not write
	is.Equal(changes[0].Progress.State, Running)
	is.Equal(changes[0].Revision, at(0))
}

// TestNothingIsWrittenBeforeTheRowsAreRead guards against a host that has not read the stored rows and begins a
// cutover that has already begun.
func TestNothingIsWrittenBeforeTheRowsAreRead(t *testing.T) {
	is := is.New(t)
	c := New(Settings{Test: lavrollout.DefaultSettings(), StopEvidence: 100})
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start)
	is.Equal(len(c.Tick(firstRank, idle, start.Add(time.Second))), 0)
}

func TestNewOrderReplacesTheRowOfTheEarlierOne(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete}, at(7), start)
	c.SetOrders([]Order{{Service: pool, To: "v3", Duration: 24 * time.Second}}, start)
	is.Equal(c.Preferences(pool, "s", start)("v3"), Never)
	changes := c.Tick(firstRank, idle, start)
	is.Equal(changes[0].Progress.To, lavid.ReleaseID("v3"))
	is.Equal(changes[0].Revision, at(7))
}

// TestRowOfAnEarlierOrderDoesNotStartTheNewOne guards against a complete row of the last cutover, read after a new
// order, being taken for the state of the new cutover.
func TestRowOfAnEarlierOrderDoesNotStartTheNewOne(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	c.SetOrders([]Order{{Service: pool, To: "v3", Duration: 24 * time.Second}}, start)
	is.True(!c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete}, at(7), start))
	changes := c.Tick(firstRank, idle, start.Add(time.Second))
	is.Equal(changes[0].Progress.To, lavid.ReleaseID("v3"))
	is.Equal(changes[0].Revision, at(7))
}

func TestReleaseThatIsSlowAsOftenAsTheOldOneIsNotStopped(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 0, 0)
	for i := range 40 {
		c.ObserveDuration(serverOf("v2"), "chat", time.Duration(20+150*(i%8/7))*time.Millisecond)
	}
	is.Equal(len(c.Tick(firstRank, idle, start)), 0)
}

func TestDoubtfulReleaseDoesNotTakeAllTraffic(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 9, 2)
	recordSends(c, 22*time.Second)
	c.Tick(firstRank, idle, start.Add(22*time.Second))
	is.True(shareOfNewRelease(c, 22*time.Second) < 0.14)
	observeAnswers(c, 60, 0)
	c.Tick(firstRank, idle, start.Add(22500*time.Millisecond))
	is.Equal(shareOfNewRelease(c, 22500*time.Millisecond), 1.0)
}

func TestDoubtfulReleaseIsStoppedAtTheEnd(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 9, 2)
	is.Equal(len(c.Tick(firstRank, idle, start.Add(22*time.Second))), 0)
	changes := c.Tick(firstRank, idle, start.Add(23*time.Second))
	is.Equal(changes[0].Progress.State, Stopped)
	is.Equal(c.Preferences(pool, "s", start.Add(23*time.Second))("v2"), Never)
}

// TestPendingAnswersCountAsSlow guards against a release that stops answering: its answers never arrive, so that
// counting them on arrival would find no evidence against it.
func TestPendingAnswersCountAsSlow(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for range 20 {
		c.StartTiming(serverOf("v1"), Awaited{Kind: "chat"}, start).Answered(start.Add(100 * time.Millisecond))
	}
	pending := make([]*Timing, 0, 10)
	for range 10 {
		pending = append(pending, c.StartTiming(serverOf("v2"), Awaited{Kind: "chat"}, start))
	}
	is.Equal(len(c.Tick(firstRank, busy, start.Add(200*time.Millisecond))), 0)
	is.Equal(c.Tick(firstRank, busy, start.Add(300*time.Millisecond))[0].Progress.State, Stopped)
	for _, timing := range pending {
		timing.Answered(start.Add(time.Second)) // a pending answer that counted as slow does not count again
	}
	is.Equal(c.statistics.ownCounts(pool)[Key{Service: pool, Release: "v2", Kind: "chat"}].Slow.Trials, 10.0)
}

// observeFirstEvents times first events of both releases. The times vary by a factor of two, and those of v2 are
// longer by the given factor, which is too little for any to be slow.
func observeFirstEvents(c *Cutovers, factor float64) {
	for i := range 200 {
		took := time.Duration(100*math.Pow(2, float64(i*37%100)/100)) * time.Millisecond
		c.StartTiming(serverOf("v1"), Awaited{Kind: "chat", Varied: true}, start).Answered(start.Add(took))
		if i%5 == 0 {
			c.StartTiming(serverOf("v2"), Awaited{Kind: "chat", Varied: true}, start).Answered(start.Add(time.Duration(factor * float64(took))))
		}
	}
}

func TestReleaseOftenAboveTheUsualTimeIsStoppedAtTheEnd(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeFirstEvents(c, 1.5)
	is.Equal(c.Tick(firstRank, busy, start.Add(23*time.Second))[0].Progress.State, Stopped)
}

func TestReleaseWithUsualTimesCompletes(t *testing.T) {
	for _, factor := range []float64{0.7, 1, 1.05} {
		is := is.New(t)
		c := runningCutovers()
		observeFirstEvents(c, factor)
		recordSends(c, 22*time.Second)
		c.Tick(firstRank, busy, start.Add(22*time.Second))
		is.Equal(c.Tick(firstRank, busy, start.Add(23*time.Second))[0].Progress.State, Complete)
	}
}

// TestSmallSpeedDifferenceIsNoEvidenceForTimesThatHardlyVary guards against evidence from a server that is
// slightly slower: if times hardly vary, all of them are above the baseline, so that only slow ones may count.
func TestSmallSpeedDifferenceIsNoEvidenceForTimesThatHardlyVary(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for range 60 {
		c.StartTiming(serverOf("v1"), Awaited{Kind: "lookup"}, start).Answered(start.Add(100 * time.Millisecond))
		c.StartTiming(serverOf("v2"), Awaited{Kind: "lookup"}, start).Answered(start.Add(110 * time.Millisecond))
	}
	is.True(c.Statuses()[0].Evidence <= 1) // 1 means no evidence
}

// TestSmallSpeedDifferenceStopsNoRelease guards against a good release that is stopped, and whose sessions move, because its servers are
// used less and take new connections more often.
func TestSmallSpeedDifferenceStopsNoRelease(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for i := range 60 {
		varied := time.Duration(i%5) * time.Millisecond
		c.StartTiming(serverOf("v1"), Awaited{Kind: "chat", Varied: true}, start).Answered(start.Add(20*time.Millisecond + varied))
		c.StartTiming(serverOf("v2"), Awaited{Kind: "chat", Varied: true}, start).Answered(start.Add(21*time.Millisecond + varied))
	}
	is.True(c.Statuses()[0].Evidence <= 1) // 1 means no evidence
}

func TestDroppedTimingsDoNotCount(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for range 20 {
		c.StartTiming(serverOf("v1"), Awaited{Kind: "chat"}, start).Answered(start.Add(100 * time.Millisecond))
	}
	for range 10 {
		c.StartTiming(serverOf("v2"), Awaited{Kind: "chat"}, start).Dropped()
	}
	is.Equal(len(c.Tick(firstRank, busy, start.Add(time.Second))), 0)
}

func TestReleaseDoesNotCompleteWhileThereIsEvidenceAgainstIt(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeAnswers(c, 20, 1)
	evidence := c.Statuses()[0].Evidence
	is.True(evidence > 1 && evidence < 5)
	recordSends(c, 22*time.Second)
	is.Equal(len(c.Tick(firstRank, busy, start.Add(23*time.Second))), 0)
	observeAnswers(c, 300, 0) // one failure in 320 is no evidence
	is.Equal(c.Tick(firstRank, busy, start.Add(23500*time.Millisecond))[0].Progress.State, Complete)
}

// observeLoadedAndIdle times first events of old servers with a long queue and new ones without, in two kinds. The new ones
// take the given multiple of what is expected for their load.
func observeLoadedAndIdle(c *Cutovers, factor float64) {
	for i := range 200 {
		spread := math.Pow(2, float64(i*37%100)/100)
		for kind, idle := range map[string]time.Duration{"small": 30 * time.Millisecond, "large": 100 * time.Millisecond} {
			loaded := time.Duration(float64(idle) * 12 * spread)
			c.StartTiming(serverOf("v1"), Awaited{Kind: kind, Varied: true, Expected: 12 * idle}, start).Answered(start.Add(loaded))
			if i%5 == 0 {
				took := time.Duration(float64(idle) * factor * spread)
				c.StartTiming(serverOf("v2"), Awaited{Kind: kind, Varied: true, Expected: idle}, start).Answered(start.Add(took))
			}
		}
	}
}

// TestSlowReleaseWithoutLoadIsStopped guards against a slow release that is completed since its servers have no load, so that
// they answer sooner than the loaded servers of the old release.
func TestSlowReleaseWithoutLoadIsStopped(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	observeLoadedAndIdle(c, 8)
	is.Equal(c.Tick(firstRank, busy, start.Add(12*time.Second))[0].Progress.State, Stopped)
}

// TestReleaseWithoutLoadCompletes guards against a good release that is stopped because its servers have less load than the
// old ones.
func TestReleaseWithoutLoadCompletes(t *testing.T) {
	for _, factor := range []float64{0.7, 1, 1.2} {
		is := is.New(t)
		c := runningCutovers()
		observeLoadedAndIdle(c, factor)
		recordSends(c, 22*time.Second)
		c.Tick(firstRank, busy, start.Add(22*time.Second))
		is.Equal(c.Tick(firstRank, busy, start.Add(23*time.Second))[0].Progress.State, Complete)
	}
}
