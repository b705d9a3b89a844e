package lavcutover

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
)

// nextRelease is the release that operators order after v2.
const nextRelease = lavid.ReleaseID("v3")

// endCutover gives the cutover to v2 a state and orders the next release.
func endCutover(c *Cutovers, state State, now time.Time) {
	c.ApplyRow(Progress{Service: pool, To: "v2", State: state, Duration: 24 * time.Second}, at(2), now)
	c.SetOrders([]Order{{Service: pool, To: nextRelease, Duration: 24 * time.Second}}, now)
}

// nextProgress returns the row of the next cutover as this host would write it.
func nextProgress(c *Cutovers, state State) Progress {
	progress := c.rows[pool].progress
	progress.State = state
	return progress
}

// TestStoppedReleaseTakesNothingAfterTheNextOrder guards against requests for a release that was stopped once another release is
// ordered, before and after the cutover to that one begins, completes or is stopped.
func TestStoppedReleaseTakesNothingAfterTheNextOrder(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	now := start.Add(6 * time.Second)
	endCutover(c, Stopped, now)
	check := func() {
		allowed := c.Preferences(pool, "session", now.Add(time.Second))
		is.Equal(allowed("v2"), Never)
		is.True(allowed("v1") != Never)
	}
	check()
	for version, state := range []State{Running, Complete, Stopped} {
		c.ApplyRow(nextProgress(c, state), at(3+version), now)
		check()
	}
	c.SetOrders(nil, now)
	check()
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, now) // ordered once more
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete, Duration: 24 * time.Second}, at(9), now)
	is.Equal(c.Preferences(pool, "session", now)("v2"), Preferred)
}

// TestStoppedReleaseIsKnownToHostsThatStartLater guards against a host that has not seen the cutover to a stopped release: it learns of
// it from the row of the next one, from another host, or from the row that the next order replaces.
func TestStoppedReleaseIsKnownToHostsThatStartLater(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	endCutover(c, Stopped, start)
	next := []Order{{Service: pool, To: nextRelease, Duration: 24 * time.Second}}

	fromRow := newCutovers()
	fromRow.ApplyRow(nextProgress(c, Running), at(3), start)
	is.Equal(fromRow.Preferences(pool, "session", start)("v2"), Never)

	fromEarlierRow := newCutovers()
	fromEarlierRow.SetOrders(next, start)
	fromEarlierRow.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, at(2), start)
	is.Equal(fromEarlierRow.Preferences(pool, "session", start)("v2"), Never)

	withoutPast := nextProgress(c, Running) // as hosts of earlier builds write it
	withoutPast.Past = Past{}
	fromHost := newCutovers()
	fromHost.SetOrders(next, start)
	fromHost.ApplyRow(withoutPast, at(3), start)
	is.Equal(fromHost.Preferences(pool, "session", start)("v2"), Preferred) // nothing has told it yet
	fromHost.ApplyRow(nextProgress(c, Running), at(3), start)               // another host's state of the same row
	is.Equal(fromHost.Preferences(pool, "session", start)("v2"), Never)
	fromHost.ApplyRow(withoutPast, at(4), start)
	is.Equal(fromHost.Preferences(pool, "session", start)("v2"), Never)
}

// TestUnfinishedReleaseKeepsOnlyItsSessions guards against sessions that move to a release whose trial the next order ended, and
// against sessions that it loses.
func TestUnfinishedReleaseKeepsOnlyItsSessions(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	now := start.Add(6 * time.Second)
	for _, release := range []lavid.ReleaseID{"v1", "v2"} {
		c.RecordSend(serverOf(release), "session on "+string(release), now)
		c.RecordEnd(serverOf(release), "session on "+string(release), now)
	}
	endCutover(c, Running, now)
	c.ApplyRow(nextProgress(c, Running), at(3), now)
	for session, want := range map[string][2]Preference{
		"session on v1": {Preferred, Never},
		"session on v2": {Fallback, Preferred},
		"new session":   {Preferred, Never},
	} {
		allowed := c.Preferences(pool, session, now.Add(time.Second))
		is.Equal([2]Preference{allowed("v1"), allowed("v2")}, want)
		is.Equal(allowed(nextRelease), Never)
	}
}

// TestDoubtfulUnfinishedReleaseTakesNothing guards against sessions that stay on a failing release because the next order came before
// the evidence sufficed to stop it.
func TestDoubtfulUnfinishedReleaseTakesNothing(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	for range 8 {
		c.Observe(serverOf("v1"), Outcome{Kind: "k"})
		c.Observe(serverOf("v2"), Outcome{Kind: "k", Failed: true})
	}
	endCutover(c, Running, start.Add(6*time.Second))
	is.Equal(c.rows[pool].progress.Past.state("v2"), Stopped)
}

// TestReleasesBeforeACompleteOneAreFallbacks guards against requests for servers that may end without notice, as their service has
// moved to another release, once the next one is ordered.
func TestReleasesBeforeACompleteOneAreFallbacks(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	now := start.Add(20 * time.Second)
	endCutover(c, Complete, now)
	allowed := c.Preferences(pool, "session", now)
	is.Equal(allowed("v2"), Preferred)
	is.Equal(allowed("v1"), Fallback)
	is.Equal(allowed(nextRelease), Never)
}

// TestStoppedReleaseIsNoMeasureOfTheNextOne guards against a bad release that is judged good beside the failures of the one before.
func TestStoppedReleaseIsNoMeasureOfTheNextOne(t *testing.T) {
	is := is.New(t)
	evidence := func(stopped bool) float64 {
		c := runningCutovers()
		endCutover(c, Stopped, start)
		if !stopped {
			c.rows[pool].progress.Past = Past{}
		}
		for i := range 20 {
			c.Observe(serverOf("v1"), Outcome{Kind: "k"})
			c.Observe(serverOf("v2"), Outcome{Kind: "k", Failed: true})
			c.Observe(serverOf(nextRelease), Outcome{Kind: "k", Failed: i%2 == 0})
		}
		return c.statistics.evidence(c.rows[pool].progress, c.settings.Test)
	}
	is.True(evidence(true) > 100)
	is.True(evidence(false) < 100)
}

// TestPastsConverge guards against hosts that keep different states of an earlier release, in whatever order they tell each other.
func TestPastsConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Past {
			var past Past
			for range rapid.IntRange(0, 6).Draw(t, "cutovers") {
				past = past.with(rapid.SampledFrom([]lavid.ReleaseID{"a", "b", "c", "d"}).Draw(t, "release"), rapid.SampledFrom([]State{Running, Complete, Stopped}).Draw(t, "state"))
			}
			return past
		})
		first, second := draw.Draw(t, "first"), draw.Draw(t, "second")
		one, other := first.Union(second), second.Union(first)
		for _, release := range []lavid.ReleaseID{"a", "b", "c", "d"} {
			if one.state(release) != other.state(release) || one.state(release).rank() < max(first.state(release).rank(), second.state(release).rank()) {
				t.Fatalf("%s: %q and %q", release, one.state(release), other.state(release))
			}
		}
		if one.Union(second) != one {
			t.Fatal("a past changes when it is told again")
		}
	})
}
