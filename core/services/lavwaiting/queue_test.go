package lavwaiting

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
)

var start = time.Unix(1000, 0)

// newItem returns a request that is late after two seconds and whose caller leaves after ten.
func newItem(account lavid.AccountID, urgency int, work float64) *Item {
	return &Item{Account: account, Urgency: urgency, Work: work, Target: start.Add(2 * time.Second), Deadline: start.Add(10 * time.Second)}
}

func TestUrgentRequestsGoFirstAndLateOnesLast(t *testing.T) {
	is := is.New(t)
	q := New()
	patient, urgent, late := newItem("a", 2, 1), newItem("a", 0, 1), newItem("a", 0, 1)
	late.Target = start.Add(-time.Millisecond)
	for _, item := range []*Item{late, patient, urgent} {
		is.True(q.Add(item, start))
	}
	is.Equal(q.Ordered(start), []*Item{urgent, patient, late})
}

// TestLargeAccountDoesNotDelayOthers answers the pattern of one client account at many times its usual load.
func TestLargeAccountDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := New()
	for range 60 {
		is.True(q.Add(newItem("large", 1, 100), start))
	}
	for range 5 {
		is.True(q.Add(newItem("small", 1, 100), start))
	}
	released := 0
	for range 10 {
		item := q.Ordered(start)[0]
		if item.Account == "small" {
			released++
		}
		q.Release(item, start)
	}
	is.Equal(released, 5)
}

func TestWaitingIsBounded(t *testing.T) {
	is := is.New(t)
	q := New()
	for range maxItems {
		is.True(q.Add(newItem("a", 0, 1), start))
	}
	is.True(!q.Add(newItem("a", 0, 1), start))
	q = New()
	big := newItem("a", 0, 1)
	big.Bytes = maxBytes
	is.True(q.Add(big, start))
	small := newItem("a", 0, 1)
	small.Bytes = 1
	is.True(!q.Add(small, start))
	q.Remove(big)
	is.True(q.Add(small, start)) // a caller that leaves frees its place
}

// TestRequestWithoutATurnIsRefusedEarly guards against requests that are held until their deadline although their turn
// cannot come.
func TestRequestWithoutATurnIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	q := New()
	for range 50 {
		is.True(q.Add(newItem("a", 0, 100), start))
	}
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		q.Release(q.Ordered(now)[0], now) // 1,000 units of work a second
	}
	is.Equal(len(q.Hopeless(now)), 0) // 30 are left, for three seconds
	for range 200 {
		is.True(q.Add(newItem("a", 0, 100), now))
	}
	hopeless := q.Hopeless(now)
	is.True(len(hopeless) > 100) // eight seconds are left, for 80 requests
	is.True(len(hopeless) < 190)
	is.True(q.ReturnAfter(hopeless[0], now) > 6*time.Second)
}

// TestOvertakenRequestIsRefusedAtOnce answers the pattern of a long overload in which more arrives than engines can take: a
// request that has become late is overtaken by all that arrive in time, and waits in vain until its caller leaves. It may not
// be refused while less arrives than is released.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration // between two arrivals; 1,000 units of work a second are released
		refused  bool
	}{
		{"twice what is released", 50 * time.Millisecond, true},
		{"half of what is released", 200 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := New()
			late := newItem("a", 0, 100)
			late.Target = start.Add(-time.Millisecond)
			is.True(q.Add(late, start))
			for range 30 {
				is.True(q.Add(newItem("a", 0, 100), start)) // waits since the overload began
			}
			const step = 10 * time.Millisecond
			for at := step; at <= 2500*time.Millisecond; at += step {
				now := start.Add(at)
				if at%test.interval == 0 {
					item := newItem("b", 0, 100)
					item.Target, item.Deadline = now.Add(time.Second), now.Add(10*time.Second)
					is.True(q.Add(item, now))
				}
				if at%(100*time.Millisecond) == 0 {
					q.Release(q.Ordered(now)[0], now)
				}
			}
			is.Equal(slices.Contains(q.Hopeless(start.Add(2500*time.Millisecond)), late), test.refused)
		})
	}
}

