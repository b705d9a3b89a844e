package lavdispatch

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/services/lavledger"
)

// Tick adjusts the limit, discards old attempts and answers, and stops attempts without readers.
func (d *Dispatcher) Tick(now time.Time) {
	d.ApplyConfig(now)
	d.currentLimiter().Tick(now)
	d.attempts.Expire(d.Limits.KeepAttempts, now)
	idle := d.idleRuns(now)
	for _, run := range idle {
		since, _ := run.idleSince()
		if now.Sub(since) > d.Limits.KeepAnswers || d.Budget.UnderPressure() || d.attempts.Phase(run.id()) == lavledger.PhaseAbandoned {
			d.discard(run)
		}
	}
}

// idleRuns returns the finished runs without a reader, oldest first. It also stops orphaned runs.
func (d *Dispatcher) idleRuns(now time.Time) []*Run {
	var idle []*Run
	for _, id := range d.runs.IDs() {
		run, ok := d.runs.Get(id)
		if !ok {
			continue
		}
		if run.orphaned(d.Limits.OrphanTimeout, now) {
			d.Metrics.Count("Orphans", 1)
			run.stop()
		}
		if _, ok := run.idleSince(); ok {
			idle = append(idle, run)
		}
	}
	slices.SortFunc(idle, func(a, b *Run) int {
		first, _ := a.idleSince()
		second, _ := b.idleSince()
		return cmp.Compare(first.UnixNano(), second.UnixNano())
	})
	return idle
}

// discard frees the run's answer. The phase of a non-idempotent attempt stays recorded until it expires, for queries about
// its ledger row.
func (d *Dispatcher) discard(run *Run) {
	d.runs.Delete(run.Attempt.GetAttemptId())
	run.Buffer.Free()
	if run.Attempt.GetIdempotent() {
		d.attempts.Forget(run.id())
	}
}
