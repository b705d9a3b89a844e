package lavengine

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Quality is the probability per version that an answer is acceptable.
type Quality struct {
	Easy map[lavid.VersionID]float64
	// Hard holds for prompts that contain the word "hard".
	Hard map[lavid.VersionID]float64
}

// acceptable decides the quality of one answer from the seed, the version and the prompt alone.
func (q Quality) acceptable(seed uint64, version lavid.VersionID, digest, prompt string) bool {
	chances := q.Easy
	if strings.Contains(prompt, "hard") && len(q.Hard) > 0 {
		chances = q.Hard
	}
	chance, ok := chances[version]
	if !ok {
		return true
	}
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(version)+"/"+digest)))
	return random.Float64() < chance
}
