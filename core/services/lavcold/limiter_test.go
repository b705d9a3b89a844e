package lavcold

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

func members(count int) []lavring.Member {
	hosts := make([]lavring.Member, 0, count)
	for i := range count {
		hosts = append(hosts, lavring.Member{ID: lavid.HostID(fmt.Sprintf("host-%d", i))})
	}
	return hosts
}

// The hosts divide the rate without messages. Rounding or ranking differently at two hosts would exceed the rate of the
// server or waste a part of it.
func TestAllHostsTogetherStayWithinTheRate(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 3, 4, 24, 100} {
		hosts := members(count)
		now := time.Unix(1000, 0)
		sent := 0
		for _, host := range hosts {
			limiter := New(host.ID)
			for range 20 {
				is.Equal(limiter.WouldAllow("server", 8.8, hosts, now), limiter.Allow("server", 8.8, hosts, now))
			}
			sent += len(limiter.recent("server", now))
		}
		is.Equal(sent, 8) // the whole requests within the rate
	}
}

func TestRateHoldsInEachWindow(t *testing.T) {
	is := is.New(t)
	hosts := members(1)
	limiter := New(hosts[0].ID)
	start := time.Unix(1000, 0)
	is.True(limiter.Allow("server", 2, hosts, start))
	is.True(limiter.Allow("server", 2, hosts, start.Add(900*time.Millisecond)))
	is.True(!limiter.Allow("server", 2, hosts, start.Add(950*time.Millisecond)))
	is.True(limiter.Allow("server", 2, hosts, start.Add(1001*time.Millisecond)))
	is.True(!limiter.Allow("server", 2, hosts, start.Add(1002*time.Millisecond)))
}

func TestServersAreLimitedSeparately(t *testing.T) {
	is := is.New(t)
	hosts := members(1)
	limiter := New(hosts[0].ID)
	now := time.Unix(1000, 0)
	is.True(limiter.Allow("a", 1, hosts, now))
	is.True(limiter.Allow("b", 1, hosts, now))
	is.True(!limiter.Allow("a", 1, hosts, now))
}
