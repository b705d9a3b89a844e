package lavtrace

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Step is one decision about a request.
type Step struct {
	At      time.Time
	Kind    StepKind
	Server  lavid.BackendServerID `json:",omitempty"`
	Version lavid.VersionID       `json:",omitempty"`
	Attempt lavid.AttemptID       `json:",omitempty"`
	Reason  string                `json:",omitempty"`
}

// StepKind is the kind of a decision.
type StepKind string

// The kinds of decisions.
const (
	StepPlanned  StepKind = "Planned"  // a version became a stage of the plan
	StepPinned   StepKind = "Pinned"   // the session is pinned to the version
	StepQueued   StepKind = "Queued"   // the request waited for free capacity; Reason is how long
	StepChosen   StepKind = "Chosen"   // a backend server was chosen for an attempt
	StepRefused  StepKind = "Refused"  // an attempt gave no answer; Reason is the refusal
	StepRated    StepKind = "Rated"    // an answer was rated before its delivery
	StepSealed   StepKind = "Sealed"   // a lost attempt was sealed in the ledger; it did not run and never will
	StepAttached StepKind = "Attached" // the request waits for the answer of an earlier attempt that still runs
	StepBilled   StepKind = "Billed"
	StepAnswered StepKind = "Answered"
	StepFailed   StepKind = "Failed"
)

// Trace holds the decisions about one request, without its body. Add is safe for concurrent use.
type Trace struct {
	Request lavid.RequestID
	Account lavid.AccountID
	Config  lavid.ConfigNumber
	Arrived time.Time
	Steps   []Step

	mu sync.Mutex
}

// Add appends a step.
func (t *Trace) Add(step Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Steps = append(t.Steps, step)
}

// Snapshot is a copy of a Trace for the state dump.
type Snapshot struct {
	Request lavid.RequestID
	Account lavid.AccountID
	Config  lavid.ConfigNumber
	Arrived time.Time
	Steps   []Step
}

func (t *Trace) snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	steps := make([]Step, len(t.Steps))
	copy(steps, t.Steps)
	return Snapshot{Request: t.Request, Account: t.Account, Config: t.Config, Arrived: t.Arrived, Steps: steps}
}

// Ring holds the traces of the most recent requests. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	traces []*Trace
	next   int
}

// NewRing returns a ring that holds up to size traces.
func NewRing(size int) *Ring {
	return &Ring{traces: make([]*Trace, size)}
}

// Begin starts the trace of a request and drops the oldest trace when the ring is full.
func (r *Ring) Begin(request lavid.RequestID, account lavid.AccountID, config lavid.ConfigNumber, now time.Time) *Trace {
	trace := &Trace{Request: request, Account: account, Config: config, Arrived: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.traces[r.next] = trace
	r.next = (r.next + 1) % len(r.traces)
	return trace
}

// Dump returns copies of the traces, the newest last.
func (r *Ring) Dump() []Snapshot {
	r.mu.Lock()
	ordered := append(append([]*Trace{}, r.traces[r.next:]...), r.traces[:r.next]...)
	r.mu.Unlock()
	copies := make([]Snapshot, 0, len(ordered))
	for _, trace := range ordered {
		if trace != nil {
			copies = append(copies, trace.snapshot())
		}
	}
	return copies
}
