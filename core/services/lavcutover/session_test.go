package lavcutover

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
)

// orderedCutovers returns cutovers that know the order for v2 and its row from start on.
func orderedCutovers() *Cutovers {
	c := newCutovers()
	startCutover(c, start)
	return c
}

func startCutover(c *Cutovers, learned time.Time) {
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, learned)
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Running, Duration: 24 * time.Second}, at(1), learned)
}

// trialSessions returns sessions that fall into the trial share of v2.
func trialSessions(count int) []string {
	var sessions []string
	for i := 0; len(sessions) < count; i++ {
		session := fmt.Sprint("session-", i)
		if (Progress{Service: pool, To: "v2"}).sessionPosition(session) < trialShare {
			sessions = append(sessions, session)
		}
	}
	return sessions
}

// TestSessionOfAnotherHostStaysOnItsRelease guards against a session whose next request comes through a host that has not
// served it: that host takes it for a new one and moves it into the trial.
func TestSessionOfAnotherHostStaysOnItsRelease(t *testing.T) {
	is := is.New(t)
	first, second := newCutovers(), newCutovers()
	session := trialSessions(1)[0]
	first.RecordSend(serverOf("v1"), session, start.Add(-time.Second))
	first.RecordEnd(serverOf("v1"), session, start)
	startCutover(first, start)
	startCutover(second, start)
	second.AddEarlierSessions(first.Statuses()[0])
	is.Equal(second.Preferences(pool, session, start.Add(5*time.Second))("v2"), Never)
	is.Equal(second.Preferences(pool, trialSessions(2)[1], start.Add(5*time.Second))("v2"), Preferred)
}

// TestSessionPauseCountsFromTheEndOfASend guards against a session that counts as new because its last answer took longer than
// the longest pause.
func TestSessionPauseCountsFromTheEndOfASend(t *testing.T) {
	is := is.New(t)
	c := orderedCutovers()
	session := trialSessions(1)[0]
	c.sessions.Add(sessionKey{pool, session}, sessionPlacement{release: "v1", used: start.Add(-time.Minute), inProgress: 1})
	is.Equal(c.Preferences(pool, session, start.Add(3*time.Second))("v2"), Never) // its request is still in progress
	c.RecordEnd(serverOf("v1"), session, start.Add(4*time.Second))
	is.Equal(c.Preferences(pool, session, start.Add(9*time.Second))("v2"), Never)
	is.Equal(c.Preferences(pool, session, start.Add(10*time.Second))("v2"), Preferred)
}

// TestSessionsOfTheTimeBeforeAreFoundWhenAnOrderArrives guards against sessions that a host served before it knew of the order.
func TestSessionsOfTheTimeBeforeAreFoundWhenAnOrderArrives(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	sessions := trialSessions(2)
	c.RecordSend(serverOf("v1"), sessions[0], start.Add(-3*time.Second))
	c.RecordEnd(serverOf("v1"), sessions[0], start.Add(-2*time.Second))
	c.RecordSend(serverOf("v1"), sessions[1], start.Add(-20*time.Second))
	c.RecordEnd(serverOf("v1"), sessions[1], start.Add(-19*time.Second)) // longer ago than a session pauses
	startCutover(c, start)
	earlier := c.Statuses()[0].Earlier
	is.True(earlier.Contains(sessions[0]))
	is.True(!earlier.Contains(sessions[1]))
}

// TestHostThatLearnsLateMovesNoSessionAtOnce guards against a host that starts during a trial: it has not been told yet which
// sessions older releases serve.
func TestHostThatLearnsLateMovesNoSessionAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	startCutover(c, start.Add(5*time.Second))
	session := trialSessions(1)[0]
	is.Equal(c.Preferences(pool, session, start.Add(6*time.Second))("v2"), Never)
	is.Equal(c.Preferences(pool, session, start.Add(8*time.Second))("v2"), Preferred)
}

// TestForcedMoveIsReported covers the only move that a host makes knowingly: no server of the session's release is usable.
func TestForcedMoveIsReported(t *testing.T) {
	is := is.New(t)
	c := orderedCutovers()
	var moves []Move
	c.settings.OnMove = func(move Move) { moves = append(moves, move) }
	c.RecordSend(serverOf("v2"), "session", start.Add(3*time.Second))
	c.RecordEnd(serverOf("v2"), "session", start.Add(4*time.Second))
	c.RecordSend(serverOf("v1"), "session", start.Add(5*time.Second))
	is.Equal(moves, []Move{{Service: pool, Session: "session", From: "v2", To: "v1", Pause: time.Second}})
}

