package lavforward

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// speedWeight is the part of the newest sample in a mean.
	speedWeight = 0.05
	// leastWork in tokens is enough for a sample of the time that work takes.
	leastWork = 2000
)

// speeds holds what this host knows of the engines' speed; it is safe for concurrent use.
type speeds struct {
	mu sync.Mutex
	// perToken is the time that work takes, in seconds per token of the smallest model.
	perToken map[lavid.ServiceID]float64
	// pauses is the mean time between two events of a stream.
	pauses map[lavid.ModelID]time.Duration
}

func newSpeeds() *speeds {
	return &speeds{perToken: make(map[lavid.ServiceID]float64), pauses: make(map[lavid.ModelID]time.Duration)}
}

// first records how long work took until the first event.
func (s *speeds) first(service lavid.ServiceID, work float64, took time.Duration) {
	if work < leastWork {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := took.Seconds() / work
	mean, known := s.perToken[service]
	if !known {
		mean = sample
	}
	s.perToken[service] = mean + speedWeight*(sample-mean)
}

// pause records the mean pause of a stream.
func (s *speeds) pause(model lavid.ModelID, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.pauses[model]
	if !known {
		mean = took
	}
	s.pauses[model] = mean + time.Duration(speedWeight*float64(took-mean))
}

// expect returns the expected times to the first event and to the last of a number of events; unknown speeds count as zero.
func (s *speeds) expect(service lavid.ServiceID, model lavid.ModelID, work, events float64) (first, whole time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = time.Duration(s.perToken[service] * work * float64(time.Second))
	return first, first + time.Duration(events*float64(s.pauses[model]))
}
