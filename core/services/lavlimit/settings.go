package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 250 * time.Millisecond

// Targets are the latencies that a model engine has to meet.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Settings holds the bounds and targets of the limiter of one backend server.
type Settings struct {
	// Targets is zero for a plain service, which is not a model engine. Its latency is compared with its own unloaded
	// latency instead.
	Targets Targets
	// StartRunning and StartTokens are the limits of requests and tokens at a cold server.
	StartRunning int
	StartTokens  lavid.Tokens
	// MaxRunning is the largest limit of concurrent requests.
	MaxRunning int
}

const (
	defaultFirstToken    = 1700 * time.Millisecond
	defaultBetweenTokens = 48 * time.Millisecond
	defaultStartRunning  = 2
	defaultStartTokens   = 4096
)

// EngineSettings returns the settings for a model engine that runs at most maxRunning requests at once.
func EngineSettings(maxRunning int) Settings {
	settings := PlainSettings(maxRunning)
	settings.Targets = Targets{FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens}
	return settings
}

// PlainSettings returns the settings for a plain service that runs at most maxRunning requests at once.
func PlainSettings(maxRunning int) Settings {
	return Settings{
		StartRunning: min(defaultStartRunning, max(maxRunning, 1)),
		StartTokens:  defaultStartTokens,
		MaxRunning:   max(maxRunning, 1),
	}
}

// plain reports whether the settings are those of a plain service.
func (s Settings) plain() bool {
	return s.Targets == Targets{}
}
