package lavengine

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Quality is the probability of an acceptable answer for each version. A version without an entry always answers
// acceptably.
type Quality struct {
	Easy map[lavid.VersionID]float64
	// Hard replaces Easy for prompts that contain the word "hard".
	Hard map[lavid.VersionID]float64
}

// acceptable reports whether an answer is acceptable. The result depends only on the seed, the version and the prompt.
func (q Quality) acceptable(seed uint64, version lavid.VersionID, digest, prompt string) bool {
	probabilities := q.Easy
	if strings.Contains(prompt, "hard") && len(q.Hard) > 0 {
		probabilities = q.Hard
	}
	probability, ok := probabilities[version]
	if !ok {
		return true
	}
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(version)+"/"+digest)))
	return random.Float64() < probability
}