// TestNextRequestIsNotRefusedAfterABurst guards against the refusal of a late request whose turn has come, because more arrived
// than was released until a moment ago.
func TestNextRequestIsNotRefusedAfterABurst(t *testing.T) {
	is := is.New(t)
	q := New()
	late := newItem("a", 0, 100)
	late.Target = start.Add(-time.Millisecond)
	is.True(q.Add(late, start))
	var others []*Item
	for i := range 40 { // 2,000 units of work a second arrive, and half of them are released
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		others = append(others, newItem("b", 0, 100))
		is.True(q.Add(others[i], now))
		if i%2 == 1 {
			q.Release(others[i/2], now)
		}
	}
	end := start.Add(2 * time.Second)
	is.True(slices.Contains(q.Hopeless(end), late))
	for _, item := range others[20:] {
		q.Remove(item)
	}
	is.Equal(q.Hopeless(end), nil)
}

func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	q := New()
	item := newItem("a", 0, 1)
	is.True(q.Add(item, start))
	is.Equal(len(q.Hopeless(item.Deadline.Add(-time.Millisecond))), 0)
	is.Equal(q.Hopeless(item.Deadline), []*Item{item})
}

// TestEachRequestLeavesOnce draws additions, releases and removals. No request is lost, released twice or kept after it
// left, and none is passed by more work of one other account than its own place allows.
func TestEachRequestLeavesOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), start
		waiting := make(map[*Item]bool)
		bytes := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			ordered := q.Ordered(now)
			if len(ordered) != len(waiting) || q.Len() != len(waiting) || q.bytes != bytes {
				t.Fatalf("%d requests of %d bytes are ordered, %d of %d wait", len(ordered), q.bytes, len(waiting), bytes)
			}
			for _, item := range ordered {
				if !waiting[item] {
					t.Fatal("a request that left still waits")
				}
			}
			action := rapid.SampledFrom([]string{"add", "add", "release", "remove"}).Draw(t, "action")
			if action == "add" || len(ordered) == 0 {
				item := newItem(lavid.AccountID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))), rapid.IntRange(0, 2).Draw(t, "urgency"), float64(rapid.IntRange(1, 100).Draw(t, "work")))
				item.Bytes = rapid.IntRange(0, 1000).Draw(t, "bytes")
				if q.Add(item, now) {
					waiting[item] = true
					bytes += item.Bytes
				}
				continue
			}
			item := ordered[0]
			if action == "remove" {
				item = ordered[rapid.IntRange(0, len(ordered)-1).Draw(t, "position")]
				q.Remove(item)
			} else {
				q.Release(item, now)
			}
			delete(waiting, item)
			bytes -= item.Bytes
		}
	})
}

func TestAllowanceLeavesRoomForMoreUrgentKinds(t *testing.T) {
	is := is.New(t)
	targets := NewTargets()
	targets.Record("brief", 1, 3*time.Second, start)
	is.Equal(targets.Allowance(1, 3*time.Second, start), 2250*time.Millisecond)
	targets.Record("answer", 0, time.Second, start)
	is.Equal(targets.Allowance(1, 3*time.Second, start), 500*time.Millisecond)
	is.Equal(targets.Allowance(0, time.Second, start), 750*time.Millisecond)
	is.Equal(targets.Allowance(1, 3*time.Second, start.Add(time.Minute)), 2250*time.Millisecond) // no urgent request for long
}

// TestRefusedCallersReturnInOrderAtTheRateOfTheHost answers the pattern of many callers that are refused at once: those that
// obey come back in the order in which they were refused, as many at a time as can be served.
func TestRefusedCallersReturnInOrderAtTheRateOfTheHost(t *testing.T) {
	is := is.New(t)
	const callers, work, rate = 10_000, 100.0, 50_000.0
	q := New()
	is.True(q.Add(newItem("a", 0, work), start))
	now := start
	for now.Sub(start) < 10*time.Second { // the host releases 500 requests a second, while one more always waits
		now = now.Add(2 * time.Millisecond)
		is.True(q.Add(newItem("a", 0, work), now))
		q.Release(q.Ordered(now)[0], now)
	}
	measured, known := q.rate(now)
	is.True(known)
	is.True(measured > 0.9*rate && measured < 1.1*rate)
	perSecond := make(map[int]int)
	last := time.Duration(-1)
	for range callers {
		after := q.ReturnAfter(newItem("a", 0, work), now)
		is.True(after > last)
		last = after
		perSecond[int(after/time.Second)]++
	}
	is.True(last > 18*time.Second && last < 22*time.Second)
	for second, count := range perSecond {
		if second < int(last/time.Second) {
			is.True(count > 440 && count < 560)
		}
	}
	is.Equal(q.ReturnAfter(newItem("a", 0, work), now.Add(time.Hour)), time.Duration(work/measured*float64(time.Second))) // only the one that waits is before it
}
