package lavmatrix

import (
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/modules/lavcluster"
)

// Record collects what callers and operators learned during one case.
type Record struct {
	mu           sync.Mutex
	replies      []lavcluster.Reply
	patchResults []lavcluster.PatchResult
	readings     []ConfigReading
	events       []Event
	mustComplete []lavid.RequestID
	healedAt     time.Time
}

// Number is the configuration number that an entry host or side process reported.
type ConfigReading struct {
	Host string
	// Start counts the starts of the process.
	Start  int
	Number lavid.ConfigNumber
	At     time.Time
}

// EventKind is what operators did.
type EventKind string

// The kinds of events.
const (
	VersionWithdrawn EventKind = "version withdrawn"
	DataCentreOut    EventKind = "data centre out"
	ServerLeaving    EventKind = "server leaving"
	ConfigAccepted   EventKind = "configuration accepted"
	TurnedCold       EventKind = "turned cold"
)

// Event is one thing that has to be in force everywhere within a few seconds.
type Event struct {
	Kind   EventKind
	Name   string
	Number lavid.ConfigNumber
	At     time.Time
}

// AddReply records the reply of one try.
func (r *Record) AddReply(reply lavcluster.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, reply)
}

// AddSubmit records one try of a patch.
func (r *Record) AddPatchResult(result lavcluster.PatchResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.patchResults = append(r.patchResults, result)
}

// AddEvent records what operators did.
func (r *Record) AddEvent(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// AddNumber records a reported configuration number.
func (r *Record) AddReading(reading ConfigReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readings = append(r.readings, reading)
}

// MustNotCut records a request that a graceful shutdown may not cut.
func (r *Record) ExpectComplete(request lavid.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustComplete = append(r.mustComplete, request)
}

// Heal records when the last fault was undone.
func (r *Record) MarkHealed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healedAt = now
}

// requests groups the tries by request in the order of their sending.
func (r *Record) requests() map[lavid.RequestID][]lavcluster.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	grouped := make(map[lavid.RequestID][]lavcluster.Reply)
	for _, reply := range r.replies {
		id := reply.Request.ID
		grouped[id] = append(grouped[id], reply)
	}
	for _, tries := range grouped {
		slices.SortFunc(tries, func(a, b lavcluster.Reply) int { return a.Sent.Compare(b.Sent) })
	}
	return grouped
}
