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

// The names of the counters and histograms of the service.
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

// Configs returns the configuration in force at this host.
type Configs interface {
	Document() *lavconfig.Document
}

// Peers fetches a newer configuration from another host; CatchUp reports whether this host has it afterwards.
type Peers interface {
	CatchUp(ctx context.Context, address string, number lavid.ConfigNumber) bool
}

// Attempts sends attempts to side processes.
type Attempts interface {
	Run(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error)
	Attach(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error)
	Cancel(ctx context.Context, base string, attempt *lavwire.Attempt) error
}

// Sessions resolves the version to which a session is pinned, and reports whether the session was moved to it from another.
type Sessions interface {
	Resolve(ctx context.Context, query lavpin.Query) (lavid.VersionID, bool)
}

// Seals writes a sealed row to the ledger, after which a call that may run at most once can no longer run.
type Seals interface {
	Seal(ctx context.Context, claim lavledger.Claim) (lavledger.StoredEntry, error)
}

// Bills stores the bills of finished requests until the store has them. Add returns false when too many are held, and Full
// reports whether that is the case.
type Bills interface {
	Add(bill lavbill.Bill) bool
	Full() bool
}

// Service serves requests; it is safe for concurrent use.
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
	// Scheme is the URL prefix before the address of a side process, such as "http://".
	Scheme string
	// BillsClient returns the client for the side process at a base URL; it sends the bill of a checked stage there.
	BillsClient func(base string) lavwire.Bills
}

// retryAfterShort is the Retry-After when no better time is known.
const retryAfterShort = 2 * time.Second

// Serve writes the answer of a request to sink, or returns a typed error that states whether the request ran.
func (s *Service) Serve(ctx context.Context, request *lavrequest.Request, sink lavrequest.Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	s.Metrics.Count(metricRequests, 1)
	document := s.Configs.Document()
	if document == nil {
		return laverror.New(laverror.KindConfigUnavailable, "this host has no configuration yet", "retry at another host").WithRetryAfter(retryAfterShort)
	}
	if s.Bills.Full() {
		return laverror.New(laverror.KindStoreUnavailable, "too many bills are waiting for the store", "retry later").WithRetryAfter(retryAfterShort)
	}
	end, err := s.Gate.Begin(request)
	if err != nil {
		return err
	}
	defer end()
	execution := &execution{Service: s, document: document, request: request, sink: sink}
	execution.trace = s.Traces.Begin(request.ID, request.Account, document.Number, request.Arrived)
	err = execution.correctRunState(execution.serve(ctx))
	execution.recordEnd(err, time.Now())
	return err
}
