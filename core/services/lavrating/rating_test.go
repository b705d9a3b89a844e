package lavrating

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

func TestBreakerOpensOnFailuresAndProbesWithOneRating(t *testing.T) {
	is := is.New(t)
	breaker := NewBreaker(DefaultBreakerSettings())
	now := start
	tries := 0
	for breaker.CanCheck(now) {
		limit, ok := breaker.Start(now)
		is.True(ok)
		is.True(limit <= DefaultBreakerSettings().MaxWait)
		breaker.Finish(limit, true, now)
		tries++
		is.True(tries <= 10) // a rating service that is down is asked a few times only
	}
	now = now.Add(DefaultBreakerSettings().OpenTime)
	_, ok := breaker.Start(now)
	is.True(ok)
	_, second := breaker.Start(now)
	is.True(!second) // an open breaker lets one probe through at a time
	breaker.Finish(time.Millisecond, false, now)
	is.True(breaker.CanCheck(now))
}

func TestBreakerBoundsRunningRatings(t *testing.T) {
	is := is.New(t)
	breaker := NewBreaker(DefaultBreakerSettings())
	for range DefaultBreakerSettings().MaxRunning {
		_, ok := breaker.Start(start)
		is.True(ok)
	}
	is.True(!breaker.CanCheck(start))
}

func TestQueueStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := QueueSettings{MaxItems: 5, MaxBytes: 100, MaxAge: time.Minute, MaxTries: 3, RetryDelay: time.Second}
		queue := NewQueue(settings)
		now := start
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			queue.Put(Item{Answer: make([]byte, rapid.IntRange(0, 60).Draw(t, "size"))}, now)
			for _, item := range queue.Take(rapid.IntRange(0, 2).Draw(t, "limit"), now) {
				queue.Requeue(item, now)
			}
			dump := queue.Dump()
			if dump.Waiting > settings.MaxItems || dump.Bytes > settings.MaxBytes || dump.Bytes < 0 {
				t.Fatalf("queue out of bounds: %+v", dump)
			}
		}
		queue.Take(100, now.Add(time.Hour))
		if queue.Dump().Bytes != 0 {
			t.Fatalf("bytes left in an empty queue: %+v", queue.Dump())
		}
	})
}
