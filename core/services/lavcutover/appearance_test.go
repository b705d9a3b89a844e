package lavcutover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavserver"
)

// TestReleaseThatAppearsTakesNoSessionsBeforeItsOrder guards against sessions that move to new servers which are listed before the order
// that moves the service to them: they would change their release once more, or be part of a trial that is far too large.
func TestReleaseThatAppearsTakesNoSessionsBeforeItsOrder(t *testing.T) {
	is := is.New(t)
	older, newer := serverOf("v1"), serverOf("v2")
	c := newCutovers()
	c.SetListing([]lavserver.Server{older}, true, start)
	c.SetListing([]lavserver.Server{older, newer}, false, start.Add(time.Minute))
	seen := start.Add(time.Minute)
	preferences := func(after time.Duration, session string) [2]Preference {
		allowed := c.Preferences(pool, session, seen.Add(after))
		return [2]Preference{allowed("v1"), allowed("v2")}
	}
	is.Equal(preferences(time.Second, "session"), [2]Preference{Preferred, Fallback})
	c.RecordSend(newer, "session on v2", seen.Add(time.Second)) // nothing else could serve it
	is.Equal(preferences(2*time.Second, "session on v2"), [2]Preference{Preferred, Preferred})
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, seen.Add(3*time.Second))
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Running, Began: 63 * time.Second, Duration: 24 * time.Second}, at(1), seen.Add(3*time.Second))
	is.Equal(preferences(4*time.Second, "session"), [2]Preference{Preferred, Never})
	is.Equal(preferences(20*time.Second, trialSessions(1)[0]), [2]Preference{Fallback, Preferred})
}

// TestReleaseWithoutAnOrderServes guards against servers that are replaced by those of another release without an order, and whose
// successors take no work.
func TestReleaseWithoutAnOrderServes(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	c.SetListing([]lavserver.Server{serverOf("v1"), serverOf("v2")}, true, start) // the host starts
	is.Equal(c.Preferences(pool, "session", start)("v2"), Preferred)
	c.SetListing([]lavserver.Server{serverOf("v1"), serverOf("v3")}, false, start.Add(time.Second))
	is.Equal(c.Preferences(pool, "session", start.Add(2*time.Second))("v3"), Fallback)
	is.Equal(c.Preferences(pool, "session", start.Add(6*time.Second))("v3"), Preferred)
	c.SetListing([]lavserver.Server{serverOf("v3")}, false, start.Add(7*time.Second))
	c.SetListing([]lavserver.Server{serverOf("v1"), serverOf("v3")}, false, start.Add(8*time.Second)) // it was missing for a moment
	is.Equal(c.Preferences(pool, "session", start.Add(8*time.Second))("v1"), Preferred)
}
