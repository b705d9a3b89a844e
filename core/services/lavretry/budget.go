package lavretry

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// earnShare is what a first attempt adds to its account's budget.
	earnShare = 0.1
	// maxSaved bounds the attempts that an account can save.
	maxSaved = 20
	// minRate in attempts per second lets accounts with little traffic retry.
	minRate = 0.5
	// firstSaved is what a new account starts with.
	firstSaved = 5
	// firstBackoff and longestBackoff bound the pause before an attempt.
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
	// shiftLimit keeps the doubling of pauses in range.
	shiftLimit = 6
	// forgetAge without use drops an account's row.
	forgetAge = 10 * time.Minute
)

type account struct {
	saved float64
	used  time.Time
}

// Budget holds the retry budgets of one entry host; it is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	rows map[lavid.AccountID]account
}

// New returns a budget in which every account starts with a few attempts.
func New() *Budget {
	return &Budget{rows: make(map[lavid.AccountID]account)}
}

// First reports the first attempt of a request.
func (b *Budget) First(id lavid.AccountID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(id, now)
	row.saved = math.Min(row.saved+earnShare, maxSaved)
	b.rows[id] = row
}

// Spend takes one further attempt from the account's budget, or returns false when there is none.
func (b *Budget) Spend(id lavid.AccountID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.row(id, now)
	allowed := row.saved >= 1
	if allowed {
		row.saved--
	}
	b.rows[id] = row
	return allowed
}

// Saved returns the further attempts that an account has left.
func (b *Budget) Saved(id lavid.AccountID, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.row(id, now).saved
}

// Tick forgets accounts that were not used for long.
func (b *Budget) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, row := range b.rows {
		if now.Sub(row.used) > forgetAge {
			delete(b.rows, id)
		}
	}
}

func (b *Budget) row(id lavid.AccountID, now time.Time) account {
	row, ok := b.rows[id]
	if !ok {
		return account{saved: firstSaved, used: now}
	}
	passed := math.Max(now.Sub(row.used).Seconds(), 0)
	row.saved = math.Min(row.saved+passed*minRate, maxSaved)
	row.used = now
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
	// Behind says that this host's knowledge was old and the refusal corrected it.
	Behind
)

// Costs tells whether a further attempt after the refusal is taken from the budget.
func (r Refusal) Costs() bool {
	return r == Unreachable
}

// Backoff returns the pause before a further attempt, with full jitter from random in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	longest := min(firstBackoff<<min(attempt, shiftLimit), longestBackoff)
	return time.Duration(random * float64(longest))
}
