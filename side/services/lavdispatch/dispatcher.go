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

// Configs provides the configuration for the admission of attempts.
type Configs interface {
	// InForce returns nil when this process cannot determine whether its configuration is the newest.
	InForce(now time.Time) *lavconfig.Document
	// CatchUp fetches the configuration with a number, or a newer one, from the host that sent an attempt under it or from
	// the store. It reports whether this process has such a configuration now.
	CatchUp(ctx context.Context, sender lavid.HostID, number lavid.ConfigNumber) bool
}

// Bills keeps the bills of answers until they are written to the store.
type Bills interface {
	// Add keeps a bill and reports whether it is kept.
	Add(bill lavbill.Bill) bool
	// Full reports whether there is no space for another bill.
	Full() bool
}

// Limits holds the bounds of a dispatcher's times and memory.
type Limits struct {
	// KeepAnswers is how long a reader can still attach to a finished answer.
	KeepAnswers time.Duration
	// KeepAttempts is how long the final phase of an attempt stays recorded.
	KeepAttempts time.Duration
	// AnswerWindow bounds how many bytes of an answer may be buffered ahead of a slow reader.
	AnswerWindow int
	// MaxAnswerBytes bounds the answer of a call that is not idempotent.
	MaxAnswerBytes int
	// SilenceTimeout is how long a backend server may send nothing for an attempt before its state is checked.
	SilenceTimeout time.Duration
	// CallTimeout is the age from which an idempotent call fails when its plain service has sent nothing for
	// SilenceTimeout.
	CallTimeout time.Duration
	// OutcomeTimeout is how long the outcome of a call that is not idempotent is awaited after its caller's deadline.
	OutcomeTimeout time.Duration
	// ConfirmAfter is the age at which a read of the ledger row must be repeated before dispatch. It is less than
	// lavledger.SettleDelay.
	ConfirmAfter time.Duration
	// OrphanTimeout is how long an idempotent attempt continues without a reader.
	OrphanTimeout time.Duration
}

