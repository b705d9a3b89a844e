package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 250 * time.Millisecond

// Targets are the latencies that a model engine has to meet.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Settings describes one backend server.
type Settings struct {
	// Targets is zero for a plain service, whose latency is compared with its own unloaded latency.
	Targets Targets
	// StartRunning and StartTokens are what a cold server can bear.
	StartRunning int
	StartTokens  lavid.Tokens
	// MaxRunning is never exceeded.
	MaxRunning int
}

const (
	defaultFirstToken    = 1700 * time.Millisecond
	defaultBetweenTokens = 48 * time.Millisecond
	defaultStartRunning  = 2
	defaultStartTokens   = 4096
)

// EngineSettings returns the settings of a model engine that can ever bear maxRunning requests.
func EngineSettings(maxRunning int) Settings {
	settings := PlainSettings(maxRunning)
	settings.Targets = Targets{FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens}
	return settings
}

// PlainSettings returns the settings of a plain service that can ever bear maxRunning requests.
func PlainSettings(maxRunning int) Settings {
	return Settings{
		StartRunning: min(defaultStartRunning, max(maxRunning, 1)),
		StartTokens:  defaultStartTokens,
		MaxRunning:   max(maxRunning, 1),
	}
}

func (s Settings) plain() bool {
	return s.Targets == Targets{}
}
