package lavlimit

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// reserveShare of the limit is kept for client accounts within their part.
	reserveShare = 0.1
	// reserveFrom is the least limit of which a part is kept.
	reserveFrom = 8
)

// Phase is how the limit moves.
type Phase string

// The phases of a limit.
const (
	// SlowStart raises the limit by half while the server answers well.
	SlowStart Phase = "SlowStart"
	// Steady moves the limit by small steps.
	Steady Phase = "Steady"
)

// Limiter holds the limit of one backend server and the work in progress; it is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	settings Settings
	phase    Phase
	limit    float64
	tokens   float64
	running  int
	inTokens lavid.Tokens
	waiting  map[*Permit]struct{}
	window   window
	baseline baseline
	collapse int
}

// New returns a limiter for a server that has just started.
func New(settings Settings, now time.Time) *Limiter {
	limiter := &Limiter{settings: settings, waiting: make(map[*Permit]struct{})}
	limiter.restart(now)
	return limiter
}

// Admit takes a request of an estimated size, or returns false when the server can't bear it now.
func (l *Limiter) Admit(tokens lavid.Tokens, now time.Time) (*Permit, bool) {
	return l.admit(tokens, false, now)
}

// AdmitReserved is Admit with the room that is kept for client accounts within their part.
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
	l.inTokens += tokens
	l.window.use(l.running, l.inTokens)
	permit := &Permit{limiter: l, tokens: tokens, started: now}
	l.waiting[permit] = struct{}{}
	return permit, true
}

func (l *Limiter) fits(tokens lavid.Tokens, reserved bool) bool {
	running := Usable(int(l.limit), reserved)
	size := Usable(int(l.tokens), reserved)
	return l.running < running && l.inTokens+tokens <= lavid.Tokens(size)
}

// Usable returns the part of a limit that a request may use; the rest is reserved.
func Usable(limit int, reserved bool) int {
	if reserved || limit < reserveFrom {
		return limit
	}
	return limit - int(math.Ceil(reserveShare*float64(limit)))
}

// Restart returns to the start of a cold server, as after a load order or a restart of the server.
func (l *Limiter) Restart(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart(now)
}

func (l *Limiter) restart(now time.Time) {
	l.phase = SlowStart
	l.limit = float64(max(l.settings.StartRunning, 1))
	l.tokens = float64(max(l.settings.StartTokens, 1))
	l.baseline = baseline{}
	l.window = window{started: now}
}

// SetMaxRunning changes the bound that the configuration states.
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
	// FirstToken and BetweenTokens are smoothed over recent answers.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Collapses counts the times that the server was found cold.
	Collapses int
	Cold      bool
}

// Snapshot returns the present state.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{
		Phase:         l.phase,
		Running:       l.running,
		RunningTokens: l.inTokens,
		Limit:         int(l.limit),
		LimitTokens:   lavid.Tokens(l.tokens),
		FirstToken:    l.baseline.first.value,
		BetweenTokens: l.baseline.between.value,
		Collapses:     l.collapse,
		Cold:          l.phase == SlowStart,
	}
}

// Limit returns the requests that may be in progress now.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