func TestSessionSet(t *testing.T) {
	is := is.New(t)
	var none SessionSet
	a, b := none.With("a"), none.With("b")
	is.True(a.Contains("a"))
	is.True(!a.Contains("b"))
	is.True(!none.Contains("a"))
	is.Equal(a.Union(b), b.Union(a))
	is.True(a.Union(b).Contains("a") && a.Union(b).Contains("b"))
	is.True(!a.Contains("b")) // no set is changed in place
	is.Equal(a.Union(SessionSet{1}), a)
	is.Equal(none.Union(a), a)
}

// simRequest is a request of a session in TestNoSessionChangesItsRelease.
type simRequest struct {
	began   time.Duration
	ended   time.Duration
	release lavid.ReleaseID
}

// TestNoSessionChangesItsRelease draws sessions that begin before and after a cutover does, with requests that overlap, last
// long, pause for about as long as a session may, and come through several hosts. The hosts' clocks differ, they learn of the
// cutover at different times and report to each other with a delay. No session may change to the new release in the
// first half of the cutover, nor from it, within the longest pause after the end of its request before. A session that comes
// to another host does so no sooner than a report takes.
func TestNoSessionChangesItsRelease(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const (
			step        = 50 * time.Millisecond
			reportDelay = 800 * time.Millisecond
			maxLearn    = 400 * time.Millisecond
			maxSkew     = 100 * time.Millisecond
			maxPause    = 5 * time.Second
			sessions    = 25
		)
		type session struct {
			name     string
			host     int
			next     time.Duration
			requests []*simRequest
		}
		type end struct {
			host    int
			session string
			request *simRequest
		}
		duration := func(low, high time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(int64(low/step), int64(high/step)).Draw(t, label)) * step
		}
		hosts := make([]*Cutovers, rapid.IntRange(1, 5).Draw(t, "hosts"))
		learned := make([]time.Duration, len(hosts))
		for i := range hosts {
			hosts[i] = newCutovers()
			hosts[i].SetStoreClock(duration(-maxSkew, maxSkew, "skew"), start)
			learned[i] = duration(0, maxLearn, "learned")
		}
		var active []*session
		for _, name := range trialSessions(sessions) {
			active = append(active, &session{name: name, host: rapid.IntRange(0, len(hosts)-1).Draw(t, "host"), next: duration(-6*time.Second, 14*time.Second, "begin")})
		}
		var running []end
		reports := make(map[time.Duration][]Status)
		for now := -6 * time.Second; now < 16*time.Second; now += step {
			at := start.Add(now)
			for i, host := range hosts {
				if now == learned[i] {
					startCutover(host, at)
				}
				if now > learned[i] && now%(4*step) == 0 {
					reports[now+reportDelay] = append(reports[now+reportDelay], host.Statuses()...)
				}
				for _, status := range reports[now] {
					host.AddEarlierSessions(status)
				}
			}
			for i := 0; i < len(running); i++ {
				if running[i].request.ended == now {
					hosts[running[i].host].RecordEnd(serverOf(running[i].request.release), running[i].session, at)
					running = append(running[:i], running[i+1:]...)
					i--
				}
			}
			for _, s := range active {
				if s.next != now {
					continue
				}
				request := &simRequest{began: now, ended: now + duration(step, 8*time.Second, "length"), release: "v1"}
				// Servers of the new release start after the order for it.
				if now >= learned[s.host] && hosts[s.host].Preferences(pool, s.name, at)("v2") == Preferred {
					request.release = "v2"
				}
				for _, before := range s.requests {
					if before.release == request.release || now-before.ended >= maxPause {
						continue
					}
					if request.release == "v1" || now < 12*time.Second {
						t.Fatalf("%s changed from %s to %s at %s, %s after the end of its request before", s.name, before.release, request.release, now, now-before.ended)
					}
				}
				hosts[s.host].RecordSend(serverOf(request.release), s.name, at)
				s.requests = append(s.requests, request)
				running = append(running, end{host: s.host, session: s.name, request: request})
				if rapid.Bool().Draw(t, "other host") {
					s.host = rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
					s.next = now + duration(reportDelay+4*step+maxLearn, 12*time.Second, "pause")
				} else {
					s.next = now + duration(step, 12*time.Second, "pause")
				}
			}
		}
	})
}
