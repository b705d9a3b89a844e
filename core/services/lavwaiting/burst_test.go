package lavwaiting

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// burstRequest is a request of the simulated burst, and the time at which its prompt was read.
type burstRequest struct {
	item    *Item
	arrived time.Duration
	target  time.Duration
}

// burstEngine reads prompts in order of arrival.
type burstEngine struct {
	prompts []*burstRequest
	left    float64
	// reported is the work at the engine as of the latest report, and sent what the host at hand has sent since.
	reported float64
	sent     []float64
}

const (
	burstStep  = 5 * time.Millisecond
	burstSpeed = 30.0 // tokens a millisecond
	// reportAge is how long a host does not know what other hosts have sent.
	reportAge = 400 * time.Millisecond
	// smallWork and largeWork are the work of the urgent and of the patient kind.
	smallWork, largeWork     = 800.0, 12_000.0
	smallTarget, largeTarget = time.Second, 3 * time.Second
	burstPatience            = 12 * time.Second
)

// burstResult counts the requests of each urgency that were served in time and at all.
type burstResult struct{ inTime, served [2]int }

// playBurst plays a load above the capacity between the seconds 3 and 9: several hosts send small urgent and large patient
// requests to the same engines. With queues, a request waits at its host until an engine can serve it.
func playBurst(seed uint64, hosts int, queues bool, overload float64) burstResult {
	random := rand.New(rand.NewPCG(seed, 9))
	engines := make([]burstEngine, 12)
	for i := range engines {
		engines[i].sent = make([]float64, hosts)
	}
	waiting := make([]*Queue, hosts)
	targets := NewTargets()
	requests := make(map[*Item]*burstRequest)
	for host := range waiting {
		waiting[host] = New()
	}
	capacity := float64(len(engines)) * burstSpeed / ((smallWork + largeWork) / 2) // requests a millisecond
	var result burstResult
	for now := time.Duration(0); now < 25*time.Second; now += burstStep {
		at := start.Add(now)
		rate := 0.6 * capacity
		if now > 3*time.Second && now < 9*time.Second {
			rate = overload * capacity
		}
		if now%reportAge == 0 {
			for i := range engines {
				engines[i].report()
			}
		}
		for arrivals := rate * float64(burstStep.Milliseconds()); random.Float64() < arrivals; arrivals-- {
			request := &burstRequest{arrived: now, target: smallTarget, item: &Item{Work: smallWork}}
			if random.IntN(2) == 0 {
				request.item.Urgency, request.item.Work, request.target = 1, largeWork, largeTarget
			}
			request.item.Target, request.item.Deadline = at.Add(request.target), at.Add(burstPatience)
			targets.Record([]string{"small", "large"}[request.item.Urgency], request.item.Urgency, request.target, at)
			requests[request.item] = request
			waiting[random.IntN(hosts)].Add(request.item, at)
		}
		for host, queue := range waiting {
			for _, item := range queue.Hopeless(at) {
				queue.Remove(item)
			}
			for _, item := range queue.Ordered(at) {
				engine := leastBusy(engines, host)
				allowance := targets.Allowance(item.Urgency, requests[item].target, at)
				if queues && engine.known(host)/burstSpeed > float64(allowance.Milliseconds()) {
					continue
				}
				queue.Release(item, at)
				engine.sent[host] += item.Work
				engine.prompts = append(engine.prompts, requests[item])
			}
		}
		for i := range engines {
			for _, request := range engines[i].step(now) {
				took := now - request.arrived
				if took <= request.target {
					result.inTime[request.item.Urgency]++
				}
				if took <= burstPatience {
					result.served[request.item.Urgency]++
				}
			}
		}
	}
	return result
}

func leastBusy(engines []burstEngine, host int) *burstEngine {
	best := &engines[0]
	for i := range engines {
		if engines[i].known(host) < best.known(host) {
			best = &engines[i]
		}
	}
	return best
}

// known returns the work at an engine as a host knows it.
func (e *burstEngine) known(host int) float64 { return e.reported + e.sent[host] }

func (e *burstEngine) report() {
	e.reported = e.left
	for i, request := range e.prompts {
		if i > 0 {
			e.reported += request.item.Work
		}
	}
	clear(e.sent)
}

// step reads prompts for burstStep and returns the requests whose prompts were read.
func (e *burstEngine) step(now time.Duration) []*burstRequest {
	var done []*burstRequest
	for budget := burstSpeed * float64(burstStep.Milliseconds()); budget > 0 && len(e.prompts) > 0; {
		first := e.prompts[0]
		if e.left == 0 {
			if now-first.arrived > burstPatience {
				e.prompts = slices.Delete(e.prompts, 0, 1) // its caller has left
				continue
			}
			e.left = first.item.Work
		}
		read := min(budget, e.left)
		budget -= read
		if e.left -= read; e.left <= 0 {
			e.left = 0
			e.prompts = slices.Delete(e.prompts, 0, 1)
			done = append(done, first)
		}
	}
	return done
}

// TestBurstOverCapacityKeepsUrgentRequestsInTime answers the pattern of a load above what the engines can serve, as in a
// burst, after an evacuation or while servers are replaced: engines read prompts in order of arrival, so that long patient
// prompts make short urgent requests late.
func TestBurstOverCapacityKeepsUrgentRequestsInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, hosts := range []int{6, 24, 68} {
		for _, overload := range []float64{1.2, 1.6} {
			var before, after burstResult
			for seed := range uint64(4) {
				for queues, sum := range map[bool]*burstResult{false: &before, true: &after} {
					played := playBurst(seed, hosts, queues, overload)
					for urgency := range 2 {
						sum.inTime[urgency] += played.inTime[urgency]
						sum.served[urgency] += played.served[urgency]
					}
				}
			}
			t.Logf("%d hosts, load %.1f: in time %v, served %v at once; in time %v, served %v with queues", hosts, overload, before.inTime, before.served, after.inTime, after.served)
			is.True(after.inTime[0] > before.inTime[0])
			for urgency := range 2 {
				is.True(10*after.served[urgency] >= 9*before.served[urgency]) // nobody starves
			}
		}
	}
}
