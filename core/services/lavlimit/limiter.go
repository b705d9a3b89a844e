package lavlimit

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// reservedShare is the part of the limit that is reserved for client accounts within their share.
	reservedShare = 0.1
	// minReservedLimit is the lowest limit of which a part is reserved.
	minReservedLimit = 8
)

// Phase is the way in which the limit grows.
type Phase string

// The phases of a limit.
const (
	// SlowStart raises the limit by half in each window while the latency is well below its target.
	SlowStart Phase = "SlowStart"
	// Steady raises the limit in small steps.
	Steady Phase = "Steady"
)

// Limiter holds the limits of one backend server and the work in progress there. It is safe for concurrent use.
type Limiter struct {
	mu                 sync.Mutex
	settings           Settings
	phase              Phase
	limit              float64
	tokenLimit         float64
	running            int
	runningTokens      lavid.Tokens
	awaitingFirstToken map[*Permit]struct{}
	window             window
	baseline           baseline
	collapses          int
}

// New returns a limiter for a server that has just started.
func New(settings Settings, now time.Time) *Limiter {
	limiter := &Limiter{settings: settings, awaitingFirstToken: make(map[*Permit]struct{})}
	limiter.restart(now)
	return limiter
}

// Admit returns a permit for a request of an estimated size in tokens, or false when the limit is reached. A request is
// always admitted while no other is in progress, whatever its size.
func (l *Limiter) Admit(tokens lavid.Tokens, now time.Time) (*Permit, bool) {
	return l.admit(tokens, false, now)
}

// AdmitReserved admits like Admit, and may also use the capacity that is reserved for client accounts within their share.
func (l *Limiter) AdmitReserved(tokens lavid.Tokens, now time.Time) (*Permit, bool) {
	return l.admit(tokens, true, now)
}

func (l *Limiter) admit(tokens lavid.Tokens, reserved bool, now time.Time) (*Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running > 0 && !l.fits(tokens, reserved) {
		l.window.refused = true
		return nil, false
	}
	l.running++
	l.runningTokens += tokens
	l.window.recordUse(l.running, l.runningTokens)
	permit := &Permit{limiter: l, tokens: tokens, started: now}
	l.awaitingFirstToken[permit] = struct{}{}
	return permit, true
}

func (l *Limiter) fits(tokens lavid.Tokens, reserved bool) bool {
	runningLimit := UsableLimit(int(l.limit), reserved)
	tokenLimit := UsableLimit(int(l.tokenLimit), reserved)
	return l.running < runningLimit && l.runningTokens+tokens <= lavid.Tokens(tokenLimit)
}

// UsableLimit returns how much of a limit a request may use. With reserved it is the whole limit.
func UsableLimit(limit int, reserved bool) int {
	if reserved || limit < minReservedLimit {
		return limit
	}
	return limit - int(math.Ceil(reservedShare*float64(limit)))
}

// Restart returns the limit to its start value, as after a load order or a restart of the server.
func (l *Limiter) Restart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart(now)
}

// restart resets the limits, the baseline and the window. The requests in progress stay counted.
func (l *Limiter) restart(now time.Time) {
	l.phase = SlowStart
	l.limit = float64(max(l.settings.StartRunning, 1))
	l.tokenLimit = float64(max(l.settings.StartTokens, 1))
	l.baseline = baseline{}
	l.window = window{started: now}
}

// SetMaxRunning sets the largest limit of concurrent requests, which the configuration states.
func (l *Limiter) SetMaxRunning(running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings.MaxRunning = max(running, 1)
	l.limit = math.Min(l.limit, float64(l.settings.MaxRunning))
}

// Snapshot is the state of a limiter for dumps and load reports.
type Snapshot struct {
	Phase         Phase
	Running       int
	RunningTokens lavid.Tokens
	Limit         int
	LimitTokens   lavid.Tokens
	// FirstToken and BetweenTokens are moving averages of the latencies of recent answers.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Collapses counts how often the limit returned to its start value because the server was cold or failed.
	Collapses int
	// Cold reports whether the limit is in slow start.
	Cold bool
}

// Snapshot returns the current state.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{
		Phase:         l.phase,
		Running:       l.running,
		RunningTokens: l.runningTokens,
		Limit:         int(l.limit),
		LimitTokens:   lavid.Tokens(l.tokenLimit),
		FirstToken:    l.baseline.firstToken.value,
		BetweenTokens: l.baseline.betweenTokens.value,
		Collapses:     l.collapses,
		Cold:          l.phase == SlowStart,
	}
}

// Limit returns the number of requests that may be in progress now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
