package lavretry

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// earnedPerFirstAttempt is the part of a retry attempt that each first attempt adds to its account's budget.
	earnedPerFirstAttempt = 0.1
	// maxRemaining bounds the budget of an account in attempts.
	maxRemaining = 20
	// refillRate, in attempts per second, lets accounts with little traffic retry.
	refillRate = 0.5
	// initialRemaining is the budget of a new account in attempts.
	initialRemaining = 5
	// firstBackoff and maxBackoff bound the upper limit of the pause before a retry.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// maxDoublings keeps the doubling of pauses from overflowing.
	maxDoublings = 6
	// idleExpiry is the time without use after which an account's budget is deleted.
	idleExpiry = 10 * time.Minute
)

// accountBudget is the number of retry attempts that an account had left at the time updatedAt.
type accountBudget struct {
	remaining float64
	updatedAt time.Time
}

// Budget holds the retry budgets of all client accounts at one entry host. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	accounts map[lavid.AccountID]accountBudget
}

// New returns a Budget in which every account starts with a few retry attempts.
func New() *Budget {
	return &Budget{accounts: make(map[lavid.AccountID]accountBudget)}
}

// RecordFirstAttempt adds to the account's budget for the first attempt of a request.
func (b *Budget) RecordFirstAttempt(id lavid.AccountID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.refilled(id, now)
	row.remaining = math.Min(row.remaining+earnedPerFirstAttempt, maxRemaining)
	b.accounts[id] = row
}

// Spend takes one retry attempt from the account's budget and reports whether the retry is allowed. It takes nothing when
// less than one attempt is left.
func (b *Budget) Spend(id lavid.AccountID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.refilled(id, now)
	allowed := row.remaining >= 1
	if allowed {
		row.remaining--
	}
	b.accounts[id] = row
	return allowed
}

// Remaining returns the retry attempts that an account has left; it includes a fraction of an attempt.
func (b *Budget) Remaining(id lavid.AccountID, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refilled(id, now).remaining
}

// Tick deletes the budgets of accounts that were not used for idleExpiry.
func (b *Budget) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, row := range b.accounts {
		if now.Sub(row.updatedAt) > idleExpiry {
			delete(b.accounts, id)
		}
	}
}

// refilled returns the account's budget including the refill since it was last updated.
func (b *Budget) refilled(id lavid.AccountID, now time.Time) accountBudget {
	row, ok := b.accounts[id]
	if !ok {
		return accountBudget{remaining: initialRemaining, updatedAt: now}
	}
	passed := math.Max(now.Sub(row.updatedAt).Seconds(), 0)
	row.remaining = math.Min(row.remaining+passed*refillRate, maxRemaining)
	row.updatedAt = now
	return row
}

// Refusal classifies why a side process did not accept an attempt.
type Refusal int

// The classes of refusals.
const (
	// Unreachable means that the side process did not answer.
	Unreachable Refusal = iota
	// Full means that the server has no capacity at present; the request is queued again.
	Full
	// StaleSender means that this host's data were out of date; the refusal corrects them.
	StaleSender
)

// SpendsBudget reports whether a retry after the refusal is taken from the budget.
func (r Refusal) SpendsBudget() bool {
	return r == Unreachable
}

// Backoff returns the pause before a retry, with full jitter; attempt counts the retries from zero, and random is in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	longest := min(firstBackoff<<min(attempt, maxDoublings), maxBackoff)
	return time.Duration(random * float64(longest))
}
