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

// weight returns how much the ending speaks against a part of a prompt, or against a whole request.
func (e Ending) weight(whole bool) float64 {
	switch {
	case e.Begun:
		return begunWeight
	case whole:
		return besideRequestWeight
	default:
		return besidePartWeight
	}
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
	// endings are those since the last answer, one for each instance, in order of time. If there are too many, some are left out.
	endings []Ending
	// leftOutFrom is the time of the earliest ending that was left out; zero if none was.
	leftOutFrom time.Time
	// answeredAt is when a server was last known to have survived an answer, and clearedAt when an answer last removed endings.
	answeredAt time.Time
	clearedAt  time.Time
	// continuedAt is when an answer that had begun was last seen to go on.
	continuedAt time.Time
	// trialAt is when this host last let a request pass as a trial.
	trialAt time.Time
	// refusedAt is when any host last refused a whole request.
	refusedAt time.Time
}

// withEnding returns the record with one more ending. Of two for the same instance, the earlier counts, as begun and as of a repeat
// if one of them is. Of too many, one that is simultaneous with another is left out, so that others do not stop counting while
// servers end in quick succession; without such, it is the oldest.
func (r record) withEnding(added Ending) record {
	merged := make([]Ending, 0, len(r.endings)+1)
	placed := false
	for _, ending := range r.endings {
		if ending.Instance == added.Instance {
			added.Begun, added.Repeat = added.Begun || ending.Begun, added.Repeat || ending.Repeat
			if ending.At.Before(added.At) {
				added.At = ending.At
			}
		}
	}
	for _, ending := range r.endings {
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
	if len(merged) > maxEndings {
		index := leastTelling(merged)
		if at := merged[index].At; r.leftOutFrom.IsZero() || at.Before(r.leftOutFrom) {
			r.leftOutFrom = at
		}
		merged = slices.Delete(merged, index, index+1)
	}
	r.endings = merged
	return r
}

// leastTelling returns the index of the ending without which the others say most.
func leastTelling(endings []Ending) int {
	for i := 1; i < len(endings); i++ {
		if !endings[i].isSimultaneous(endings[i-1]) {
			continue
		}
		if endings[i].Begun && !endings[i-1].Begun {
			return i - 1
		}
		return i
	}
	return 0
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

// latest returns the latest ending; the record must have endings.
func (r record) latest() Ending { return r.endings[len(r.endings)-1] }

// lastEnding returns when the latest server ended; the record must have endings.
func (r record) lastEnding() time.Time { return r.latest().At }

// covers reports whether the part or request of the record was there at each ending of the other one.
func (r record) covers(other record) bool {
	return !slices.ContainsFunc(other.endings, func(ending Ending) bool {
		return !r.hasInstance(ending.Instance) && !r.mayHaveLeftOut(ending)
	})
}

// mayHaveLeftOut reports whether the ending is at a time of which endings of the record were left out.
func (r record) mayHaveLeftOut(ending Ending) bool {
	if len(r.endings) == 0 || r.leftOutFrom.IsZero() || ending.At.Before(r.leftOutFrom) || !ending.At.After(r.answeredAt) {
		return false
	}
	return ending.At.Before(r.endings[0].At) || slices.ContainsFunc(r.endings, func(kept Ending) bool {
		return ending.At.Sub(kept.At).Abs() < simultaneous
	})
}

func (r record) hasInstance(instance lavserver.InstanceKey) bool {
	return slices.ContainsFunc(r.endings, func(ending Ending) bool { return ending.Instance == instance })
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

// wasAnswered reports whether the part or request was answered shortly before its first ending; the record must have endings.
func (r record) wasAnswered() bool {
	return !r.answeredAt.IsZero() && r.endings[0].At.Sub(r.answeredAt) < answerMemory
}

// requiredScore returns the score from which the part or request is kept from servers; the record must have endings.
func (r record) requiredScore() float64 {
	switch {
	case !r.wasAnswered():
		return unansweredScore
	case r.whole:
		return answeredRequestScore
	default:
		return answeredPartScore
	}
}

// isSuspected reports whether enough speaks against the part or request, unless another one explains it.
func (r record) isSuspected() bool {
	return len(r.endings) > 0 && r.score() >= r.requiredScore()
}

// eachGroup calls a function with the first of each group of simultaneous endings, and with the largest of their weights. A group weighs
// enough for sufficientEndings of them to reach the required score.
func (r record) eachGroup(call func(first Ending, weight float64)) {
	if len(r.endings) == 0 {
		return
	}
	minWeight := r.requiredScore() / sufficientEndings
	mayBeShared := !r.whole && r.wasAnswered()
	first, weight := r.endings[0], 0.0
	for _, ending := range r.endings {
		if ending != first && !ending.isSimultaneous(first) {
			call(first, weight)
			first, weight = ending, 0
		}
		each := max(ending.weight(r.whole), minWeight)
		if mayBeShared && ending.At.Before(r.continuedAt) {
			each *= continuedFactor
		}
		weight = max(weight, each)
	}
	call(first, weight)
}

// score returns how much speaks against the part or request.
func (r record) score() float64 {
	score := 0.0
	r.eachGroup(func(_ Ending, weight float64) { score += weight })
	return score
}

// failedTrials returns the number of trials with which servers ended. Endings that follow each other within spreadTime are of
// requests whose hosts could not know of the earlier ones.
func (r record) failedTrials() int {
	if len(r.endings) == 0 {
		return 0
	}
	count := 0
	score, required := 0.0, r.requiredScore()
	var before time.Time
	r.eachGroup(func(first Ending, weight float64) {
		if score >= required && first.At.Sub(before) >= spreadTime {
			count++
		}
		score, before = score+weight, first.At
	})
	return count
}

// trialPause returns the time after the latest ending before the part or request is tried again.
func (r record) trialPause() time.Duration {
	failed := r.failedTrials()
	if r.whole && failed >= maxRequestTrials {
		return requestLifetime
	}
	pause := firstTrialPause
	for range failed {
		pause = min(pause*trialPauseFactor, maxTrialPause)
	}
	return pause
}
