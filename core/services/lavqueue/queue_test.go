package lavqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueue(requests int) *Queue {
	return New(Settings{MaxRequests: requests, MaxTokens: 1 << 40}, rand.New(rand.NewPCG(1, 1)), start)
}

func item(account string, weight float64, deadline time.Duration) Item {
	return Item{Account: lavid.AccountID(account), Weight: weight, Tokens: 100, Deadline: start.Add(deadline)}
}

func mustPush(t *testing.T, q *Queue, item Item) {
	t.Helper()
	if _, refusal := q.Push(item, start); refusal != nil {
		t.Fatal(refusal)
	}
}

func TestAccountsAreServedInProportionToWeight(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	for range 100 {
		mustPush(t, q, item("large", 1, time.Hour))
		mustPush(t, q, item("heavy", 3, time.Hour))
	}
	served := map[lavid.AccountID]int{}
	for range 80 {
		ticket, _ := q.Pop(FreeCapacity, start)
		served[ticket.Account]++
	}
	is.Equal(served["large"], 20)
	is.Equal(served["heavy"], 60)
}

// A client account with one request must not wait behind the whole backlog of another account.
func TestNewAccountIsServedAheadOfAnotherAccountsBacklog(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	for range 100 {
		mustPush(t, q, item("large", 1, time.Hour))
	}
	mustPush(t, q, item("small", 1, time.Hour))
	first, _ := q.Pop(FreeCapacity, start)
	second, _ := q.Pop(FreeCapacity, start)
	is.True(first.Account == "small" || second.Account == "small")
}

func TestReservedCapacityServesOnlyAccountsWithinTheirShare(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	for range 100 {
		mustPush(t, q, item("large", 1, time.Hour))
	}
	for range 30 {
		q.Pop(FreeCapacity, start)
	}
	mustPush(t, q, item("large", 1, time.Hour))
	mustPush(t, q, item("small", 1, time.Hour))
	ticket, _ := q.Pop(ReservedCapacity, start)
	is.Equal(ticket.Account, lavid.AccountID("small"))
	_, ok := q.Pop(ReservedCapacity, start)
	is.True(!ok)
	_, ok = q.Pop(NoCapacity, start)
	is.True(!ok)
}

func TestRequeuedTicketKeepsItsPosition(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	mustPush(t, q, item("a", 1, time.Hour))
	mustPush(t, q, item("a", 1, time.Hour))
	first, _ := q.Pop(FreeCapacity, start)
	q.Requeue(first)
	again, _ := q.Pop(FreeCapacity, start)
	is.Equal(again, first)
	is.Equal(q.Len(), 1)
}

func TestRequestThatWouldWaitPastItsDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	for range 50 {
		mustPush(t, q, item("a", 1, time.Hour))
	}
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		ticket, _ := q.Pop(FreeCapacity, now)
		q.RecordDrained(ticket.Tokens, now)
	}
	_, refusal := q.Push(Item{Account: "a", Tokens: 100, Deadline: now.Add(2 * time.Second)}, now)
	is.Equal(refusal.Reason, WaitTooLong)
	is.True(refusal.RetryAfter >= 5*time.Second)
	is.True(refusal.RetryAfter <= 10*time.Second)
	_, refusal = q.Push(Item{Account: "b", Tokens: 100, Deadline: now.Add(2 * time.Second)}, now)
	is.Equal(refusal, nil)
}

func TestOneAccountCannotFillTheQueue(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	var refused *Refusal
	for refused == nil {
		_, refused = q.Push(item("large", 1, time.Hour), start)
	}
	is.Equal(refused.Reason, ShareExceeded)
	_, refused = q.Push(item("small", 1, time.Hour), start)
	is.Equal(refused, nil)
}

// While the queue is empty, few tokens leave it. Taking that as the speed of the backend servers would predict long waits
// and refuse requests at the start of the next busy period.
func TestLowDemandDoesNotLowerTheDrainRate(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	now := start
	for range 50 {
		q.RecordDrained(100, now)
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(time.Minute)
	is.True(q.drain.rate(true, now) > 900)
}

// A ticket that is lost leaves its caller without an answer; one that leaves twice is dispatched twice. Random sequences of
// Push, Pop and Expire must return each ticket exactly once.
func TestEveryTicketLeavesOnceByPopOrExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(30)
		now := start
		open := map[*Ticket]bool{}
		leave := func(ticket *Ticket) {
			if !open[ticket] {
				t.Fatal("ticket left twice or was never queued")
			}
			delete(open, ticket)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			account := rapid.SampledFrom([]lavid.AccountID{"a", "b", "c"}).Draw(t, "account")
			deadline := now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond)
			if ticket, refusal := q.Push(Item{Account: account, Tokens: 10, Deadline: deadline}, now); refusal == nil {
				open[ticket] = true
			}
			if rapid.Bool().Draw(t, "pop") {
				if ticket, ok := q.Pop(FreeCapacity, now); ok {
					leave(ticket)
					q.RecordDrained(ticket.Tokens, now)
				}
			}
			for _, ticket := range q.Expire(now) {
				leave(ticket)
			}
		}
		if q.Len() != len(open) || (q.Len() == 0) != (q.tokens == 0) {
			t.Fatalf("queue holds %d tickets, but %d were pushed and have not left", q.Len(), len(open))
		}
	})
}
