package lavquarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxKept is the number of keys that are to outlast all hosts. They take less than 32 KiB.
const maxKept = 32

// Kept returns what is kept from servers, which is to be stored so that it outlasts all hosts.
func (t *Table) Kept(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []dated
	for _, report := range t.reports(now) {
		if found := t.current(report.Key, now); t.isQuarantined(report.Key, found, now) {
			held = append(held, dated{Report: report})
		}
	}
	var kept []Report
	for _, entry := range share(held, maxKept) {
		kept = append(kept, entry.Report)
	}
	return kept
}

// Digest identifies the keys and endings of reports. It does not depend on their ages.
func Digest(reports []Report) uint64 {
	sum := uint64(0)
	for _, report := range reports {
		digest := xxhash.NewWithSeed(uint64(len(report.Endings)))
		_, _ = digest.WriteString(report.Key.String())
		for _, ending := range report.Endings {
			_, _ = digest.WriteString(" " + Key(ending.Instance).String())
		}
		sum ^= digest.Sum64() // the order of reports varies
	}
	return sum
}

// Aged returns the reports as they read after a further time.
func Aged(reports []Report, by time.Duration) []Report {
	aged := make([]Report, 0, len(reports))
	for _, report := range reports {
		report.AnsweredFor += by
		report.RefusedFor += by
		endings := make([]ReportedEnding, 0, len(report.Endings))
		for _, ending := range report.Endings {
			ending.Age += by
			endings = append(endings, ending)
		}
		report.Endings = endings
		aged = append(aged, report)
	}
	return aged
}
