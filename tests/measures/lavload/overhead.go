package lavload

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"lavenderswitch/tests/measures/lavprocess"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	programs          = "bin" // directory of the built binaries
	overheadCallers   = 4
	overheadLength    = 4 * time.Second
	idleStreams       = 400
	idleTokenInterval = 30 * time.Second
	idleOpeningTime   = 12 * time.Second // time in which the idle streams are opened
	idleOpenInterval  = 25 * time.Millisecond
	unlimitedRunning  = 1000 // limit that these measurements never reach
)

// loadResult collects the answers of a load test.
type loadResult struct {
	mu      sync.Mutex
	answers []lavprocess.Answer
	failed  int
	elapsed time.Duration
}

func (r *loadResult) add(answer lavprocess.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !answer.Complete {
		r.failed++
		return
	}
	r.answers = append(r.answers, answer)
}

func (r *loadResult) durations() []time.Duration {
	samples := make([]time.Duration, 0, len(r.answers))
	for _, answer := range r.answers {
		samples = append(samples, answer.Whole)
	}
	return samples
}

// runClosedLoop runs concurrent callers that each send the next request when the previous one is answered.
func runClosedLoop(address string, callers int, stream bool, length time.Duration) *loadResult {
	caller := lavprocess.NewCaller(address)
	defer caller.HTTP.CloseIdleConnections()
	result := &loadResult{}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), length+10*time.Second)
	defer cancel()
	var group conc.WaitGroup
	for range callers {
		group.Go(func() {
			for time.Since(began) < length {
				result.add(caller.Send(ctx, stream, "a prompt of some words"))
			}
		})
	}
	group.Wait()
	result.elapsed = time.Since(began)
	return result
}

// resourceUse is the processor time and the heap allocations that processes have used since their start.
type resourceUse struct {
	entry, side time.Duration
	allocations float64
}

// memoryVars holds the part of /debug/vars that the measurement reads.
type memoryVars struct {
	Stats struct{ Mallocs float64 } `json:"memstats"`
}

// allocations returns the number of heap allocations of the entry host since its start, or zero if it cannot be read.
func allocations(f *lavprocess.Fleet) float64 {
	text, err := f.ReadOperatorPath(0, "/debug/vars")
	if err != nil {
		return 0
	}
	var vars memoryVars
	if json.Unmarshal([]byte(text), &vars) != nil {
		return 0
	}
	return vars.Stats.Mallocs
}

func readResourceUse(f *lavprocess.Fleet) (resourceUse, error) {
	entry, err := f.Entries[0].Usage()
	if err != nil {
		return resourceUse{}, err
	}
	side, err := f.Sides[0].Usage()
	return resourceUse{entry.Processor, side.Processor, allocations(f)}, err
}

// Overhead compares an engine that is called directly with the same engine behind an entry host and a side process.
func Overhead(options lavreport.Options) ([]lavreport.Row, error) {
	f, err := oneServer("--first-token", "1ms", "--between-tokens", "0", "--tokens", "20")
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	var rows []lavreport.Row
	for _, stream := range []bool{false, true} {
		measured, err := compareDirect(f, stream, options.Seed)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measured...)
	}
	idle, err := measureIdle(options.Seed)
	return append(rows, idle), err
}

// oneServer starts a fleet with one engine and one entry host.
func oneServer(engineArguments ...string) (*lavprocess.Fleet, error) {
	f, err := lavprocess.New(programs)
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"--capacity", fmt.Sprint(unlimitedRunning)}, engineArguments...)
	if err := errors.Wrap(firstError(
		f.AddServer("dc-1", unlimitedRunning, arguments...),
		f.AddEntry("dc-1"),
		f.MakeReady(),
	), "start fleet"); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// firstError returns the first error that is not nil.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// compareDirect returns a row for direct calls and one for routed calls.
