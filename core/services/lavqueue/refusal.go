package lavqueue

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Reason is the reason why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// QueueFull means that the queue has reached its bound of requests or tokens.
	QueueFull Reason = "QueueFull"
	// WaitTooLong means that the predicted wait leaves too little time before the deadline.
	WaitTooLong Reason = "WaitTooLong"
	// ShareExceeded means that the account already uses its share of a queue that is filling up.
	ShareExceeded Reason = "ShareExceeded"
)

// Refusal reports that a request was not queued and when a retry can succeed.
type Refusal struct {
	Reason Reason
	// PredictedWait is the wait at the measured drain rate; zero when the rate is unknown.
	PredictedWait time.Duration
	// RetryAfter includes a random jitter.
	RetryAfter time.Duration
}

// Error returns the reason and the time after which to retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request was not queued (%s); retry after %s", r.Reason, r.RetryAfter)
}

const (
	// reservedShare is the part of the queue that is kept for accounts that use less than their share.
	reservedShare = 0.5
	// minRetryAfter and maxRetryAfter bound the retry time in a refusal, before jitter.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retryJitter is the largest jitter of the retry time, relative to that time.
	retryJitter = 0.5
	// maxWaitShare is the part of the time to the deadline that a request may wait; the rest is left for serving it.
	maxWaitShare = 0.9
)

// checkAdmission returns the refusal of an item, or nil when it can be queued.
func (q *Queue) checkAdmission(item Item, now time.Time) *Refusal {
	wait := q.PredictWait(item, now)
	if reason, full := q.full(item); full {
		return q.refuse(reason, wait)
	}
	maxWait := time.Duration(maxWaitShare * float64(item.Deadline.Sub(now)))
	if wait > maxWait {
		return q.refuse(WaitTooLong, wait)
	}
	return nil
}

// full reports whether the queue has no place for the item, and why. Once the queue is filled to reservedShare, an account
// that already uses its share of it is refused, so that places remain for the other accounts.
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

// weightShare returns the account's weight divided by the weights of all waiting accounts. While no other account waits,
// it leaves a share for one more account of the same weight.
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

// PredictWait returns how long an item pushed now would wait at the measured drain rate, or zero when no rate is known.
func (q *Queue) PredictWait(item Item, now time.Time) time.Duration {
	rate := q.drain.rate(q.Len() == 0, now)
	if rate <= 0 || q.Len() == 0 {
		return 0
	}
	return time.Duration(float64(q.tokensAhead(item)) / rate * float64(time.Second))
}

// tokensAhead returns the tokens that would be served before the item.
func (q *Queue) tokensAhead(item Item) lavid.Tokens {
	probe := &Ticket{Item: item}
	last := q.virtualTime
	if flow, ok := q.accounts[item.Account]; ok {
		last = max(last, flow.lastFinish)
	}
	finish := last + probe.virtualService()
	return q.unreserved.tokensUpTo(finish) + q.reserved.tokensUpTo(finish)
}

// refuse returns a refusal whose retry time is the predicted wait within its bounds, plus jitter.
func (q *Queue) refuse(reason Reason, wait time.Duration) *Refusal {
	after := min(max(wait, minRetryAfter), maxRetryAfter)
	after += time.Duration(q.random.Float64() * retryJitter * float64(after))
	return &Refusal{Reason: reason, PredictedWait: wait, RetryAfter: after}
}
