package lavquarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavserver"
)

// Key identifies a part of a prompt, or a whole request. It is a hash of the part's ID, or of what a server gets to see of the
// request and gets again when a caller sends it again.
type Key uint64

// KeyOf returns the key of the part with the given ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// KeyOfRequest returns the key of a whole request with the given body and identifying texts, such as method, path and caller.
func KeyOfRequest(body []byte, texts ...string) Key {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = digest.Write(body)
	return Key(digest.Sum64())
}

// String returns the key as logs and state dumps show it, in hexadecimal digits.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Ending is the end of a backend server while a prompt with a part was in work there.
type Ending struct {
	Instance lavserver.InstanceKey
	At       time.Time
	// Begun states that the server had begun to answer the prompt and had not delivered anything of the answer yet.
	Begun bool
}

// record is what is known of a part.
type record struct {
	// endings are those since the part was last answered, one for each instance, in order of time.
	endings []Ending
	// answeredAt is when a server was last known to have survived an answer to a prompt with the part, and clearedAt when such
	// an answer last removed endings.
	answeredAt time.Time
	clearedAt  time.Time
	// trialAt is when this host last let a prompt with the part pass as a trial.
	trialAt time.Time
}

// with returns the endings with one more. Of two for the same instance, the earlier counts, as begun if one of them is.
func with(endings []Ending, added Ending) []Ending {
	merged := make([]Ending, 0, len(endings)+1)
	placed := false
	for _, ending := range endings {
		if ending.Instance == added.Instance {
			added.Begun = added.Begun || ending.Begun
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

// requiredScore returns the score from which the part is kept from servers.
func (r record) requiredScore() float64 {
	if !r.answeredAt.IsZero() && r.endings[0].At.Sub(r.answeredAt) < answerMemory {
		return answeredScore
	}
	return unansweredScore
}

// trialPause returns the time after the latest ending before the part is tried again. It grows with each server that ended.
func (r record) trialPause() time.Duration {
	pause := firstTrialPause
	for range max(countGroups(r.endings)-int(unansweredScore), 0) {
		pause = min(pause*trialPauseFactor, maxTrialPause)
	}
	return pause
}

// countGroups returns the number of groups of endings that are not simultaneous.
func countGroups(endings []Ending) int {
	count := 0
	var began time.Time
	for _, ending := range endings {
		if count == 0 || ending.At.Sub(began) >= simultaneous {
			count, began = count+1, ending.At
		}
	}
	return count
}
