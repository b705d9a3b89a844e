package lavquarantine

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavserver"
)

const (
	// maxReports is the number of keys in one report.
	maxReports = 64
	// tellTime is how long after a change hosts tell each other of a key that is not kept from servers.
	tellTime = 30 * time.Second
	// reportDelay is about how long a report is on its way. An answer or refusal that is later by less than this may be one that
	// is known already, since its time is computed from its age.
	reportDelay = 200 * time.Millisecond
	// transitTime is about how long a message is on its way, by which reported times are late.
	transitTime = 50 * time.Millisecond
)

// ReportedEnding is an ending as hosts tell it each other.
type ReportedEnding struct {
	Instance lavserver.InstanceKey
	Age      time.Duration
	Begun    bool
	Repeat   bool
}

// Findings are what hosts tell each other.
type Findings struct {
	Keys []Report
	// Alive are the instances of which endings were refuted.
	Alive []Alive
}

// Alive tells that an instance answered a request that was sent to it a time ago.
type Alive struct {
	Instance lavserver.InstanceKey
	Age      time.Duration
}

// Report tells other hosts what is known of a key.
type Report struct {
	Key Key
	// Whole states that it is the key of a whole request.
	Whole   bool
	Endings []ReportedEnding
	// Answered states that it was last answered AnsweredFor ago.
	Answered    bool
	AnsweredFor time.Duration
	// Refused states that a whole request was last refused RefusedFor ago.
	Refused    bool
	RefusedFor time.Duration
}

// dated is a report with the time of the latest change.
type dated struct {
	Report
	quarantined bool
	changedAt   time.Time
}

// Findings returns what other hosts are to be told, including what they have told this one.
func (t *Table) Findings(now time.Time) Findings {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Findings{Keys: t.reports(now), Alive: t.refutations(now)}
}

// refutations returns the instances of which endings were refuted lately; the caller holds the lock.
func (t *Table) refutations(now time.Time) []Alive {
	var found []Alive
	for _, instance := range t.alive.Keys() {
		if known, _ := t.alive.Peek(instance); !known.refutedAt.IsZero() && now.Sub(known.refutedAt) < tellTime {
			found = append(found, Alive{Instance: instance, Age: max(now.Sub(known.at), 0)})
		}
	}
	slices.SortFunc(found, func(a, b Alive) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Instance, b.Instance)) })
	return found[:min(len(found), maxReports)]
}

// reports returns what is known of the keys, most important first; the caller holds the lock.
func (t *Table) reports(now time.Time) []Report {
	found := append(t.suspectedReports(now), t.clearedReports(now)...)
	slices.SortFunc(found, dated.compare)
	found = share(found, maxReports)
	reports := make([]Report, 0, len(found))
	for _, entry := range found {
		reports = append(reports, entry.Report)
	}
	return reports
}

// compare orders reports by importance. What several servers ended with goes before what is new, as most requests with which one server
// ended do not come again.
func (d dated) compare(other dated) int {
	if d.quarantined != other.quarantined {
		if d.quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.importance(), d.importance()), other.changedAt.Compare(d.changedAt), cmp.Compare(d.Key, other.Key))
}

// importance returns the number of endings. A key that was cleared counts as one with two.
func (d dated) importance() int {
	if len(d.Endings) == 0 {
		return 2
	}
	return len(d.Endings)
}

// share returns the first reports up to a number, half of them on parts of prompts and half on whole requests if there are enough: all
// requests at a server that ends are on record, and may not push out the part with which it ended.
func share(found []dated, most int) []dated {
	var parts, requests []dated
	for _, entry := range found {
		if entry.Whole {
			requests = append(requests, entry)
		} else {
			parts = append(parts, entry)
		}
	}
	partCount := min(len(parts), max(most-len(requests), most/2))
	return append(parts[:partCount:partCount], requests[:min(len(requests), most-partCount)]...)
}

// suspectedReports returns what speaks against keys; the caller holds the lock.
func (t *Table) suspectedReports(now time.Time) []dated {
	var found []dated
	for key := range t.suspects {
		known := t.current(key, now)
		if len(known.endings) == 0 {
			t.put(key, known) // the endings are too old
			continue
		}
		isNew := now.Sub(known.lastEnding()) < tellTime
		if !isNew && len(known.endings) == 1 {
			continue
		}
		if quarantined := t.isQuarantined(key, known, now); isNew || quarantined {
			report := known.report(key, now)
			if quarantined {
				report.countFully()
			}
			found = append(found, dated{report, quarantined, known.lastEnding()})
		}
	}
	return found
}

// clearedReports returns the keys that were answered lately, so that nothing speaks against them any more; the caller holds the
// lock.
func (t *Table) clearedReports(now time.Time) []dated {
	var found []dated
	for key := range t.cleared {
		known := t.current(key, now)
		if now.Sub(known.clearedAt) >= tellTime {
			delete(t.cleared, key)
			continue
		}
		if len(known.endings) == 0 {
			found = append(found, dated{known.report(key, now), false, known.clearedAt})
		}
	}
	return found
}

// report returns the report of a key with this record.
func (r record) report(key Key, now time.Time) Report {
	report := Report{Key: key, Whole: r.whole}
	for _, ending := range r.endings {
		report.Endings = append(report.Endings, ReportedEnding{
			Instance: ending.Instance, Age: max(now.Sub(ending.At), 0), Begun: ending.Begun, Repeat: ending.Repeat,
		})
	}
	if !r.refusedAt.IsZero() {
		report.Refused, report.RefusedFor = true, max(now.Sub(r.refusedAt), 0)
	}
	if !r.answeredAt.IsZero() {
		report.Answered, report.AnsweredFor = true, max(now.Sub(r.answeredAt), 0)
	}
	return report
}

// countFully reports all endings as those of answers that had begun. Hosts of builds up to 637444f5 count others half or not at all, and would
// go on to send what this host keeps from servers.
func (r *Report) countFully() {
	for i := range r.Endings {
		r.Endings[i].Begun = true
	}
}

// Apply records what another host reports.
func (t *Table) Apply(findings Findings, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, alive := range findings.Alive {
		t.refute(alive.Instance, now.Add(-alive.Age-transitTime), now)
	}
	ended := make(map[lavserver.InstanceKey]time.Time)
	for _, report := range findings.Keys {
		known := t.current(report.Key, now)
		known.whole = known.whole || report.Whole
		if reported := now.Add(-report.RefusedFor); report.Refused && reported.Sub(known.refusedAt) > reportDelay {
			known.refusedAt = reported
		}
		for _, ending := range report.Endings {
			reported := Ending{Instance: ending.Instance, At: now.Add(-ending.Age), Begun: ending.Begun, Repeat: ending.Repeat}
			if alive, _ := t.alive.Peek(ending.Instance); reported.At.Before(alive.at.Add(transitTime)) {
				continue
			}
			known = known.withEnding(reported)
			ended[ending.Instance] = reported.At
		}
		known = known.withoutExpired(now)
		answeredAt := known.answeredAt
		if reported := now.Add(-report.AnsweredFor); report.Answered && reported.Sub(answeredAt) > reportDelay {
			answeredAt = reported
		}
		t.answer(report.Key, known, answeredAt, now)
	}
	if len(t.drops) > 0 {
		for instance, at := range ended {
			t.endDropped(instance, at, now)
		}
	}
}
