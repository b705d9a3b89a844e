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

// Speed is how fast the engine generates.
type Speed struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Tokens is the length of an answer whose request does not limit it further.
	Tokens int
	// BatchSlope is the part by which each further running answer slows all of them.
	BatchSlope float64
}

// Warmth is what the engine can bear while it warms up.
type Warmth struct {
	// Capacity is the number of running answers that a warm engine bears.
	Capacity int
	// ColdCapacity is the number that a cold one bears.
	ColdCapacity int
	// WarmUp is the time from cold to warm; zero starts warm.
	WarmUp time.Duration
}

// Settings describe one engine.
type Settings struct {
	Speed    Speed
	Warmth   Warmth
	Quality  Quality
	LoadTime time.Duration
	// StateLag is the age of the state that the engine reports.
	StateLag time.Duration
	// EventLag is the age at which a cache event shows, and EventGaps the part of events that never does.
	EventLag  time.Duration
	EventGaps float64
	// Prefixes is how many prompt prefixes the cache holds.
	Prefixes int
	// MemoryVersions is how many versions fit at once; zero sets no limit.
	MemoryVersions int
	// Fenced says that orders with an old epoch are refused.
	Fenced bool
	Seed   uint64
	// Journal keeps the runs over a restart.
	Journal *lavjournal.Journal
}

// Engine answers chat completions with counted words.
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

// New returns an engine without versions.
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

// Load adds a version at once.
func (e *Engine) Load(version lavid.VersionID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.loaded, version) {
		e.loaded = append(e.loaded, version)
	}
}

// RestartWarmUp makes the engine start its warm-up again; a positive length replaces the time that it takes.
func (e *Engine) RestartWarmUp(length time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if length > 0 {
		e.settings.Warmth.WarmUp = length
	}
	e.coldSince = now
	e.cache.entries = nil
}

// Routes returns the handler of every path.
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
