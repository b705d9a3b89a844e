package lavrate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
)

var start = time.Unix(1_000_000, 0)

func members(count int) []lavring.Member {
	list := make([]lavring.Member, 0, count)
	for i := range count {
		list = append(list, lavring.Member{ID: lavid.HostID(fmt.Sprint("host-", i))})
	}
	return list
}

// window is the time over which the requests to a server are counted, and overage and slack what it may get beyond its rate.
const (
	window  = 4 * time.Second
	overage = 1.5
	slack   = 5
)

// worstWindow returns the largest number of arrivals in some window.
func worstWindow(arrivals []time.Time) int {
	worst, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestAllHostsTogetherStayWithinTheRate guards against hosts that each use the whole rate of a server, while hosts come and go
// and have unequal traffic, and against a server that gets much less than it takes.
func TestAllHostsTogetherStayWithinTheRate(t *testing.T) {
	for _, count := range []int{1, 4, 6, 29, 68} {
		for _, rate := range []Rate{0, 0.3, 1, 1.2, 4, 15, 60} {
			t.Run(fmt.Sprintf("%d hosts, rate %v", count, rate), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(uint64(count), uint64(rate*10)))
				known := members(count)
				limiters := make([]*Limiter, count+1)
				for i := range limiters {
					limiters[i] = New(lavid.HostID(fmt.Sprint("host-", i)))
				}
				var arrivals []time.Time
				for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
					if now.Sub(start) == 10*time.Second {
						known = members(count + 1) // a host joins
					}
					// The first hosts have most of the traffic.
					i := min(int(random.ExpFloat64()*float64(len(known))/2), len(known)-1)
					if limiters[i].Allow(7, rate, known, now) {
						arrivals = append(arrivals, now)
					}
				}
				is.True(float64(worstWindow(arrivals)) <= overage*float64(rate)*window.Seconds()+slack)
				if rate >= 1 && rate <= 15 {
					is.True(float64(len(arrivals)) >= 0.5*float64(rate)*30)
				}
			})
		}
	}
}

// TestRateHoldsWhileHostsDisagree guards against a burst while only some hosts know of one that has joined or ended.
func TestRateHoldsWhileHostsDisagree(t *testing.T) {
	is := is.New(t)
	const rate = Rate(2)
	limiters := make([]*Limiter, 5)
	for i := range limiters {
		limiters[i] = New(lavid.HostID(fmt.Sprint("host-", i)))
	}
	for server := range lavserver.InstanceKey(50) {
		var arrivals []time.Time
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for i, limiter := range limiters {
				known := members(4)
				if i%2 == 0 && now.Sub(start) > 5*time.Second || now.Sub(start) > 6500*time.Millisecond {
					known = members(5)
				}
				if limiter.Allow(server, rate, known, now) {
					arrivals = append(arrivals, now)
				}
			}
		}
		is.True(float64(worstWindow(arrivals)) <= overage*float64(rate)*window.Seconds()+slack)
	}
}

// TestWouldAllowCountsNothing guards against a rate that is used up by looking for servers.
func TestWouldAllowCountsNothing(t *testing.T) {
	is := is.New(t)
	limiter := New("host-0")
	for range 3 {
		is.True(limiter.WouldAllow(7, 1, members(1), start))
	}
	is.True(limiter.Allow(7, 1, members(1), start))
	is.True(!limiter.WouldAllow(7, 1, members(1), start))
	is.True(!limiter.Allow(7, 1, members(1), start.Add(500*time.Millisecond)))
	is.True(limiter.Allow(7, 1, members(1), start.Add(1001*time.Millisecond)))
	is.True(limiter.Allow(8, 1, members(1), start)) // another server
}
