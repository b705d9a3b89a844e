package lavquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of a suspected part or request for the state dump, which uses the field names as keys.
type Status struct {
	// Part is the key of the part of prompts, and Request that of the whole request; the other one is empty.
	Part          string `json:",omitempty"`
	Request       string `json:",omitempty"`
	Quarantined   bool
	Endings       int
	Score         float64
	RequiredScore float64
	LastEnding    time.Time
}

// Evidence is what speaks against a part of prompts or a request. It is zero if nothing does.
type Evidence struct {
	Endings int
	// Score is what the endings add up to, and RequiredScore that from which the part or request is kept from servers.
	Score         float64
	RequiredScore float64
}

// Evidence returns what speaks against a part or request.
func (t *Table) Evidence(key Key, now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.current(key, now)
	if len(found.endings) == 0 {
		return Evidence{}
	}
	return Evidence{Endings: len(found.endings), Score: found.score(), RequiredScore: found.requiredScore()}
}

// Statuses returns the parts and requests that servers ended with since they were last answered, those that are kept from
// servers first.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.suspects))
	for key := range t.suspects {
		found := t.current(key, now)
		if len(found.endings) == 0 {
			continue
		}
		status := Status{
			Quarantined: t.isQuarantined(key, found, now), Endings: len(found.endings), Score: found.score(), RequiredScore: found.requiredScore(),
			LastEnding: found.lastEnding(),
		}
		if found.whole {
			status.Request = key.String()
		} else {
			status.Part = key.String()
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(b.LastEnding.Compare(a.LastEnding), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
	})
	return statuses
}
