package lavnotice

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
)

const (
	// MaxPause is the longest pause that a server can ask for. Longer ones are shortened, as a server that takes nothing for
	// hours is better taken off the list.
	MaxPause = time.Hour
	// maxInstances bounds the instances whose notices are kept; the least recently noticed is removed first.
	maxInstances = 4096
	// tellTime is how long after a server has stated that it leaves hosts tell each other. By then, listings show it.
	tellTime = 30 * time.Second
	// maxReports is the number of instances in one report; the latest ones come first.
	maxReports = 256
)

// notice holds what an instance has stated; times are zero if it has not.
type notice struct {
	// leavingSince is when the instance first stated that it leaves, to any host.
	leavingSince time.Time
	// pausedUntil is the end of the longest pause that the instance has asked this host for, and advisedUntil of those that
	// it has asked other hosts for.
	pausedUntil  time.Time
	advisedUntil time.Time
}

// Report tells other hosts of the notices of one instance.
type Report struct {
	Instance lavserver.InstanceKey
	// Leaving states that the instance leaves, which it first stated LeavingFor ago.
	Leaving    bool
	LeavingFor time.Duration
	// Pause is what is left of the longest pause that the instance has asked any host for.
	Pause time.Duration
}

// Table holds the notices of backend servers; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	notices *lru.Cache[lavserver.InstanceKey, notice]
}

// New returns an empty table.
func New() *Table {
	notices, err := lru.New[lavserver.InstanceKey, notice](maxInstances)
	if err != nil {
		// lru.New fails only if the size is not positive.
		panic(err)
	}
	return &Table{notices: notices}
}

// update changes the notices of an instance.
func (t *Table) update(instance lavserver.InstanceKey, change func(*notice)) {
	row, _ := t.notices.Peek(instance)
	change(&row)
	t.notices.Add(instance, row)
}

// RecordLeaving records that an instance leaves and reports whether that is new. An instance that leaves does not come back.
func (t *Table) RecordLeaving(instance lavserver.InstanceKey, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, _ := t.notices.Peek(instance); !row.leavingSince.IsZero() {
		return false
	}
	t.update(instance, func(row *notice) { row.leavingSince = now })
	return true
}

// RecordPause records that an instance asks this host to send nothing for a while, at most MaxPause. A later pause does not
// shorten an earlier one.
func (t *Table) RecordPause(instance lavserver.InstanceKey, pause time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(min(pause, MaxPause))
	t.update(instance, func(row *notice) { row.pausedUntil = latest(row.pausedUntil, until) })
}

// Leaving reports whether an instance has stated that it leaves.
func (t *Table) Leaving(instance lavserver.InstanceKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, _ := t.notices.Peek(instance)
	return !row.leavingSince.IsZero()
}

// PausedUntil returns the end of the pause that an instance has asked this host for, which may have passed.
func (t *Table) PausedUntil(instance lavserver.InstanceKey) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, _ := t.notices.Peek(instance)
	return row.pausedUntil
}

// AdvisedUntil returns the end of the longest pause that an instance has asked another host for, which may have passed. Such
// a pause does not bind this host.
func (t *Table) AdvisedUntil(instance lavserver.InstanceKey) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, _ := t.notices.Peek(instance)
	return row.advisedUntil
}

// Reports returns the notices to tell other hosts, those of other hosts included.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for _, instance := range slices.Backward(t.notices.Keys()) {
		row, _ := t.notices.Peek(instance)
		report := Report{Instance: instance, Pause: max(latest(row.pausedUntil, row.advisedUntil).Sub(now), 0)}
		if leavingFor := now.Sub(row.leavingSince); !row.leavingSince.IsZero() && leavingFor < tellTime {
			report.Leaving, report.LeavingFor = true, leavingFor
		}
		if report.Leaving || report.Pause > 0 {
			reports = append(reports, report)
		}
		if len(reports) == maxReports {
			break
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return reports
}

// Apply records the notices that another host reports.
func (t *Table) Apply(reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		row, _ := t.notices.Peek(report.Instance)
		before := row
		if report.Leaving && row.leavingSince.IsZero() {
			row.leavingSince = now.Add(-report.LeavingFor)
		}
		// A pause that this host was asked for itself is no news to it.
		if until := now.Add(min(report.Pause, MaxPause)); report.Pause > 0 && until.After(row.pausedUntil) {
			row.advisedUntil = latest(row.advisedUntil, until)
		}
		if row != before {
			t.notices.Add(report.Instance, row)
		}
	}
}

// ParsePause returns the pause that a server asks for in seconds, or false if it is not a positive number.
func ParsePause(seconds float64) (time.Duration, bool) {
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second)), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