func compareDirect(f *lavprocess.Fleet, stream bool, seed uint64) ([]lavreport.Row, error) {
	runClosedLoop(f.Entries[0].Address, overheadCallers, stream, 2*time.Second)
	direct := runClosedLoop(f.Engines[0].Address, overheadCallers, stream, overheadLength)
	before, err := readResourceUse(f)
	if err != nil {
		return nil, err
	}
	routedResult := runClosedLoop(f.Entries[0].Address, overheadCallers, stream, overheadLength)
	after, err := readResourceUse(f)
	if err != nil {
		return nil, err
	}
	name := "plain answers of 20 tokens"
	if stream {
		name = "streams of 20 tokens"
	}
	count := float64(max(len(routedResult.answers), 1))
	entry := (after.entry - before.entry).Seconds()
	side := (after.side - before.side).Seconds()
	row := lavreport.Row{Measure: "overhead (processes)", Case: name, Policy: "direct", Seed: seed, Verdict: lavreport.Baseline, Figures: loadFigures(direct)}
	routed := row
	routed.Policy = "lavenderswitch"
	routed.Figures = append(loadFigures(routedResult),
		lavreport.Number("added p50 ms", millis(quantile(routedResult.durations(), p50)-quantile(direct.durations(), p50)), 2),
		lavreport.Number("added p99 ms", millis(quantile(routedResult.durations(), p99)-quantile(direct.durations(), p99)), 2),
		lavreport.Number("requests/s per entry core", count/max(entry, 0.01), 0),
		lavreport.Number("per side core", count/max(side, 0.01), 0),
		lavreport.Number("entry allocations/request", (after.allocations-before.allocations)/count, 0),
	)
	return []lavreport.Row{row, routed}, nil
}

const p99 = 0.99

func loadFigures(b *loadResult) []lavreport.Figure {
	return []lavreport.Figure{
		lavreport.Number("p50 ms", millis(quantile(b.durations(), p50)), 2),
		lavreport.Number("p99 ms", millis(quantile(b.durations(), p99)), 2),
		lavreport.Number("requests/s", float64(len(b.answers))/b.elapsed.Seconds(), 0),
		lavreport.Number("failed", float64(b.failed), 0),
	}
}

// measureIdle opens streams whose second token is far in the future and measures the memory per open stream.
func measureIdle(seed uint64) (lavreport.Row, error) {
	row := lavreport.Row{Measure: "overhead (processes)", Policy: "lavenderswitch", Seed: seed, Verdict: lavreport.Baseline}
	f, err := oneServer("--first-token", "10ms", "--between-tokens", idleTokenInterval.String(), "--tokens", "2")
	if err != nil {
		return row, err
	}
	defer f.Stop()
	before, err := memoryOf(f)
	if err != nil {
		return row, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	caller := lavprocess.NewCaller(f.Entries[0].Address)
	var group conc.WaitGroup
	var open atomic.Int64
	for began := time.Now(); time.Since(began) < idleOpeningTime; time.Sleep(idleOpenInterval) {
		if open.Load() >= idleStreams {
			break
		}
		group.Go(func() {
			open.Add(1)
			defer open.Add(-1)
			_, _ = caller.Send(ctx, true, "wait")
		})
	}
	time.Sleep(2 * time.Second)
	count := float64(max(open.Load(), 1))
	after, err := memoryOf(f)
	cancel()
	group.Wait()
	row.Case = fmt.Sprintf("%.0f idle streams", count)
	row.Figures = []lavreport.Figure{
		lavreport.Number("entry KB/stream", float64(after[0]-before[0])/count/1024, 1),
		lavreport.Number("side KB/stream", float64(after[1]-before[1])/count/1024, 1),
	}
	return row, err
}

// memoryOf returns the resident bytes of the entry host and of the side process.
func memoryOf(f *lavprocess.Fleet) ([2]int64, error) {
	entry, err := f.Entries[0].Usage()
	if err != nil {
		return [2]int64{}, err
	}
	side, err := f.Sides[0].Usage()
	return [2]int64{entry.ResidentBytes, side.ResidentBytes}, err
}
