package lavcutover

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartedHostMovesAllTrafficNoEarlier guards against a host that starts during a cutover and moves all traffic to the release on
// trial too early: it has counted the sends for a part of the time only, so that what is still to come seemed far too little.
func TestStartedHostMovesAllTrafficNoEarlier(t *testing.T) {
	const perSecond = 25
	movedAt := func(started time.Duration) time.Duration {
		c := newCutovers()
		c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start.Add(started))
		c.ApplyRow(Progress{Service: pool, To: "v2", State: Running, Duration: 24 * time.Second}, at(1), start.Add(started))
		for count := 0; ; count++ {
			after := started + time.Duration(count)*time.Second/perSecond
			release := serverOf("v1")
			if count%20 == 0 {
				release = serverOf("v2")
			}
			c.RecordSend(release, fmt.Sprint(count), start.Add(after))
			c.RecordEnd(release, fmt.Sprint(count), start.Add(after))
			c.Tick(firstRank, busy, start.Add(after))
			if after > 24*time.Second || c.rows[pool].takesAll {
				return after
			}
		}
	}
	is := is.New(t)
	usual := movedAt(0)
	is.True(usual > 20*time.Second)
	for _, started := range []time.Duration{3, 8, 13, 16, 19} {
		moved := movedAt(started * time.Second)
		is.True(moved >= usual-200*time.Millisecond)
		is.True(moved <= 24*time.Second) // not so late that it cannot complete
	}
}

// TestEarlierSendsAreEstimated guards against sends before the start of a host that count as none.
func TestEarlierSendsAreEstimated(t *testing.T) {
	is := is.New(t)
	counts := exposureCounts{Sent: 100, Exposed: 2, Counted: 5 * time.Second}
	is.Equal(counts.extrapolate(5*time.Second, trialShare), counts)
	is.Equal(counts.extrapolate(10*time.Second, trialShare), exposureCounts{Sent: 200, Exposed: 12, Counted: 10 * time.Second})
	counts.Exposed = 20 // more than planned
	is.Equal(counts.extrapolate(10*time.Second, trialShare), exposureCounts{Sent: 200, Exposed: 40, Counted: 10 * time.Second})
}
