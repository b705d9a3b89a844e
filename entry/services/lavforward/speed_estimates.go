package lavforward

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// speedWeight is the weight of the newest sample in a moving average.
const speedWeight = 0.05

// speedEstimates holds moving averages of the speed at which engines generate; it is safe for concurrent use.
type speedEstimates struct {
	mu sync.Mutex
	// pauses is the mean time between two events of a stream.
	pauses map[lavid.ModelID]time.Duration
}

func newSpeedEstimates() *speedEstimates {
	return &speedEstimates{pauses: make(map[lavid.ModelID]time.Duration)}
}

// recordPause records the mean time between two events of a stream.
func (s *speedEstimates) recordPause(model lavid.ModelID, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, found := s.pauses[model]
	if !found {
		mean = pause
	}
	s.pauses[model] = mean + time.Duration(speedWeight*float64(pause-mean))
}

// expectEvents returns the expected time for a number of events; an unknown speed counts as zero.
func (s *speedEstimates) expectEvents(model lavid.ModelID, events float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(events * float64(s.pauses[model]))
}
