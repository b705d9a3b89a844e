package lavretry

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// earnedPerFirstAttempt is what a first attempt adds to its account's budget.
	earnedPerFirstAttempt = 0.1
	// maxRemaining bounds the attempts that an account can save.
	maxRemaining = 20
	// refillRate in attempts per second lets accounts with little traffic retry.
	refillRate = 0.5
	// initialRemaining is what a new account starts with.
	initialRemaining = 5
	// firstBackoff and longestBackoff bound the pause before an attempt.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// maxDoublings keeps the doubling of pauses in range.
	maxDoublings = 6
	// idleExpiry without use drops an account's row.
	idleExpiry = 10 * time.Minute
)

type accountBudget struct {
	remaining float64
	updatedAt time.Time
}

// Budget holds the retry budgets of one entry host; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	accounts map[lavid.AccountID]accountBudget
}

// New returns a budget in which every account starts with a few attempts.
func New() *Budget {
	return &Budget{accounts: make(map[lavid.AccountID]accountBudget)}
}

// RecordFirstAttempt reports the first attempt of a request.
func (b *Budget) RecordFirstAttempt(id lavid.AccountID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.refilled(id, now)
	row.remaining = math.Min(row.remaining+earnedPerFirstAttempt, maxRemaining)
	b.accounts[id] = row
}

// Spend takes one further attempt from the account's budget, or returns false when there is none.
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

// Remaining returns the further attempts that an account has left.
func (b *Budget) Remaining(id lavid.AccountID, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refilled(id, now).remaining
}

// Tick forgets accounts that were not used for long.
func (b *Budget) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, row := range b.accounts {
		if now.Sub(row.updatedAt) > idleExpiry {
			delete(b.accounts, id)
		}
	}
}

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

// Refusal is why a side process did not take an attempt, as far as retries tell reasons apart.
type Refusal int

// The reasons that change what a further attempt costs.
const (
	// Unreachable says that nothing answered.
	Unreachable Refusal = iota
	// Full says that the server has no room now; the request queues again.
	Full
	// StaleSender says that this host's knowledge was old and the refusal corrected it.
	StaleSender
)

// SpendsBudget tells whether a further attempt after the refusal is taken from the budget.
func (r Refusal) SpendsBudget() bool {
	return r == Unreachable
}

// Backoff returns the pause before a further attempt, with full jitter from random in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	longest := min(firstBackoff<<min(attempt, maxDoublings), maxBackoff)
	return time.Duration(random * float64(longest))
}
