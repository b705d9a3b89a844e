package lavengine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavjournal"
)

// Speed describes how fast the engine generates tokens.
type Speed struct {
	// FirstToken is the time to the first token, which a cached prefix halves.
	FirstToken time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// Tokens is the length of an answer when the request sets no limit.
	Tokens int
	// BatchSlope is the relative slowdown of all running answers by each further one.
	BatchSlope float64
}

// Warmth describes the capacity of the engine during its warm-up.
type Warmth struct {
	// Capacity is the number of concurrent answers that a warm engine can handle.
	Capacity int
	// ColdCapacity is the number of concurrent answers that a cold engine can handle.
	ColdCapacity int
	// WarmUp is the time in which the capacity grows from cold to warm. With zero, the engine starts warm.
	WarmUp time.Duration
}

// Settings are the settings of an engine.
type Settings struct {
	Speed   Speed
	Warmth  Warmth
	Quality Quality
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// StateLag is the age of the state that GET /state reports.
	StateLag time.Duration
	// EventLag is the age at which GET /events shows a cache event. EventGaps is the probability that an event is never
	// shown.
	EventLag  time.Duration
	EventGaps float64
	// Prefixes is the number of prompt prefixes that the cache holds.
	Prefixes int
	// MemoryVersions is the number of versions that can be loaded at the same time. Zero sets no limit.
	MemoryVersions int
	// Fenced makes the engine refuse orders with an epoch below the highest one received.
	Fenced bool
	// Seed is the seed of the quality of answers and of the gaps in events.
	Seed uint64
	// Journal keeps the runs across a restart. With nil, they are not kept.
	Journal *lavjournal.Journal
}

// Engine answers chat completions with the words of lavtruth.Words.
type Engine struct {
	settings Settings
	faults   *lavfault.Injector

	jobs              conc.WaitGroup
	mu                sync.Mutex
	random            *rand.Rand
	started           time.Time
	coldSince         time.Time
	loaded            []lavid.VersionID
	loading           []lavid.VersionID
	role              string
	epoch             lavid.Epoch
	running           int
	firstTokenMean    time.Duration
	betweenTokensMean time.Duration
	streams           map[lavid.AttemptID]*stream
	snapshots         []snapshot
	cache             prefixCache
	runs              []*lavtruth.Run
	truth             lavtruth.Backend
}

// New returns an engine without loaded versions.
func New(settings Settings, faults *lavfault.Injector, now time.Time) *Engine {
	if settings.Journal == nil {
		settings.Journal = &lavjournal.Journal{}
	}
	engine := &Engine{
		settings:  settings,
		faults:    faults,
		random:    rand.New(rand.NewPCG(settings.Seed, settings.Seed+1)),
		started:   now,
		coldSince: now,
		streams:   make(map[lavid.AttemptID]*stream),
	}
	engine.truth.Started = now
	faults.OnSet = func(fault lavfault.Fault) {
		if fault.Kind == lavfault.Cold {
			engine.RestartWarmUp(fault.Delay.Duration, time.Now())
		}
	}
	return engine
}

// Restore adds the runs of an earlier process to the ground truth.
func (e *Engine) Restore(runs []lavtruth.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range runs {
		e.runs = append(e.runs, &run)
	}
}

// Load makes a version available without a loading time.
func (e *Engine) Load(version lavid.VersionID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.loaded, version) {
		e.loaded = append(e.loaded, version)
	}
}

// RestartWarmUp sets the engine back to cold and empties its prefix cache. A positive length replaces the warm-up time.
func (e *Engine) RestartWarmUp(length time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if length > 0 {
		e.settings.Warmth.WarmUp = length
	}
	e.coldSince = now
	e.cache.entries = nil
}

// Routes returns the handler of all paths.
func (e *Engine) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	router.HandlerFunc(http.MethodGet, "/state", e.state)
	router.HandlerFunc(http.MethodPost, "/orders", e.order)
	router.GET("/streams/:attempt", e.resume)
	router.POST("/streams/:attempt/cancel", e.cancel)
	router.HandlerFunc(http.MethodGet, "/events", e.events)
	router.HandlerFunc(http.MethodPost, "/control", e.faults.Control)
	router.HandlerFunc(http.MethodGet, "/truth", e.showTruth)
	return router
}
