package lavqueue

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// QueueFull says that the bounds of the queue are reached.
	QueueFull Reason = "QueueFull"
	// WaitTooLong says that the request would wait past its deadline.
	WaitTooLong Reason = "WaitTooLong"
	// ShareExceeded says that the account fills its part of a full queue.
	ShareExceeded Reason = "ShareExceeded"
)

// Refusal says that a request did not run and when a retry can succeed.
type Refusal struct {
	Reason        Reason
	PredictedWait time.Duration
	RetryAfter    time.Duration
}

// Error states the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request was not queued (%s); retry after %s", r.Reason, r.RetryAfter)
}

const (
	// reservedShare of the queue is kept for accounts that use less than their part.
	reservedShare = 0.5
	// minRetryAfter and maxRetryAfter bound the time stated in a refusal.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retryJitter is the relative spread of the time stated in refusals.
	retryJitter = 0.5
	// maxWaitShare of the time to the deadline has to be left for the service itself.
	maxWaitShare = 0.9
)

func (q *Queue) checkAdmission(item Item, now time.Time) *Refusal {
	wait := q.PredictWait(item, now)
	if reason, full := q.full(item); full {
		return q.refuse(reason, wait)
	}
	left := time.Duration(maxWaitShare * float64(item.Deadline.Sub(now)))
	if wait > left {
		return q.refuse(WaitTooLong, wait)
	}
	return nil
}

// full reserves a part of the queue for accounts that wait with less than their part.
func (q *Queue) full(item Item) (Reason, bool) {
	if q.Len() >= q.settings.MaxRequests || q.tokens+item.Tokens > q.settings.MaxTokens && q.Len() > 0 {
		return QueueFull, true
	}
	flow, ok := q.accounts[item.Account]
	if !ok || float64(q.Len()) < reservedShare*float64(q.settings.MaxRequests) {
		return "", false
	}
	maxWaiting := q.weightShare(item) * float64(q.settings.MaxRequests)
	return ShareExceeded, float64(flow.waiting) >= maxWaiting
}

// weightShare is the account's weight among the accounts that wait, with one more that may come.
func (q *Queue) weightShare(item Item) float64 {
	weight := (&Ticket{Item: item}).weight()
	sum := weight
	for account, flow := range q.accounts {
		if account != item.Account && flow.waiting > 0 {
			sum += flow.weight
		}
	}
	if len(q.accounts) <= 1 {
		sum += weight
	}
	return weight / sum
}

// PredictWait returns how long an item pushed now would wait, from the measured drain rate.
func (q *Queue) PredictWait(item Item, now time.Time) time.Duration {
	rate := q.drain.rate(q.Len() == 0, now)
	if rate <= 0 || q.Len() == 0 {
		return 0
	}
	return time.Duration(float64(q.tokensAhead(item)) / rate * float64(time.Second))
}

// tokensAhead sums the tokens that are served before the item.
func (q *Queue) tokensAhead(item Item) lavid.Tokens {
	probe := &Ticket{Item: item}
	last := q.virtualTime
	if flow, ok := q.accounts[item.Account]; ok {
		last = max(last, flow.lastFinish)
	}
	finish := last + probe.virtualService()
	return q.unreserved.tokensUpTo(finish) + q.reserved.tokensUpTo(finish)
}

func (q *Queue) refuse(reason Reason, wait time.Duration) *Refusal {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after += time.Duration(q.random.Float64() * retryJitter * float64(after))
	return &Refusal{Reason: reason, PredictedWait: wait, RetryAfter: after}
}
