package lavquarantine

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavserver"
)

// Ending is the end of a backend server while a request was in work there.
type Ending struct {
	Instance lavserver.InstanceKey
	At       time.Time
	// Begun states that the server had begun to answer the request and had not delivered anything of the answer yet.
	Begun bool
	// Repeat states that the request was sent there after another server had ended with it.
	Repeat bool
}

// isSimultaneous reports whether a server ended at the same time as another one before, such as those of a rack that loses
// power.
func (e Ending) isSimultaneous(before Ending) bool {
	return e.At.Sub(before.At) < simultaneous && !e.Repeat
}

// record is what is known of a part of prompts or of a whole request.
type record struct {
	// whole states that it is a whole request.
	whole bool
	// endings are those since the last answer, one for each instance, in order of time.
	endings []Ending
	// answeredAt is when a server was last known to have survived an answer, and clearedAt when an answer last removed endings.
	answeredAt time.Time
	clearedAt  time.Time
	// trialAt is when this host last let a request pass as a trial.
	trialAt time.Time
	// refusedAt is when any host last refused a whole request.
	refusedAt time.Time
}

// with returns the endings with one more. Of two for the same instance, the earlier counts, as begun and as of a repeat if one of
// them is.
func with(endings []Ending, added Ending) []Ending {
	merged := make([]Ending, 0, len(endings)+1)
	placed := false
	for _, ending := range endings {
		if ending.Instance == added.Instance {
			added.Begun, added.Repeat = added.Begun || ending.Begun, added.Repeat || ending.Repeat
			if ending.At.Before(added.At) {
				added.At = ending.At
			}
		}
	}
	for _, ending := range endings {
		if ending.Instance == added.Instance {
			continue
		}
		if !placed && added.At.Before(ending.At) {
			merged, placed = append(merged, added), true
		}
		merged = append(merged, ending)
	}
	if !placed {
		merged = append(merged, added)
	}
	return merged[max(0, len(merged)-maxEndings):]
}

// without returns the endings without that of an instance before a time.
func without(endings []Ending, instance lavserver.InstanceKey, before time.Time) []Ending {
	return slices.DeleteFunc(slices.Clone(endings), func(ending Ending) bool {
		return ending.Instance == instance && ending.At.Before(before)
	})
}

// after returns the endings after a time.
func after(endings []Ending, at time.Time) []Ending {
	for i, ending := range endings {
		if ending.At.After(at) {
			return endings[i:]
		}
	}
	return nil
}

// lastEnding returns when the latest server ended; the record must have endings.
func (r record) lastEnding() time.Time { return r.endings[len(r.endings)-1].At }

// containsInstances reports whether the record has an ending of each instance of which the other one has one.
func (r record) containsInstances(other record) bool {
	for _, ending := range other.endings {
		if !r.hasInstance(ending.Instance) {
			return false
		}
	}
	return true
}

func (r record) hasInstance(instance lavserver.InstanceKey) bool {
	for _, ending := range r.endings {
		if ending.Instance == instance {
			return true
		}
	}
	return false
}

// lifetime returns how long the endings count. Most requests with which one server ended do not come again.
func (r record) lifetime() time.Duration {
	if r.whole && len(r.endings) > 1 {
		return requestLifetime
	}
	return endingLifetime
}

// withoutExpired returns the record without the endings that are too old. Those of a request that is still refused count on.
func (r record) withoutExpired(now time.Time) record {
	if since := now.Add(-r.lifetime()); !r.refusedAt.After(since) {
		r.endings = after(r.endings, since)
	}
	return r
}

// requiredScore returns the score from which the part or request is kept from servers.
func (r record) requiredScore() float64 {
	switch {
	case r.answeredAt.IsZero() || r.endings[0].At.Sub(r.answeredAt) >= answerMemory:
		return unansweredScore
	case r.whole:
		return answeredRequestScore
	default:
		return answeredPartScore
	}
}