// Options holds the dependencies and bounds of a dispatcher.
type Options struct {
	// Server is the backend server beside this process.
	Server lavid.BackendServerID
	// Holder is the address of this process, and Process its id, in ledger rows.
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

// Dispatcher admits and runs the attempts at one backend server.
type Dispatcher struct {
	Options
	Decisions *Decisions

	attempts   *lavledger.Attempts
	runs       *lavtable.Table[string, *Run]
	startedAt  time.Time
	goroutines conc.WaitGroup

	mu      sync.Mutex
	running int
	leaving bool
	// hostLeaving reports whether the platform's host list shows this backend server's host as leaving.
	hostLeaving bool
	limiter     *lavlimit.Limiter
	// limiterConfigured reports whether the limiter was made from the configuration, and plainService whether it was
	// made for a plain service.
	limiterConfigured bool
	plainService      bool
	backendState      lavbackend.State
	stateReadAt       time.Time
}

// New returns a dispatcher without attempts.
func New(options Options, now time.Time) *Dispatcher {
	return &Dispatcher{
		Options:   options,
		Decisions: newDecisions(),
		attempts:  lavledger.NewAttempts(),
		runs:      lavtable.New[string, *Run](),
		startedAt: now,
		limiter:   lavlimit.New(lavlimit.EngineSettings(1), now),
	}
}

// Start begins an attempt, or returns its run when it already has one. The run's buffer receives the answer or the
// refusal.
func (d *Dispatcher) Start(attempt *lavwire.Attempt, now time.Time) *Run {
	run := d.newRun(attempt, now)
	if remedy, ok := wellFormed(attempt); !ok {
		return d.refuseOnArrival(run, notRun(lavwire.RefusalKind_REFUSAL_KIND_MALFORMED, remedy), now)
	}
	if !d.attempts.Open(run.id(), now) {
		if existing, ok := d.runs.Get(attempt.GetAttemptId()); ok {
			return existing
		}
		return d.refuseOnArrival(run, d.refusalForDiscarded(run.id()), now)
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.answerDeadline(run))
	run.cancel = cancel
	d.runs.Put(attempt.GetAttemptId(), run)
	d.addRunning(1)
	d.goroutines.Go(func() {
		defer cancel()
		d.runGuarded(run, func() { d.perform(ctx, run) })
	})
	return run
}

// runGuarded runs work and then releases the run. A panic in work is logged and does not affect other attempts.
func (d *Dispatcher) runGuarded(run *Run, work func()) {
	var catcher panics.Catcher
	catcher.Try(work)
	now := time.Now()
	if caught := catcher.Recovered(); caught != nil {
		d.Log.WithField(lavlog.FieldAttempt, run.id()).WithField("stack", string(caught.Stack)).Error("panic while running an attempt; report this bug")
		d.Metrics.Count("Panics", 1)
		d.abandon(run, backendFailed(run.Attempt))
		d.attempts.End(run.id(), now)
	}
	d.release(run, now)
}

// newRun returns the run of an attempt and moves the body out of the attempt.
func (d *Dispatcher) newRun(attempt *lavwire.Attempt, now time.Time) *Run {
	options := lavanswer.Options{Budget: d.Budget, Window: d.Limits.AnswerWindow, KeepAll: !attempt.GetIdempotent()}
	run := &Run{Attempt: attempt, Buffer: lavanswer.New(options), arrivedAt: now, readerLeftAt: now, body: attempt.GetBody()}
	attempt.Body = nil
	return run
}

// refusalForDiscarded returns the refusal of a repeated attempt whose run has been discarded.
func (d *Dispatcher) refusalForDiscarded(attempt lavid.AttemptID) *lavwire.Refusal {
	refusal := notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
	if d.attempts.Phase(attempt) != lavledger.PhaseAbandoned {
		refusal.RunState = lavwire.RunState_RUN_STATE_IN_DOUBT
	}
	return refusal
}

// answerDeadline returns the time after which the backend server's answer is no longer awaited.
func (d *Dispatcher) answerDeadline(run *Run) time.Time {
	if run.Attempt.GetIdempotent() {
		return run.deadline()
	}
	return run.deadline().Add(d.Limits.OutcomeTimeout)
}

// refuseOnArrival ends a run that has not been started.
func (d *Dispatcher) refuseOnArrival(run *Run, refusal *lavwire.Refusal, now time.Time) *Run {
	run.Buffer.Refuse(refusal)
	run.markFinished(now)
	d.recordDecision(run, refusal, now)
	return run
}

// release ends a run, returns its permit and records the result.
func (d *Dispatcher) release(run *Run, now time.Time) {
	run.body = nil
	run.markFinished(now)
	d.addRunning(-1)
	if permit := run.currentPermit(); permit != nil {
		permit.Done(limiterOutcome(run), now)
	}
	d.recordDecision(run, run.Buffer.View(0).Refusal, now)
}

// limiterOutcome returns the outcome of a finished run for the limiter.
func limiterOutcome(run *Run) lavlimit.Outcome {
	switch run.Buffer.View(0).Refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_UNSPECIFIED:
		return lavlimit.Succeeded
	case lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED:
		return lavlimit.Failed
	default:
		return lavlimit.Cancelled
	}
}

func (d *Dispatcher) addRunning(delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += delta
}

func (d *Dispatcher) currentLimiter() *lavlimit.Limiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter
}

// StopAdmitting makes the dispatcher refuse all new attempts.
func (d *Dispatcher) StopAdmitting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Leaving reports whether new attempts are refused because this process or its host is shutting down.
func (d *Dispatcher) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving || d.hostLeaving
}

// RunningVersions returns the version of each model attempt in progress; a version may appear more than once.
func (d *Dispatcher) RunningVersions() []lavid.VersionID {
	var versions []lavid.VersionID
	for _, id := range d.runs.IDs() {
		run, ok := d.runs.Get(id)
		if !ok || !run.usesModel() || run.isFinished() {
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

// StopAll cancels the attempts in progress and waits until they have ended.
func (d *Dispatcher) StopAll() {
	for _, id := range d.runs.IDs() {
		if run, ok := d.runs.Get(id); ok {
			run.stop()
		}
	}
	d.goroutines.Wait()
}
