package lavload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/measures/lavprocess"
	"lavenderswitch/tests/measures/lavreport"
)

// The engines and phases of the surge on processes. The second half of the engines is slower.
const (
	surgeEngines    = 4
	surgeEntries    = 2
	surgeMaxRunning = 64
	surgeSlope      = 0.1                    // additional time per token for each further running request, relative to the time alone
	surgeTokens     = 40                     // tokens per answer
	surgeFirst      = 100 * time.Millisecond // time to first token of an idle engine
	fastBetween     = 15 * time.Millisecond  // time between tokens of an idle fast engine
	slowBetween     = 22 * time.Millisecond  // time between tokens of an idle slow engine
	surgeCalm       = 3 * time.Second
	surgeWarm       = 8 * time.Second // start of the surge that is not measured
	surgeMeasured   = 8 * time.Second
	surgeEnd        = 10 * time.Second // time after the last request in which answers may still finish
	promptVariants  = 200              // different prompts
)

// engineRate returns the requests per second at which an engine just meets the target for the time between tokens.
func engineRate(between time.Duration) float64 {
	slow := float64(betweenTokensTarget) / float64(between)
	running := 1 + (slow-1)/surgeSlope
	whole := slow * (surgeFirst + surgeTokens*between).Seconds()
	return running / whole
}

// surgeCapacity returns the requests per second that all engines of the surge can serve.
func surgeCapacity() float64 {
	return surgeEngines / 2 * (engineRate(fastBetween) + engineRate(slowBetween))
}

// surgeFleet starts the engines of the surge, and the entry hosts if requests are routed.
func surgeFleet(routed bool) (*lavprocess.Fleet, error) {
	f, err := lavprocess.New(programs)
	if err != nil {
		return nil, err
	}
	for i := range surgeEngines {
		between := fastBetween
		if i >= surgeEngines/2 {
			between = slowBetween
		}
		err = firstError(err, f.AddServer(lavid.DataCentreID(fmt.Sprint("dc-", i%2)), surgeMaxRunning,
			"--capacity", fmt.Sprint(surgeMaxRunning), "--batch-slope", fmt.Sprint(surgeSlope),
			"--first-token", surgeFirst.String(), "--between-tokens", between.String(), "--tokens", fmt.Sprint(surgeTokens)))
	}
	for i := range surgeEntries {
		if err == nil && routed {
			err = f.AddEntry(lavid.DataCentreID(fmt.Sprint("dc-", i%2)))
		}
	}
	if err == nil && routed {
		err = f.MakeReady()
	}
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// loadTarget distributes requests over engines as a simple balancer does, or over entry hosts in round robin.
type loadTarget struct {
	callers []*lavprocess.Caller
	running []atomic.Int64
	next    atomic.Int64
	choice  choiceKind
}

func newLoadTarget(f *lavprocess.Fleet, choice choiceKind) *loadTarget {
	processes := f.Engines
	if choice == chooseRouter {
		processes = f.Entries
	}
	t := &loadTarget{choice: choice, running: make([]atomic.Int64, len(processes))}
	for _, process := range processes {
		t.callers = append(t.callers, lavprocess.NewCaller(process.Address))
	}
	return t
}

// pick returns the index of the process that receives the next request.
func (t *loadTarget) pick(random *rand.Rand) int {
	switch t.choice {
	case chooseRandom:
		return random.IntN(len(t.callers))
	case chooseLeastRequests:
		best := 0
		for i := range t.running {
			if t.running[i].Load() < t.running[best].Load() {
				best = i
			}
		}
		return best
	default:
		return int(t.next.Add(1)) % len(t.callers)
	}
}

func (t *loadTarget) send(ctx context.Context, index int, text string) (lavprocess.Answer, error) {
	t.running[index].Add(1)
	defer t.running[index].Add(-1)
	return t.callers[index].Send(ctx, true, text)
}

// runOpenLoop sends requests at random times with a given mean rate, independently of the answers. It returns the results
// and the number of requests of the measured part.
func runOpenLoop(t *loadTarget, calm, surge float64, seed uint64) (*loadResult, int) {
	random := rand.New(rand.NewPCG(seed, 5))
	result := &loadResult{}
	offered := 0
	ctx, cancel := context.WithTimeout(context.Background(), surgeCalm+surgeWarm+surgeMeasured+surgeEnd)
	defer cancel()
	began := time.Now()
	var group conc.WaitGroup
	next := time.Duration(0)
	for next < surgeCalm+surgeWarm+surgeMeasured {
		rate := surge
		if next < surgeCalm {
			rate = calm
		}
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(next)))
		measured := next >= surgeCalm+surgeWarm
		if measured {
			offered++
		}
		index := t.pick(random)
		text := fmt.Sprint("prompt ", random.IntN(promptVariants))
		group.Go(func() {
			answer, err := t.send(ctx, index, text)
			if measured {
				result.add(answer, err)
			}
		})
	}
	group.Wait()
	return result, offered
}

