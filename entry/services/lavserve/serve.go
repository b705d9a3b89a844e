package lavserve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavretry"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// The counters and histograms of the service.
const (
	metricRequests   = "Requests"
	metricAnswered   = "Answered"
	metricFailed     = "Failed"
	metricAttempts   = "Attempts"
	metricRetries    = "Retries"
	metricSeals      = "Seals"
	metricEscalated  = "Escalations"
	metricMoved      = "SessionsMoved"
	metricElapsed    = "Elapsed"
	metricPinElapsed = "PinElapsed"
	metricQueued     = "Queued"
	metricFirstByte  = "FirstByte"
	metricHedges     = "Hedges"
)

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Peers brings this host up to a higher configuration number that another host has named.
type Peers interface {
	CatchUp(ctx context.Context, address string, number lavid.ConfigNumber) bool
}

// Attempts sends attempts to side processes.
type Attempts interface {
	Run(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error)
	Attach(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error)
	Cancel(ctx context.Context, base string, attempt *lavwire.Attempt) error
}

// Sessions finds the version of a session.
type Sessions interface {
	Resolve(ctx context.Context, ask lavpin.Query) (lavid.VersionID, bool)
}

// Seals makes a call that may not be repeated impossible in the ledger.
type Seals interface {
	Seal(ctx context.Context, claim lavledger.Claim) (lavledger.Position, error)
}

// Bills keeps the bill of a finished request; it returns false when it holds too many.
type Bills interface {
	Add(bill lavbill.Bill) bool
	Full() bool
}

// Service serves requests.
type Service struct {
	Host     lavid.HostID
	Configs  Configs
	Peers    Peers
	Attempts Attempts
	Sessions Sessions
	Seals    Seals
	Fleet    *lavfleet.Fleet
	Bills    Bills
	Planner  Planner
	Raters   Raters
	Gate     Gate
	Retries  *lavretry.Budget
	Hedgers  *Hedgers
	Traces   *lavtrace.Ring
	Metrics  *lavmetric.Set
	Log      *logrus.Logger
	// Scheme precedes the address of a side process, such as "http://".
	Scheme string
	// Holders hands the bill of a checked stage to the side process that answered it.
	Holders func(base string) lavwire.Bills
}

// retryAfterShort is told to callers when no better time is known.
const retryAfterShort = 2 * time.Second

// Serve answers a request into sink, or returns a typed error that states whether the work ran.
func (s *Service) Serve(ctx context.Context, request *lavrequest.Request, sink lavrequest.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	s.Metrics.Count(metricRequests, 1)
	document := s.Configs.Document()
	if document == nil {
		return laverror.New(laverror.KindConfigUnavailable, "this host has no configuration yet", "retry at another host").WithRetryAfter(retryAfterShort)
	}
	if s.Bills.Full() {
		return laverror.New(laverror.KindStoreUnavailable, "too many bills wait for the store", "retry later").WithRetryAfter(retryAfterShort)
	}
	end, err := s.Gate.Begin(request)
	if err != nil {
		return err
	}
	defer end()
	work := &work{Service: s, document: document, request: request, sink: sink}
	work.trace = s.Traces.Begin(request.ID, request.Account, document.Number, request.Arrived)
	err = work.stateRun(work.serve(ctx))
	work.finish(err, time.Now())
	return err
}
