package lavforward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavbuffer"
	"lavenderswitch/core/services/lavcold"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavrate"
)

// Settings holds the limits of forwarding.
type Settings struct {
	// ColdOverage is the factor by which the stated rate of a cold server is multiplied to get the limit for all hosts.
	ColdOverage float64
	// RepeatShare is the share of a host's requests for a service that may be sent again within RepeatWindow.
	// RepeatSlack is a number of further repeats within that window, divided among all hosts.
	RepeatShare  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// BufferBytes bounds what all requests together buffer of answers that are larger than a few ten KiB.
	BufferBytes int64
	// HeldBytes bounds what all streams together hold for callers who read slowly.
	HeldBytes int64
}

// Releases decides which releases of a service may serve a session, and records how they answer; lavcutover.Cutovers
// implements it. A kind groups the sends or durations that may be compared with each other.
type Releases interface {
	Preferences(service lavid.ServiceID, session string, now time.Time) func(lavid.ReleaseID) lavcutover.Preference
	RecordSend(server lavserver.Server, session string, now time.Time)
	RecordEnd(server lavserver.Server, session string, now time.Time)
	Observe(server lavserver.Server, outcome lavcutover.Outcome)
	ObserveDuration(server lavserver.Server, kind string, took time.Duration)
	StartTiming(server lavserver.Server, awaited lavcutover.Awaited, now time.Time) *lavcutover.Timing
}

// Hosts lists the entry hosts that may send requests, including this host.
type Hosts interface {
	Hosts(now time.Time) []lavring.Member
}

// Dependencies holds the components that a Forwarder uses.
type Dependencies struct {
	Directory *lavdirectory.Directory
	Loads     *lavload.Table
	Forecasts *lavforecast.Forecaster
	Cold      *lavcold.Limiter
	Limits    *lavrate.Limiter
	// Holdings tells which engines have read which beginnings of prompts.
	Holdings *lavholding.Table
	// Quarantine decides which requests are kept from servers.
	Quarantine *lavquarantine.Table
	Releases   Releases
	Hosts      Hosts
	Sender     Sender
	// HostID is this host, and DataCentre its data centre.
	HostID     lavid.HostID
	DataCentre lavid.DataCentreID
	// Regions maps each data centre to its region; a data centre without an entry has the empty region.
	Regions map[lavid.DataCentreID]lavid.Region
	Metrics *Metrics
	Log     logrus.FieldLogger
	Clock   func() time.Time
}

// Forwarder forwards requests to backend servers; it is safe for concurrent use.
type Forwarder struct {
	Dependencies
	settings Settings
	health   *healthTable
	repeats  *repeatBudget
	speeds   *speedEstimates
	waiting  *waitingRoom
	seconds  *secondRuns
	arrivals *arrivals
	flights  *flights
	buffers  *bufferBudget
	held     *lavbuffer.Budget
	drain    *drain
	random   func() float64
}

// New returns a forwarder with the given settings and dependencies.
func New(settings Settings, dependencies Dependencies) *Forwarder {
	return &Forwarder{
		Dependencies: dependencies,
		settings:     settings,
		health:       newHealthTable(),
		repeats:      newRepeatBudget(settings),
		speeds:       newSpeedEstimates(),
		waiting:      newWaitingRoom(dependencies.Metrics, dependencies.Clock),
		seconds:      newSecondRuns(),
		arrivals:     newArrivals(),
		flights:      newFlights(),
		buffers:      &bufferBudget{limit: settings.BufferBytes},
		held:         lavbuffer.New(settings.HeldBytes, min(settings.HeldBytes, maxHeldBytes)),
		drain:        newDrain(),
		random:       rand.Float64,
	}
}

// UpdateMetrics updates the metrics of what the forwarder holds. It is to be called about once a second.
func (f *Forwarder) UpdateMetrics() { f.Metrics.heldBytes.Set(float64(f.held.Held())) }

// Serve forwards the request, writes the answer and returns how the request ended; it stops when ctx ends.
func (f *Forwarder) Serve(ctx context.Context, request *Request, answer AnswerWriter) Result {
	f.repeats.countRequest(request.Service.ID, f.Clock())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := f.drain.watch(answer, cancel)
	defer watched.forget()
	e := &execution{Forwarder: f, request: request, answer: watched, keys: request.keys(), excluded: make(map[lavid.BackendServerID]bool)}
	f.Metrics.inProgress.Inc()
	defer f.Metrics.inProgress.Dec()
	defer e.releaseBuffer()
	defer f.seconds.forget(request.ID)
	result := e.run(ctx)
	e.reportEnd(ctx, result)
	return result
}