// Surge measures unequal engines on separate processes, called directly by simple balancers or through the router.
func Surge(options lavreport.Options) ([]lavreport.Row, error) {
	choices := []choiceKind{chooseRandom, chooseRoundRobin, chooseLeastRequests, chooseRouter}
	var rows []lavreport.Row
	fullLoadGoodput := 0.0
	for _, load := range []float64{0.8, 1.0, 1.5} {
		measured := make([]lavreport.Row, len(choices))
		goodputs := make([]float64, len(choices))
		errs := make([]error, len(choices))
		var group conc.WaitGroup
		for i, choice := range choices {
			group.Go(func() { measured[i], goodputs[i], errs[i] = surgeRow(choice, load, options.Seed) })
		}
		group.Wait()
		if err := firstError(errs...); err != nil {
			return nil, err
		}
		last := &measured[len(choices)-1]
		if load == 1.0 {
			fullLoadGoodput = goodputs[len(choices)-1]
		}
		judgeSurge(last, load, goodputs[len(choices)-1], fullLoadGoodput)
		rows = append(rows, measured...)
	}
	return rows, nil
}

// surgeRow returns the row of one policy and its goodput in requests per second.
func surgeRow(choice choiceKind, load float64, seed uint64) (lavreport.Row, float64, error) {
	row := lavreport.Row{
		Measure: "latency (processes)", Case: fmt.Sprintf("4 unlike engines, surge to %.1fx", load), Policy: string(choice) + ", direct",
		Seed: seed, Verdict: lavreport.Baseline,
	}
	if choice == chooseRouter {
		row.Policy = string(choice)
	}
	f, err := surgeFleet(choice == chooseRouter)
	if err != nil {
		return row, 0, err
	}
	defer f.Stop()
	time.Sleep(time.Second)
	rate := surgeCapacity()
	b, offered := runOpenLoop(newLoadTarget(f, choice), calmLoad*rate, load*rate, seed)
	good := 0
	var first, between []time.Duration
	for _, answer := range b.answers {
		first = append(first, answer.First)
		between = append(between, answer.MeanTokenInterval())
		if answer.First <= firstTokenTarget && answer.MeanTokenInterval() <= betweenTokensTarget {
			good++
		}
	}
	goodput := float64(good) / surgeMeasured.Seconds()
	row.Figures = []lavreport.Figure{
		lavreport.Number("first p50 ms", millis(quantile(first, p50)), 0),
		lavreport.Number("first p95 ms", millis(quantile(first, p95)), 0),
		lavreport.Number("between p95 ms", millis(quantile(between, p95)), 1),
		lavreport.Number("not answered %", percent(b.failed, offered), 1),
		lavreport.Number("goodput/s", goodput, 1),
	}
	if choice == chooseRouter && load <= 1 {
		met := quantile(first, p95) <= firstTokenTarget && quantile(between, p95) <= betweenTokensTarget
		row.Aim = "p95 within 1.7 s and 48 ms"
		row.Verdict = lavreport.Judge(met)
	}
	return row, goodput, nil
}

// judgeSurge compares the goodput of an overloaded fleet with that at full load.
func judgeSurge(row *lavreport.Row, load, goodput, fullLoadGoodput float64) {
	if load <= 1 {
		return
	}
	row.Aim = "goodput at least 0.95 of 1.0x"
	row.Figures = append(row.Figures, lavreport.Number("of 1.0x", goodput/max(fullLoadGoodput, 0.1), 3))
	row.Verdict = lavreport.Judge(goodput >= 0.95*fullLoadGoodput)
}
