package lavforecast

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// burstRequest is a request of the simulated burst.
type burstRequest struct {
	arrived time.Duration
	work    float64
	band    Band
	number  int
}

// burstQueue orders requests by band, then by arrival.
type burstQueue []*burstRequest

func (q burstQueue) Len() int { return len(q) }
func (q burstQueue) Less(i, j int) bool {
	if q[i].band != q[j].band {
		return q[i].band < q[j].band
	}
	return q[i].number < q[j].number
}
func (q burstQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *burstQueue) Push(value any) {
	request, _ := value.(*burstRequest)
	*q = append(*q, request)
}
func (q *burstQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// burstEngine reads one prompt after the other.
type burstEngine struct {
	waiting burstQueue
	// left is the work of the prompt that is being read.
	left    float64
	current *burstRequest
	// unread and deferred are as hosts know them, which is as of the latest report.
	unread, deferred float64
}

const (
	burstStep     = 5 * time.Millisecond
	burstSpeed    = 30.0 // tokens a millisecond
	burstTarget   = 2 * time.Second
	burstDeadline = 12 * time.Second
	burstLength   = 20 * time.Second
	reportDelay   = 400 * time.Millisecond
)

// playBurst plays a load that exceeds the engines between the seconds 3 and 8 and returns the requests that were served in
// time and late. With bands, requests that would be late wait behind the others.
func playBurst(seed uint64, bands bool, overload float64) (inTime, late int) {
	random := rand.New(rand.NewPCG(seed, 9))
	engines := make([]burstEngine, 12)
	forecaster := New()
	number := 0
	meanWork := 6000.0
	capacity := float64(len(engines)) * burstSpeed / meanWork // requests a millisecond
	for now := time.Duration(0); now < burstLength; now += burstStep {
		rate := 0.6 * capacity
		if now > 3*time.Second && now < 8*time.Second {
			rate = overload * capacity
		}
		if now%reportDelay == 0 {
			for i := range engines {
				engines[i].report()
			}
		}
		for arrivals := rate * float64(burstStep.Milliseconds()); random.Float64() < arrivals; arrivals-- {
			number++
			request := &burstRequest{arrived: now, work: meanWork * (0.3 + 1.4*random.Float64()), number: number}
			engine := &engines[random.IntN(len(engines))]
			if other := &engines[random.IntN(len(engines))]; other.unread < engine.unread {
				engine = other
			}
			estimate := func(work float64) Estimate {
				return forecaster.First(Query{Service: "pool", Work: work}, start.Add(now))
			}
			band := Choose(Outlook{
				Ahead: estimate(engine.unread - engine.deferred + request.work), Behind: estimate(engine.unread + request.work),
				TargetLeft: burstTarget, DeadlineLeft: burstDeadline,
			})
			if bands {
				request.band = band
			}
			engine.unread += request.work
			if request.band != InTime {
				engine.deferred += request.work
			}
			heap.Push(&engine.waiting, request)
		}
		for i := range engines {
			for _, request := range engines[i].step(now) {
				took := now - request.arrived
				if request.band == InTime {
					forecaster.Observe(Query{Service: "pool", Work: took.Seconds() * 1000 * burstSpeed}, took, start.Add(now))
				}
				switch {
				case took <= burstTarget:
					inTime++
				case took <= burstDeadline:
					late++
				}
			}
		}
	}
	return inTime, late
}

// report tells the hosts of the engine's work.
func (e *burstEngine) report() {
	e.unread, e.deferred = e.left, 0
	for _, request := range e.waiting {
		e.unread += request.work
		if request.band != InTime {
			e.deferred += request.work
		}
	}
}

// step reads prompts for burstStep and returns the requests whose prompts were read.
func (e *burstEngine) step(now time.Duration) []*burstRequest {
	var done []*burstRequest
	for budget := burstSpeed * float64(burstStep.Milliseconds()); budget > 0; {
		if e.current == nil {
			if len(e.waiting) == 0 {
				return done
			}
			e.current, _ = heap.Pop(&e.waiting).(*burstRequest)
			if now-e.current.arrived > burstDeadline {
				e.current = nil // its caller has left
				continue
			}
			e.left = e.current.work
		}
		read := min(budget, e.left)
		budget -= read
		if e.left -= read; e.left <= 0 {
			done = append(done, e.current)
			e.current, e.left = nil, 0
		}
	}
	return done
}

// TestBurstOverCapacityServesMoreInTime answers the pattern of a load above what the engines can serve, as in a burst, after
// an evacuation or while servers are replaced: first come, first served then makes nearly everyone late.
func TestBurstOverCapacityServesMoreInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, overload := range []float64{1.3, 1.6, 2.2} {
		var before, after, lateBefore, lateAfter int
		for seed := range uint64(6) {
			inTime, late := playBurst(seed, false, overload)
			before, lateBefore = before+inTime, lateBefore+late
			inTime, late = playBurst(seed, true, overload)
			after, lateAfter = after+inTime, lateAfter+late
		}
		t.Logf("overload %.1f: in time %d, late %d in order of arrival; in time %d, late %d by bands", overload, before, lateBefore, after, lateAfter)
		is.True(after > before)
		is.True(20*(after+lateAfter) >= 19*(before+lateBefore)) // nobody is left out for it
	}
}

// TestLoadWithinCapacityDefersFew guards against requests that wait behind others although the engines can serve all.
func TestLoadWithinCapacityDefersFew(t *testing.T) {
	is := is.New(t)
	before, _ := playBurst(3, false, 0.8)
	after, late := playBurst(3, true, 0.8)
	is.True(100*after >= 99*before)
	is.True(50*late <= after)
}
