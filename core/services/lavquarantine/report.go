package lavquarantine

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavserver"
)

const (
	// maxReports is the number of parts in one report; those with the latest changes come first.
	maxReports = 64
	// tellTime is how long after a change hosts tell each other of a part that is not kept from servers.
	tellTime = 30 * time.Second
	// reportDelay is about how long a report is on its way. An answer that is later by less than this may be one that is known
	// already, since its time is computed from its age.
	reportDelay = 200 * time.Millisecond
	// transitTime is about how long a message is on its way, by which reported times are late.
	transitTime = 50 * time.Millisecond
)

// ReportedEnding is an ending as hosts tell it each other.
type ReportedEnding struct {
	Instance lavserver.InstanceKey
	Age      time.Duration
	Begun    bool
}

// Findings are what hosts tell each other.
type Findings struct {
	Parts []Report
	// Alive are the instances of which endings were refuted.
	Alive []Alive
}

// Alive tells that an instance answered a request that was sent to it a time ago.
type Alive struct {
	Instance lavserver.InstanceKey
	Age      time.Duration
}

// Report tells other hosts what is known of a part.
type Report struct {
	Part    Key
	Endings []ReportedEnding
	// Answered states that the part was last answered AnsweredFor ago.
	Answered    bool
	AnsweredFor time.Duration
}

// dated is a report with the time of the latest change.
type dated struct {
	Report
	changedAt time.Time
}

// Findings returns what other hosts are to be told, including what they have told this one.
func (t *Table) Findings(now time.Time) Findings {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Findings{Parts: t.reports(now), Alive: t.refutations(now)}
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

// reports returns what is known of the parts; the caller holds the lock.
func (t *Table) reports(now time.Time) []Report {
	t.forgetEnded(now)
	var found []dated
	for part := range t.suspects {
		known := t.current(part, now)
		if len(known.endings) == 0 {
			t.put(part, known) // the endings are too old
			continue
		}
		if t.score(known) == 0 {
			continue
		}
		if now.Sub(known.lastEnding()) < tellTime || t.isQuarantined(part, known, now) {
			found = append(found, dated{known.report(part, now), known.lastEnding()})
		}
	}
	for part := range t.cleared {
		known := t.current(part, now)
		if now.Sub(known.clearedAt) >= tellTime {
			delete(t.cleared, part)
			continue
		}
		if len(known.endings) == 0 {
			found = append(found, dated{known.report(part, now), known.clearedAt})
		}
	}
	slices.SortFunc(found, func(a, b dated) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	reports := make([]Report, 0, min(len(found), maxReports))
	for _, entry := range found[:min(len(found), maxReports)] {
		reports = append(reports, entry.Report)
	}
	return reports
}

// forgetEnded removes the instances without endings on record once there are too many; the caller holds the lock.
func (t *Table) forgetEnded(now time.Time) {
	if len(t.ended) <= maxEnded {
		return
	}
	clear(t.ended)
	for part := range t.suspects {
		for _, ending := range t.current(part, now).endings {
			t.ended[ending.Instance] = struct{}{}
		}
	}
}

// report returns the report of a part with this record.
func (r record) report(part Key, now time.Time) Report {
	report := Report{Part: part}
	for _, ending := range r.endings {
		report.Endings = append(report.Endings, ReportedEnding{Instance: ending.Instance, Age: max(now.Sub(ending.At), 0), Begun: ending.Begun})
	}
	if !r.answeredAt.IsZero() {
		report.Answered, report.AnsweredFor = true, max(now.Sub(r.answeredAt), 0)
	}
	return report
}

// Apply records what another host reports.
func (t *Table) Apply(findings Findings, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, alive := range findings.Alive {
		t.refute(alive.Instance, now.Add(-alive.Age-transitTime), now)
	}
	ended := make(map[lavserver.InstanceKey]time.Time)
	for _, report := range findings.Parts {
		known := t.current(report.Part, now)
		for _, ending := range report.Endings {
			reported := Ending{Instance: ending.Instance, At: now.Add(-ending.Age), Begun: ending.Begun}
			if alive, _ := t.alive.Peek(ending.Instance); ending.Age >= lifetime || reported.At.Before(alive.at.Add(transitTime)) {
				continue
			}
			t.noteEnding(reported)
			known.endings = with(known.endings, reported)
			ended[ending.Instance] = reported.At
		}
		answeredAt := known.answeredAt
		if reported := now.Add(-report.AnsweredFor); report.Answered && reported.Sub(answeredAt) > reportDelay {
			answeredAt = reported
		}
		t.answer(report.Part, known, answeredAt, now)
	}
	if len(t.drops) > 0 {
		for instance, at := range ended {
			t.endDropped(instance, at, now)
		}
	}
}
