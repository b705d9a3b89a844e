package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Permit represents one admitted request. Its owner calls Done when the request ends.
type Permit struct {
	limiter *Limiter
	tokens  lavid.Tokens
	started time.Time
	// firstTokenAt is zero until the first token has arrived.
	firstTokenAt time.Time
	// unsampledTokens is the number of tokens that have arrived since lastSampleAt.
	lastSampleAt    time.Time
	unsampledTokens int
	ended           bool
}

// tokensPerSample is the number of tokens over which one sample of the time between tokens is averaged.
const tokensPerSample = 8

// RecordTokens records that output tokens arrived. The first call measures the time to the first token.
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

// Outcome is the way in which a request ended at its backend server.
type Outcome int

// The outcomes of a request.
const (
	// Succeeded means that the server returned a complete answer.
	Succeeded Outcome = iota
	// Failed means that the server failed or did not answer in time.
	Failed
	// Cancelled means that the request ended for another reason, such as a cancellation; it does not affect the limit.
	Cancelled
)

// Done ends the permit. Only the first call has an effect.
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
