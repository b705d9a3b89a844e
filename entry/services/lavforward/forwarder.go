package lavforward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcold"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavload"
)

// Settings are the bounds of forwarding.
type Settings struct {
	// ColdOverage is the part of a cold server's stated rate that all hosts together use.
	ColdOverage float64
	// RepeatShare of a host's requests for a service may be sent once more, beyond RepeatSlack of all hosts within RepeatWindow.
	RepeatShare  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
}

// Releases says which releases of a service may serve a session, and learns how they answer.
type Releases interface {
	Allowed(service lavid.ServiceID, session string, now time.Time) func(lavid.ReleaseID) lavcutover.Preference
	RecordSend(server lavserver.Server, session string, now time.Time)
	Observe(server lavserver.Server, outcome lavcutover.Outcome)
	ObserveDuration(server lavserver.Server, kind string, took time.Duration)
	StartTiming(server lavserver.Server, kind string, varied bool, now time.Time) *lavcutover.Timing
}

// Hosts lists the entry hosts that may send work, this one among them.
type Hosts interface {
	Hosts(now time.Time) []lavring.Member
}

// Parts are what a Forwarder works with.
type Parts struct {
	Directory *lavdirectory.Directory
	Loads     *lavload.Ledger
	Cold      *lavcold.Limiter
	Releases  Releases
	Hosts     Hosts
	Sender    Sender
	// DataCentre is this host's.
	DataCentre lavid.DataCentreID
	// Regions holds the region of each data centre; one that is missing lies in a region without a name.
	Regions map[lavid.DataCentreID]lavid.Region
	Metrics *Metrics
	Log     logrus.FieldLogger
	Clock   func() time.Time
}

// Forwarder serves requests; it is safe for concurrent use.
type Forwarder struct {
	Parts
	settings Settings
	health   *healths
	repeats  *repeats
	prompts  *prompts
	speeds   *speeds
	random   func() float64
}

// New returns a forwarder.
func New(settings Settings, parts Parts) *Forwarder {
	return &Forwarder{
		Parts:    parts,
		settings: settings,
		health:   newHealths(),
		repeats:  newRepeats(settings),
		prompts:  newPrompts(),
		speeds:   newSpeeds(),
		random:   rand.Float64,
	}
}

// Serve answers the request and returns how it ended; it stops when ctx ends.
func (f *Forwarder) Serve(ctx context.Context, request *Request, answer Answer) Result {
	f.repeats.first(request.Service.ID, f.Clock())
	work := &work{Forwarder: f, request: request, answer: answer, excluded: make(map[lavid.BackendServerID]bool)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.Metrics.inProgress.Inc()
	defer f.Metrics.inProgress.Dec()
	result := work.run(ctx)
	work.report(ctx, result)
	return result
}
