package lavdispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavtable"
	"lavenderswitch/core/services/lavadmission"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/wire/lavwire"
)

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Run is one attempt that this side process has seen.
type Run struct {
	Attempt  *lavwire.Attempt
	Buffer   *lavanswer.Buffer
	Finished time.Time
	cancel   context.CancelFunc
}

// Dispatcher owns the attempts of one backend server.
type Dispatcher struct {
	Server  lavid.BackendServerID
	Holder  string
	Configs Configs
	Backend *lavbackend.Client
	Ledger  *lavledger.Ledger
	Log     *logrus.Logger

	runs    *lavtable.Table[string, *Run]
	work    conc.WaitGroup
	mu      sync.Mutex
	running int
	leaving bool
	loaded  []lavid.VersionID
	sealed  map[string]time.Time
}

// New returns a dispatcher; its exported fields are set before first use.
func New() *Dispatcher {
	return &Dispatcher{runs: lavtable.New[string, *Run](), sealed: make(map[string]time.Time)}
}

// Start admits an attempt and begins its work; the returned run's buffer holds the answer or the refusal.
func (d *Dispatcher) Start(attempt *lavwire.Attempt, now time.Time) *Run {
	run := &Run{Attempt: attempt, Buffer: lavanswer.NewBuffer()}
	if refusal := d.admit(run, now); refusal != nil {
		run.Buffer.Refuse(refusal)
		return run
	}
	timeout := time.Duration(attempt.GetTimeoutMillis()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	run.cancel = cancel
	d.work.Go(func() {
		defer cancel()
		d.perform(ctx, run)
		d.release(run, time.Now())
	})
	return run
}

func (d *Dispatcher) admit(run *Run, now time.Time) *lavwire.Refusal {
	document := d.Configs.Document()
	if document == nil {
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_CONFIG_STALE, "try another backend server")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.sealed[run.Attempt.GetAttemptId()]; ok {
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
	}
	server := lavadmission.Server{
		ID:             d.Server,
		Leaving:        d.leaving,
		LoadedVersions: d.loaded,
		Running:        d.running,
		Limit:          document.BackendServers[d.Server].MaxRunning,
	}
	if refusal := lavadmission.Decide(document, server, run.Attempt, now); refusal != nil {
		return refusal
	}
	d.running++
	d.runs.Put(run.Attempt.GetAttemptId(), run)
	return nil
}

func (d *Dispatcher) release(run *Run, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	run.Finished = now
}

// Find returns a run by attempt id.
func (d *Dispatcher) Find(attemptID string) (*Run, bool) {
	return d.runs.Get(attemptID)
}

// Seal refuses an attempt that has not arrived yet; it returns the run when the attempt has.
func (d *Dispatcher) Seal(attemptID string, now time.Time) (*Run, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run, ok := d.runs.Get(attemptID); ok {
		return run, true
	}
	d.sealed[attemptID] = now
	return nil, false
}

// Load returns the present load.
func (d *Dispatcher) Load() *lavwire.Load {
	document := d.Configs.Document()
	d.mu.Lock()
	defer d.mu.Unlock()
	load := &lavwire.Load{BackendServerId: string(d.Server), Running: int32(d.running), Leaving: d.leaving}
	if document != nil {
		load.Limit = int32(document.BackendServers[d.Server].MaxRunning)
	}
	for _, version := range d.loaded {
		load.LoadedVersions = append(load.LoadedVersions, string(version))
	}
	return load
}

// Refresh reads the backend server's state.
func (d *Dispatcher) Refresh(ctx context.Context) {
	state, err := d.Backend.ReadState(ctx)
	if err != nil {
		d.Log.WithError(err).WithField(lavlog.FieldServer, d.Server).Warning("backend server gave no state; trying again at the next tick")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loaded = state.LoadedVersions
}

// Leave refuses new work from now on.
func (d *Dispatcher) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Wait returns when no attempt is running.
func (d *Dispatcher) Wait() {
	d.work.Wait()
}

func notRun(kind lavwire.RefusalKind, remedy string) *lavwire.Refusal {
	return &lavwire.Refusal{Kind: kind, RunState: lavwire.RunState_RUN_STATE_NOT_RUN, Remedy: remedy}
}
