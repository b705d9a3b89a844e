package lavdispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/modules/lavtable"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/wire/lavwire"
)

// Configs gives the configuration that may decide new work.
type Configs interface {
	// InForce returns nil when this process cannot tell whether its configuration is the newest.
	InForce(now time.Time) *lavconfig.Document
	// CatchUp fetches the configuration of a number from the host that named it or from the store.
	CatchUp(ctx context.Context, sender lavid.HostID, number lavid.ConfigNumber) bool
}

// Bills keeps the bills of answers until they are written.
type Bills interface {
	Add(bill lavbill.Bill) bool
	Full() bool
}

// Limits bound times and memory of a dispatcher.
type Limits struct {
	// KeepAnswers is how long a finished answer can still be attached.
	KeepAnswers time.Duration
	// KeepAttempts is how long the end of an attempt is remembered.
	KeepAttempts time.Duration
	// AnswerWindow bounds how many bytes a backend server may be ahead of a slow reader.
	AnswerWindow int
	// MaxAnswerBytes bounds the answer of a call that may not be repeated.
	MaxAnswerBytes int
	// SilenceTimeout is how long an engine may send nothing before its connection is checked.
	SilenceTimeout time.Duration
	// CallTimeout bounds a call of a plain service that may be repeated.
	CallTimeout time.Duration
	// OutcomeTimeout is how long the outcome of a call that may not be repeated is awaited after its caller's deadline.
	OutcomeTimeout time.Duration
	// ConfirmAfter is how old the reading of a ledger row may be at dispatch; it is less than lavledger.SettleDelay.
	ConfirmAfter time.Duration
	// OrphanTimeout is how long an attempt that may be repeated goes on without a reader.
	OrphanTimeout time.Duration
}

// Options are what a dispatcher works with.
type Options struct {
	Server  lavid.BackendServerID
	Holder  string
	Process lavledger.ProcessID
	Configs Configs
	Backend *lavbackend.Client
	Ledger  *lavledger.Ledger
	Outbox  *lavledger.Outbox
	Holders lavledger.HolderClient
	Bills   Bills
	Budget  *lavanswer.Budget
	Metrics *lavmetric.Set
	Log     *logrus.Logger
	Limits  Limits
}

// Dispatcher owns the attempts of one backend server.
type Dispatcher struct {
	Options
	Decisions *Decisions

	holdings *lavledger.Attempts
	runs     *lavtable.Table[string, *Run]
	started  time.Time
	work     conc.WaitGroup

	mu      sync.Mutex
	running int
	leaving bool
	// hostLeaving follows the platform's host list.
	hostLeaving bool
	limiter     *lavlimit.Limiter
	// fitted and plain say for what kind of backend server the limiter was made.
	fitted    bool
	plain     bool
	state     lavbackend.State
	stateRead time.Time
}

// New returns a dispatcher that has seen no attempt.
func New(options Options, now time.Time) *Dispatcher {
	return &Dispatcher{
		Options:   options,
		Decisions: newDecisions(),
		holdings:  lavledger.NewAttempts(),
		runs:      lavtable.New[string, *Run](),
		started:   now,
		limiter:   lavlimit.New(lavlimit.EngineSettings(1), now),
	}
}

// Start begins an attempt, or returns the run that it already has; the run's buffer holds the answer or the refusal.
func (d *Dispatcher) Start(attempt *lavwire.Attempt, now time.Time) *Run {
	run := d.newRun(attempt, now)
	if remedy, ok := wellFormed(attempt); !ok {
		return d.turnAway(run, notRun(lavwire.RefusalKind_REFUSAL_KIND_MALFORMED, remedy), now)
	}
	if !d.holdings.Open(run.id(), now) {
		if known, ok := d.runs.Get(attempt.GetAttemptId()); ok {
			return known
		}
		return d.turnAway(run, d.forgotten(run.id()), now)
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.lastMoment(run))
	run.cancel = cancel
	d.runs.Put(attempt.GetAttemptId(), run)
	d.count(1)
	d.work.Go(func() {
		defer cancel()
		d.guard(run, func() { d.perform(ctx, run) })
	})
	return run
}

// guard releases a run in any case; a fault of this program in one attempt is logged and leaves the others alone.
func (d *Dispatcher) guard(run *Run, work func()) {
	var catcher panics.Catcher
	catcher.Try(work)
	now := time.Now()
	if caught := catcher.Recovered(); caught != nil {
		d.Log.WithField(lavlog.FieldAttempt, run.id()).WithField("stack", string(caught.Stack)).Error("attempt failed by a fault of this program; report it")
		d.Metrics.Count("Panics", 1)
		d.abandon(run, failed(run.Attempt))
		d.holdings.End(run.id(), now)
	}
	d.release(run, now)
}

func (d *Dispatcher) newRun(attempt *lavwire.Attempt, now time.Time) *Run {
	options := lavanswer.Options{Budget: d.Budget, Window: d.Limits.AnswerWindow, KeepAll: !attempt.GetIdempotent()}
	run := &Run{Attempt: attempt, Buffer: lavanswer.New(options), arrived: now, alone: now, body: attempt.GetBody()}
	attempt.Body = nil
	return run
}

// forgotten answers a repeat of an attempt whose run is no longer held.
func (d *Dispatcher) forgotten(attempt lavid.AttemptID) *lavwire.Refusal {
	refusal := notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
	if d.holdings.Phase(attempt) != lavledger.PhaseAbandoned {
		refusal.RunState = lavwire.RunState_RUN_STATE_IN_DOUBT
	}
	return refusal
}

// lastMoment is when the backend server's answer is no longer awaited.
func (d *Dispatcher) lastMoment(run *Run) time.Time {
	if run.Attempt.GetIdempotent() {
		return run.deadline()
	}
	return run.deadline().Add(d.Limits.OutcomeTimeout)
}

func (d *Dispatcher) turnAway(run *Run, refusal *lavwire.Refusal, now time.Time) *Run {
	run.Buffer.Refuse(refusal)
	run.end(now)
	d.note(run, refusal, now)
	return run
}

func (d *Dispatcher) release(run *Run, now time.Time) {
	run.body = nil
	run.end(now)
	d.count(-1)
	if permit := run.held(); permit != nil {
		permit.Done(outcomeOf(run), now)
	}
	d.note(run, run.Buffer.View(0).Refusal, now)
}

func outcomeOf(run *Run) lavlimit.Outcome {
	switch run.Buffer.View(0).Refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_UNSPECIFIED:
		return lavlimit.Succeeded
	case lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED:
		return lavlimit.Failed
	default:
		return lavlimit.Cancelled
	}
}

func (d *Dispatcher) count(delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += delta
}

func (d *Dispatcher) limit() *lavlimit.Limiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter
}

// Leave refuses new work from now on.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Leaving tells whether new work is refused because this process or its host ends.
func (d *Dispatcher) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving || d.hostLeaving
}

// RunningVersions returns the versions that answer attempts now.
func (d *Dispatcher) RunningVersions() []lavid.VersionID {
	var versions []lavid.VersionID
	for _, id := range d.runs.IDs() {
		run, ok := d.runs.Get(id)
		if !ok || !run.onModel() || run.ended() {
			continue
		}
		versions = append(versions, lavid.VersionID(run.Attempt.GetVersionId()))
	}
	return versions
}

// Running returns the number of attempts in progress.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// StopAll ends the attempts that are still in progress.
func (d *Dispatcher) StopAll() {
	for _, id := range d.runs.IDs() {
		if run, ok := d.runs.Get(id); ok {
			run.stop()
		}
	}
	d.work.Wait()
}
