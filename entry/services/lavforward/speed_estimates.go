package lavforward

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// pauseForgetting is the factor by which each pause lowers the weight of the earlier ones: about the last 500 pauses count.
const pauseForgetting = 0.998

// pauses is a sum of pauses between events with the weight of the past decaying.
type pauses struct {
	seconds, count float64
}

const (
	// minReadTokens is the length of prompts from which the time to the first event tells how fast a model reads.
	minReadTokens = 1000
	// readForgetting is the factor by which each prompt lowers the weight of the earlier ones: about the last 200 count.
	readForgetting = 0.995
	// priorReads is the number of prompts that the assumed speed of a model counts for.
	priorReads = 20
)

// reads is a sum of the logarithms of seconds per token, over prompts that nothing delayed.
type reads struct {
	logSum, count float64
}

// speedEstimates holds the speeds at which engines read and generate; it is safe for concurrent use.
type speedEstimates struct {
	mu     sync.Mutex
	models map[lavid.ModelID]pauses
	reads  map[lavid.ModelID]reads
}

func newSpeedEstimates() *speedEstimates {
	return &speedEstimates{models: make(map[lavid.ModelID]pauses), reads: make(map[lavid.ModelID]reads)}
}

// recordRead records how long a model took to read a number of tokens. Short prompts are left out.
func (s *speedEstimates) recordRead(model lavid.ModelID, tokens float64, took time.Duration) {
	if tokens < minReadTokens || took <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.reads[model]
	s.reads[model] = reads{logSum: readForgetting*seen.logSum + math.Log(took.Seconds()/tokens), count: readForgetting*seen.count + 1}
}

// readFactor returns how many times longer a model takes to read a prompt than another one. The assumed factor counts until both
// models were seen often enough.
func (s *speedEstimates) readFactor(model, smallest lavid.ModelID, assumed float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, other := s.reads[model], s.reads[smallest]
	if own.count == 0 || other.count == 0 {
		return assumed
	}
	weight := min(own.count, other.count)
	seen := own.logSum/own.count - other.logSum/other.count
	return math.Exp((weight*seen + priorReads*math.Log(assumed)) / (weight + priorReads))
}

// recordPauses records how long a number of events took. Each event counts alike, as a short stream that an engine interrupts
// to read a prompt says little about the others.
func (s *speedEstimates) recordPauses(model lavid.ModelID, took time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.models[model]
	kept := math.Pow(pauseForgetting, float64(events))
	s.models[model] = pauses{seconds: kept*seen.seconds + took.Seconds(), count: kept*seen.count + float64(events)}
}

// expectEvents returns the expected time for a number of events; an unknown speed counts as zero.
func (s *speedEstimates) expectEvents(model lavid.ModelID, events float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.models[model]
	if seen.count == 0 {
		return 0
	}
	return time.Duration(events * seen.seconds / seen.count * float64(time.Second))
}
