package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Permit is one admitted request; its owner ends it once with Done.
type Permit struct {
	limiter *Limiter
	tokens  lavid.Tokens
	started time.Time
	first   time.Time
	last    time.Time
	pending int
	ended   bool
}

// pendingTokens are averaged into one sample of the time between tokens.
const pendingTokens = 8

// Token reports that output tokens arrived; the first call ends the wait for the first token.
func (p *Permit) Token(count int, now time.Time) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.first.IsZero() {
		p.first = now
		p.last = now
		delete(l.waiting, p)
		l.observeFirst(now.Sub(p.started), now)
		return
	}
	p.pending += count
	if p.pending < pendingTokens {
		return
	}
	l.observeBetween(now.Sub(p.last)/time.Duration(p.pending), now)
	p.pending = 0
	p.last = now
}

// Outcome is how a request ended at its backend server.
type Outcome int

// The outcomes that a limiter tells apart.
const (
	// Succeeded says that the server gave its whole answer.
	Succeeded Outcome = iota
	// Failed says that the server failed or did not answer in time.
	Failed
	// Cancelled says that nobody wanted the answer any more; it teaches nothing.
	Cancelled
)

// Done ends the permit; further calls change nothing.
func (p *Permit) Done(outcome Outcome, now time.Time) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	delete(l.waiting, p)
	l.running--
	l.inTokens -= p.tokens
	switch {
	case outcome == Failed:
		l.observeFailure(now)
	case outcome == Succeeded && l.settings.plain():
		l.observeFirst(now.Sub(p.started), now)
	}
}
