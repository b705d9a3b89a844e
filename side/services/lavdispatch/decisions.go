package lavdispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/wire/lavwire"
)

// maxKeptDecisions bounds the decisions that are kept for the state dump.
const maxKeptDecisions = 500

// Decision is the recorded result of one attempt.
type Decision struct {
	At      time.Time
	Took    time.Duration
	Request lavid.RequestID
	Account lavid.AccountID
	Attempt lavid.AttemptID
	Version lavid.VersionID `json:",omitempty"`
	Service lavid.ServiceID `json:",omitempty"`
	Sender  lavid.HostID
	Config  lavid.ConfigNumber
	// Refusal is empty when the attempt was answered completely.
	Refusal  string `json:",omitempty"`
	RunState string `json:",omitempty"`
	Status   int32  `json:",omitempty"`
	Stored   bool   `json:",omitempty"`
}

// Decisions is a ring buffer of the most recent decisions of a process.
type Decisions struct {
	mu   sync.Mutex
	rows []Decision
	next int
}

func newDecisions() *Decisions {
	return &Decisions{rows: make([]Decision, 0, maxKeptDecisions)}
}

func (d *Decisions) add(decision Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rows) < maxKeptDecisions {
		d.rows = append(d.rows, decision)
		return
	}
	d.rows[d.next] = decision
	d.next = (d.next + 1) % maxKeptDecisions
}

// Dump returns a copy of the decisions, oldest first.
func (d *Decisions) Dump() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Concat(d.rows[d.next:], d.rows[:d.next])
}

// recordDecision keeps, counts and logs the result of an attempt.
func (d *Dispatcher) recordDecision(run *Run, refusal *lavwire.Refusal, now time.Time) {
	attempt := run.Attempt
	head := run.Buffer.View(run.Buffer.Length()).Head
	decision := Decision{
		At:      run.arrivedAt,
		Took:    now.Sub(run.arrivedAt),
		Request: lavid.RequestID(attempt.GetRequestId()),
		Account: lavid.AccountID(attempt.GetAccountId()),
		Attempt: run.id(),
		Version: lavid.VersionID(attempt.GetVersionId()),
		Service: lavid.ServiceID(attempt.GetServiceId()),
		Sender:  lavid.HostID(attempt.GetSenderId()),
		Config:  lavid.ConfigNumber(attempt.GetConfigNumber()),
		Status:  head.GetStatusCode(),
		Stored:  head.GetStored(),
	}
	if refusal != nil {
		decision.Refusal = refusal.GetKind().String()
		decision.RunState = refusal.GetRunState().String()
	}
	d.Decisions.add(decision)
	d.reportDecision(decision)
}

// reportDecision counts and logs a decision.
func (d *Dispatcher) reportDecision(decision Decision) {
	d.Metrics.Observe("Attempt", decision.Took)
	entry := d.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: decision.Request,
		lavlog.FieldAccount: decision.Account,
		lavlog.FieldAttempt: decision.Attempt,
		lavlog.FieldVersion: decision.Version,
		lavlog.FieldConfig:  decision.Config,
	})
	if decision.Refusal == "" {
		d.Metrics.Count("Answers", 1)
		entry.WithField("status", decision.Status).Debug("attempt was answered")
		return
	}
	d.Metrics.Count(decision.Refusal, 1)
	entry.WithField("refusal", decision.Refusal).WithField("run_state", decision.RunState).Info("attempt was refused")
}
