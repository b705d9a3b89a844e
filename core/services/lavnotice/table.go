package lavnotice

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrate"
)

const (
	// MaxPause is the longest pause that a server can ask for. Longer ones are shortened, as messages between hosts hold 32 bits
	// of milliseconds.
	MaxPause = 30 * 24 * time.Hour
	// maxInstances bounds the instances whose notices are kept; the least recently noticed is removed first.
	maxInstances = 4096
	// tellTime is how long after a server has stated that it leaves hosts tell each other. By then, listings show it.
	tellTime = 30 * time.Second
	// limitTellTime is how long after a server has stated a limit hosts tell each other.
	limitTellTime = 10 * time.Minute
	// reportDelay is about how long a report is on its way. A statement that is later by less than this may be one that is known
	// already, since its time is computed from its age.
	reportDelay = 200 * time.Millisecond
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
	// limit is what the instance last stated, at limitAt, of the rate that it takes from all hosts together.
	limit   Limit
	limitAt time.Time
}

// Limit is the rate of requests that an instance takes from all hosts together.
type Limit struct {
	// Stated is false if the instance states no limit.
	Stated bool
	Rate   lavrate.Rate
}

// Report tells other hosts of the notices of one instance.
type Report struct {
	Instance lavserver.InstanceKey
	// Leaving states that the instance leaves, which it first stated LeavingFor ago.
	Leaving    bool
	LeavingFor time.Duration
	// Pause is what is left of the longest pause that the instance has asked any host for.
	Pause time.Duration
	// LimitKnown states that the instance stated Limit, or that it has none any more, LimitFor ago.
	LimitKnown bool
	Limit      Limit
	LimitFor   time.Duration
}

// Table holds the notices of backend servers; it is safe for concurrent use.
type Table struct {
	// changes counts the changes of the notices.
	changes atomic.Uint64

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
	t.changes.Add(1)
}

// Changes returns the number of changes of the notices so far. It rises also if a change has no effect.
func (t *Table) Changes() uint64 { return t.changes.Load() }

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

// RecordLimit records the limit that an instance states in an answer, or that it states none, and reports whether that is new.
func (t *Table) RecordLimit(instance lavserver.InstanceKey, limit Limit, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, _ := t.notices.Peek(instance)
	if !limit.Stated && !row.limit.Stated {
		return false
	}
	t.update(instance, func(row *notice) { row.limit, row.limitAt = limit, now })
	return limit != row.limit
}

// Limit returns the limit of an instance.
func (t *Table) Limit(instance lavserver.InstanceKey) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, _ := t.notices.Peek(instance)
	return row.limit
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
		if limitFor := now.Sub(row.limitAt); !row.limitAt.IsZero() && (limitFor < tellTime || row.limit.Stated && limitFor < limitTellTime) {
			report.LimitKnown, report.Limit, report.LimitFor = true, row.limit, max(limitFor, 0)
		}
		if report.Leaving || report.Pause > 0 || report.LimitKnown {
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
		if statedAt := now.Add(-report.LimitFor); report.LimitKnown && statedAt.Sub(row.limitAt) > reportDelay {
			row.limit, row.limitAt = report.Limit, statedAt
		}
		if row != before {
			t.notices.Add(report.Instance, row)
			t.changes.Add(1)
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

// ParseLimit returns the limit that a server states in requests a second, or false if it is not a number of at least zero.
func ParseLimit(rate float64) (Limit, bool) {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Limit{}, false
	}
	return Limit{Stated: true, Rate: lavrate.Rate(rate)}, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
