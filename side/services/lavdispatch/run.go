package lavdispatch

import (
	"context"
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/wire/lavwire"
)

// Run is one attempt that this side process has seen.
type Run struct {
	Attempt *lavwire.Attempt
	Buffer  *lavanswer.Buffer
	arrived time.Time
	// document is the configuration under which the attempt was last admitted; only the attempt's own goroutine uses it.
	document *lavconfig.Document
	// body is taken out of the attempt, so that it is not kept with the answer; only the attempt's own goroutine uses it.
	body []byte

	mu       sync.Mutex
	readers  int
	alone    time.Time
	finished time.Time
	cancel   context.CancelFunc
	permit   *lavlimit.Permit
}

func (r *Run) id() lavid.AttemptID {
	return lavid.AttemptID(r.Attempt.GetAttemptId())
}

// deadline is when the caller stops waiting.
func (r *Run) deadline() time.Time {
	return r.arrived.Add(time.Duration(r.Attempt.GetTimeoutMillis()) * time.Millisecond)
}

func (r *Run) onModel() bool {
	return r.Attempt.GetVersionId() != ""
}

// Join counts a reader; Leave takes it off again.
func (r *Run) Join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// Leave takes a reader off.
func (r *Run) Leave(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.alone = now
}

func (r *Run) end(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = now
}

func (r *Run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.finished.IsZero()
}

// idleSince returns since when the run is finished without a reader, or false.
func (r *Run) idleSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 || r.finished.IsZero() {
		return time.Time{}, false
	}
	if r.alone.After(r.finished) {
		return r.alone, true
	}
	return r.finished, true
}

// orphaned tells whether a running attempt that may be repeated has had no reader for the length of time.
func (r *Run) orphaned(length time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.finished.IsZero()
	return running && r.Attempt.GetIdempotent() && r.readers == 0 && now.Sub(r.alone) > length
}

func (r *Run) stop() {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (r *Run) hold(permit *lavlimit.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permit = permit
}

func (r *Run) held() *lavlimit.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permit
}
