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
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavplan"
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
	Resolve(ctx context.Context, ask lavpin.Ask) (lavid.VersionID, bool)
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
	err = work.serve(ctx)
	err = work.stateRun(err)
	s.Metrics.Observe(metricElapsed, time.Since(request.Arrived))
	if err != nil {
		s.Metrics.Count(metricFailed, 1)
		work.note(lavtrace.Step{Kind: lavtrace.StepFailed, Reason: err.Error()})
		return err
	}
	s.Metrics.Count(metricAnswered, 1)
	work.note(lavtrace.Step{Kind: lavtrace.StepAnswered})
	return nil
}

// work is one request on its way.
type work struct {
	*Service
	document *lavconfig.Document
	request  *lavrequest.Request
	sink     lavrequest.Sink
	trace    *lavtrace.Trace
	// earlier sums the stages before the present one.
	earlier earlierStages
	// key names the present stage in the evidence.
	key lavevidence.Key
	// lastCost is the cost of the last stage that answered.
	lastCost lavid.NanoUnits
	// checkedBill bills the last checked stage when it turns out to end the request.
	checkedBill func()
	// excluded versions had no server with room.
	excluded []lavid.VersionID
	// run is what earlier attempts and stages may have done.
	run laverror.RunState
}

// stateRun corrects an error that says not run when an earlier attempt or stage may have.
func (w *work) stateRun(err error) error {
	if err == nil || w.run == "" {
		return err
	}
	typed := laverror.As(err)
	if typed.Run != laverror.NotRun {
		return err
	}
	return typed.WithRun(w.run)
}

type earlierStages struct {
	count int
	cost  lavid.NanoUnits
}

func (w *work) note(step lavtrace.Step) {
	step.At = time.Now()
	w.trace.Add(step)
}

func (w *work) serve(ctx context.Context) error {
	if w.request.Service != "" {
		return w.serveStage(ctx, stage{})
	}
	return w.servePlans(ctx)
}

// maxPlans bounds the plans tried for one request.
const maxPlans = 6

// servePlans takes another plan while the pools of the one before have no server with room, or its version was withdrawn.
func (w *work) servePlans(ctx context.Context) error {
	var last error
	for range maxPlans {
		plan, err := w.plan(ctx)
		if err != nil {
			return firstOf(last, err)
		}
		err = w.serveStages(ctx, plan)
		switch {
		case err == nil:
			return nil
		case isErrPlanOutdated(err):
		case w.mayReplan(err, plan):
			w.excluded = append(w.excluded, plan.Stages[len(plan.Stages)-1].Version)
		default:
			return err
		}
		last = err
	}
	return last
}

// mayReplan tells whether another version may serve instead: nothing ran, and neither caller nor session asks for this one.
func (w *work) mayReplan(err error, plan lavplan.Plan) bool {
	typed := laverror.As(err)
	lacking := typed.Kind == laverror.KindNoServer || typed.Kind == laverror.KindOverloaded
	keeps := w.request.Session != "" && !w.request.FirstTurn
	return lacking && !keeps && typed.Run == laverror.NotRun && w.run == "" && w.request.Version == "" && plan.Reason != lavplan.ReasonPinned
}

func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
