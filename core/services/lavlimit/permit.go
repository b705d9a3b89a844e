package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Permit is one admitted request; its owner ends it once with Done.
type Permit struct {
	limiter         *Limiter
	tokens          lavid.Tokens
	started         time.Time
	firstTokenAt    time.Time
	lastSampleAt    time.Time
	unsampledTokens int
	ended           bool
}

// tokensPerSample are averaged into one sample of the time between tokens.
const tokensPerSample = 8

// Token reports that output tokens arrived; the first call ends the wait for the first token.
func (p *Permit) RecordTokens(count int, now time.Time) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.firstTokenAt.IsZero() {
		p.firstTokenAt = now
		p.lastSampleAt = now
		delete(l.awaitingFirstToken, p)
		l.observeFirstToken(now.Sub(p.started), now)
		return
	}
	p.unsampledTokens += count
	if p.unsampledTokens < tokensPerSample {
		return
	}
	l.observeBetweenTokens(now.Sub(p.lastSampleAt)/time.Duration(p.unsampledTokens), now)
	p.unsampledTokens = 0
	p.lastSampleAt = now
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
	delete(l.awaitingFirstToken, p)
	l.running--
	l.runningTokens -= p.tokens
	switch {
	case outcome == Failed:
		l.observeFailure(now)
	case outcome == Succeeded && l.settings.plain():
		l.observeFirstToken(now.Sub(p.started), now)
	}
}
