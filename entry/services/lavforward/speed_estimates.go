package lavforward

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// speedWeight is the weight of the newest sample in a moving average.
	speedWeight = 0.05
	// minSampleWork is the least work, in tokens of the smallest model, from which the time per token is measured.
	minSampleWork = 2000
)

// speedEstimates holds moving averages of the engines' speed; it is safe for concurrent use.
type speedEstimates struct {
	mu sync.Mutex
	// perToken is the mean time that prompt work takes, in seconds per token of the smallest model.
	perToken map[lavid.ServiceID]float64
	// pauses is the mean time between two events of a stream.
	pauses map[lavid.ModelID]time.Duration
}

func newSpeedEstimates() *speedEstimates {
	return &speedEstimates{perToken: make(map[lavid.ServiceID]float64), pauses: make(map[lavid.ModelID]time.Duration)}
}

// recordFirstEvent records the time to the first event of a send with the given work, in tokens of the smallest model.
func (s *speedEstimates) recordFirstEvent(service lavid.ServiceID, work float64, took time.Duration) {
	if work < minSampleWork {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := took.Seconds() / work
	mean, found := s.perToken[service]
	if !found {
		mean = sample
	}
	s.perToken[service] = mean + speedWeight*(sample-mean)
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

// expect returns the expected times to the first event and to the last of a number of events; unknown speeds count as zero.
func (s *speedEstimates) expect(service lavid.ServiceID, model lavid.ModelID, work, events float64) (first, last time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = time.Duration(s.perToken[service] * work * float64(time.Second))
	return first, first + time.Duration(events*float64(s.pauses[model]))
}
