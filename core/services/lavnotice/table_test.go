package lavnotice

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavserver"
)

const instance = lavserver.InstanceKey(7)

var start = time.Unix(1000, 0)

func TestInstanceThatLeavesNeverComesBack(t *testing.T) {
	is := is.New(t)
	table := New()
	is.True(table.RecordLeaving(instance, start))
	is.True(!table.RecordLeaving(instance, start.Add(time.Second)))
	is.True(table.Leaving(instance))
	is.True(!table.Leaving(instance + 1))
}

func TestLaterPauseDoesNotShortenAnEarlierOne(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordPause(instance, 3*time.Second, start)
	table.RecordPause(instance, time.Second, start.Add(time.Second))
	is.Equal(table.PausedUntil(instance), start.Add(3*time.Second))
	table.RecordPause(instance, 4*time.Second, start.Add(time.Second))
	is.Equal(table.PausedUntil(instance), start.Add(5*time.Second))
	table.RecordPause(instance, 2*MaxPause, start)
	is.Equal(table.PausedUntil(instance), start.Add(MaxPause))
}

func TestOtherHostsLearnOfNotices(t *testing.T) {
	is := is.New(t)
	first, second, third := New(), New(), New()
	first.RecordLeaving(instance, start)
	first.RecordPause(instance+1, 2*time.Second, start)
	second.Apply(first.Reports(start.Add(time.Second)), start.Add(time.Second))
	third.Apply(second.Reports(start.Add(time.Second)), start.Add(time.Second))
	is.True(third.Leaving(instance))
	is.Equal(third.AdvisedUntil(instance+1), start.Add(2*time.Second))
	is.True(third.PausedUntil(instance + 1).IsZero()) // only the host that was asked is bound
}

// TestNoticesEndAlthoughHostsRepeatThem guards against notices that hosts tell each other for ever, each way on the network
// taking some time.
func TestNoticesEndAlthoughHostsRepeatThem(t *testing.T) {
	is := is.New(t)
	first, second := New(), New()
	first.RecordLeaving(instance, start)
	first.RecordPause(instance, 2*time.Second, start)
	const delay = 20 * time.Millisecond
	now := start
	for now.Before(start.Add(tellTime + 5*time.Second)) {
		second.Apply(first.Reports(now), now.Add(delay))
		first.Apply(second.Reports(now.Add(delay)), now.Add(2*delay))
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(len(first.Reports(now)), 0)
	is.Equal(len(second.Reports(now)), 0)
	is.True(first.Leaving(instance) && second.Leaving(instance))
}

func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	for i := range maxReports + 10 {
		table.RecordLeaving(lavserver.InstanceKey(i), start)
	}
	reports := table.Reports(start)
	is.Equal(len(reports), maxReports)
	is.Equal(reports[0].Instance, lavserver.InstanceKey(10)) // the latest ones
}

func TestParsePause(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    time.Duration
		ok      bool
	}{
		{1.5, 1500 * time.Millisecond, true},
		{0, 0, false},
		{-1, 0, false},
		{math.NaN(), 0, false},
		{math.Inf(1), MaxPause, true},
		{1e300, MaxPause, true},
	} {
		is := is.New(t)
		pause, ok := ParsePause(test.seconds)
		is.Equal(pause, test.want)
		is.Equal(ok, test.ok)
	}
}

// TestNewestStatementOfALimitWins guards against hosts that bring back a limit, or its end, by telling each other of an earlier
// statement for ever.
func TestNewestStatementOfALimitWins(t *testing.T) {
	is := is.New(t)
	limit := Limit{Stated: true, Rate: 1.2}
	hosts := []*Table{New(), New(), New()}
	now := start
	exchange := func() {
		for range 10 {
			for _, from := range hosts {
				reports := from.Reports(now)
				now = now.Add(20 * time.Millisecond)
				for _, to := range hosts {
					if to != from {
						to.Apply(reports, now)
					}
				}
			}
		}
	}
	is.True(hosts[0].RecordLimit(instance, limit, now))
	is.True(!hosts[0].RecordLimit(instance, limit, now.Add(time.Millisecond)))
	exchange()
	is.Equal(hosts[2].Limit(instance), limit)
	is.True(hosts[1].RecordLimit(instance, Limit{}, now)) // another host gets an answer without a limit
	exchange()
	for _, host := range hosts {
		is.Equal(host.Limit(instance), Limit{})
	}
	is.True(!hosts[1].RecordLimit(instance, Limit{}, now))
	later := now.Add(limitTellTime)
	for _, host := range hosts {
		is.Equal(len(host.Reports(later)), 0)
	}
}

// TestLimitIsANumberOfAtLeastZero guards against a limit that cannot be read and stops all requests, or none.
func TestLimitIsANumberOfAtLeastZero(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{math.NaN(), math.Inf(1), -0.1} {
		_, ok := ParseLimit(rate)
		is.True(!ok)
	}
	limit, ok := ParseLimit(0)
	is.True(ok)
	is.Equal(limit, Limit{Stated: true})
}
