package lavmatrix

import (
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/modules/lavcluster"
)

// Record collects the observations of callers and operators during one case.
type Record struct {
	mu           sync.Mutex
	replies      []lavcluster.Reply
	patchResults []lavcluster.PatchResult
	readings     []ConfigReading
	events       []Event
	mustComplete []lavid.RequestID
	healedAt     time.Time
}

// ConfigReading is the configuration number that an entry host or side process reported at a point in time.
type ConfigReading struct {
	Host string
	// Start is the number of times that the process had been started.
	Start  int
	Number lavid.ConfigNumber
	// At is the time just before the number was read.
	At time.Time
}

// EventKind is the kind of an event.
type EventKind string

// The event kinds.
const (
	VersionWithdrawn EventKind = "version withdrawn"
	DataCentreOut    EventKind = "data centre out"
	ServerLeaving    EventKind = "server leaving"
	ConfigAccepted   EventKind = "configuration accepted"
	TurnedCold       EventKind = "turned cold"
)

// Event is a change by an operator or a fault whose effect the checks expect on every host within a time limit.
type Event struct {
	Kind EventKind
	// Name is the version, data centre, backend server or setting that changed; it may be empty.
	Name string
	// Number is the configuration number of an accepted patch and zero for other events.
	Number lavid.ConfigNumber
	At     time.Time
}

// AddReply records the reply to one attempt of a request.
func (r *Record) AddReply(reply lavcluster.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, reply)
}

// AddPatchResult records the result of one attempt to submit a patch.
func (r *Record) AddPatchResult(result lavcluster.PatchResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.patchResults = append(r.patchResults, result)
}

// AddEvent records an event.
func (r *Record) AddEvent(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// AddReading records a reported configuration number.
func (r *Record) AddReading(reading ConfigReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readings = append(r.readings, reading)
}

// ExpectComplete records a request that a graceful shutdown must not interrupt.
func (r *Record) ExpectComplete(request lavid.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustComplete = append(r.mustComplete, request)
}

// MarkHealed records the time at which the last fault was healed.
func (r *Record) MarkHealed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healedAt = now
}

// repliesByRequest returns the replies of each request in the order in which the attempts were sent.
func (r *Record) repliesByRequest() map[lavid.RequestID][]lavcluster.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	grouped := make(map[lavid.RequestID][]lavcluster.Reply)
	for _, reply := range r.replies {
		id := reply.Request.ID
		grouped[id] = append(grouped[id], reply)
	}
	for _, replies := range grouped {
		slices.SortFunc(replies, func(a, b lavcluster.Reply) int { return a.Sent.Compare(b.Sent) })
	}
	return grouped
}
