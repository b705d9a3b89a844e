package lavquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of a suspected part for the state dump, which uses the field names as keys.
type Status struct {
	// Part is the key of the part in hexadecimal digits.
	Part        string
	Quarantined bool
	Endings     int
	Score       float64
	LastEnding  time.Time
}

// Statuses returns the parts that servers ended with since they were last answered, those that are kept from servers first.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.suspects))
	for part := range t.suspects {
		found := t.current(part, now)
		if len(found.endings) == 0 {
			continue
		}
		statuses = append(statuses, Status{
			Part: part.String(), Quarantined: t.isQuarantined(part, found, now), Endings: len(found.endings),
			Score: t.score(found), LastEnding: found.lastEnding(),
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(b.LastEnding.Compare(a.LastEnding), cmp.Compare(a.Part, b.Part))
	})
	return statuses
}
