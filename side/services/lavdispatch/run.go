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

// Run is one attempt that this side process has received.
type Run struct {
	Attempt   *lavwire.Attempt
	Buffer    *lavanswer.Buffer
	arrivedAt time.Time
	// document is the configuration under which the attempt was last admitted; only the attempt's own goroutine uses it.
	document *lavconfig.Document
	// body is removed from the attempt, so that it is not kept with the answer; only the attempt's own goroutine uses it.
	body []byte

	mu           sync.Mutex
	readers      int
	readerLeftAt time.Time
	// finishedAt is zero while the run is in progress.
	finishedAt time.Time
	// cancel is nil for a run that was refused on arrival.
	cancel context.CancelFunc
	// permit is nil until the attempt is admitted, and for an attempt that an earlier process dispatched.
	permit *lavlimit.Permit
}

func (r *Run) id() lavid.AttemptID {
	return lavid.AttemptID(r.Attempt.GetAttemptId())
}

// deadline returns the time at which the caller stops waiting.
func (r *Run) deadline() time.Time {
	return r.arrivedAt.Add(time.Duration(r.Attempt.GetTimeoutMillis()) * time.Millisecond)
}

// usesModel reports whether the attempt is for a model version, and not for a plain service.
func (r *Run) usesModel() bool {
	return r.Attempt.GetVersionId() != ""
}

// AddReader counts a reader of the answer, until RemoveReader is called.
func (r *Run) AddReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// RemoveReader removes a reader that AddReader has counted, and records when it left.
func (r *Run) RemoveReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.readerLeftAt = now
}

func (r *Run) markFinished(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishedAt = now
}

func (r *Run) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.finishedAt.IsZero()
}

// idleSince returns the time since which a finished run has had no reader, or false when it runs or has one.
func (r *Run) idleSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers > 0 || r.finishedAt.IsZero() {
		return time.Time{}, false
	}
	if r.readerLeftAt.After(r.finishedAt) {
		return r.readerLeftAt, true
	}
	return r.finishedAt, true
}

// orphaned reports whether a running idempotent attempt has had no reader for longer than the timeout.
func (r *Run) orphaned(timeout time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.finishedAt.IsZero()
	return running && r.Attempt.GetIdempotent() && r.readers == 0 && now.Sub(r.readerLeftAt) > timeout
}

// stop cancels the run.
func (r *Run) stop() {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (r *Run) setPermit(permit *lavlimit.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permit = permit
}

func (r *Run) currentPermit() *lavlimit.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permit
}
