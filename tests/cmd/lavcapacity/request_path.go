package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/tests/measures/lavprocess"
)

const (
	programs         = "bin" // directory of the built binaries
	pathCallers      = 8
	streamTime       = 4 * time.Second // length of a measurement of streams
	unlimitedRunning = "500"           // limit that these measurements never reach
	idleTime         = 5 * time.Second // length of a measurement of idle processes
)

// startSinglePair starts one entry host and one engine whose answers have the given number of tokens.
func startSinglePair(tokens string) (*lavprocess.Fleet, error) {
	f, err := lavprocess.New(programs)
	if err != nil {
		return nil, err
	}
	for _, step := range []func() error{
		func() error {
			return f.AddServer("dc-1", 500, "--capacity", unlimitedRunning, "--first-token", "1ms", "--between-tokens", "1ms", "--tokens", tokens)
		},
		func() error { return f.AddEntry("dc-1") },
		f.MakeReady,
	} {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// measurePath measures an entry host and a side process, while they serve streams and while they are idle.
func measurePath(r *report) error {
	entry := r.series("entry, one streamed request", "ms of processor", "token")
	side := r.series("side, one streamed request", "ms of processor", "token")
	for _, tokens := range []int{10, 40, 160} {
		used, err := measureStreams(tokens)
		if err != nil {
			return err
		}
		entry.add(float64(tokens), used[0])
		side.add(float64(tokens), used[1])
	}
	return measureIdle(r)
}

// measureStreams serves streams for streamTime and returns the processor time per request, in milliseconds, of the entry
// host and of the side process.
func measureStreams(tokens int) ([2]float64, error) {
	f, err := startSinglePair(itoa(tokens))
	if err != nil {
		return [2]float64{}, err
	}
	defer f.Stop()
	sendStreams(f, time.Second)
	before, err := usages(f)
	if err != nil {
		return [2]float64{}, err
	}
	sent := float64(max(sendStreams(f, streamTime), 1))
	after, err := usages(f)
	var used [2]float64
	for i := range used {
		used[i] = (after[i].Processor - before[i].Processor).Seconds() * 1000 / sent
	}
	return used, err
}

// sendStreams runs concurrent callers for the given time and returns the number of complete answers.
func sendStreams(f *lavprocess.Fleet, length time.Duration) int {
	caller := lavprocess.NewCaller(f.Entries[0].Address)
	defer caller.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), length+20*time.Second)
	defer cancel()
	began := time.Now()
	counts := make([]int, pathCallers)
	var group conc.WaitGroup
	for i := range pathCallers {
		group.Go(func() {
			for time.Since(began) < length {
				answer, err := caller.Send(ctx, true, "a prompt of some words")
				if err == nil && answer.Complete {
					counts[i]++
				}
			}
		})
	}
	group.Wait()
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// usages returns the resource use of the first entry host and of the first side process.
func usages(f *lavprocess.Fleet) ([2]lavprocess.Usage, error) {
	entry, err := f.Entries[0].Usage()
	if err != nil {
		return [2]lavprocess.Usage{}, err
	}
	side, err := f.Sides[0].Usage()
	return [2]lavprocess.Usage{entry, side}, err
}

// idlePairs is the number of entry hosts, and of side processes, in the fleet whose idle use is measured.
const idlePairs = 4

func measureIdle(r *report) error {
	f, c, err := startPairs(idlePairs)
	if err != nil {
		return err
	}
	defer c.server.Close()
	defer f.Stop()
	time.Sleep(2 * time.Second)
	before, err := usages(f)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := usages(f)
	if err != nil {
		return err
	}
	for i, name := range []string{"idle entry of 4 and 4", "idle side of 4 and 4"} {
		r.series(name, "MB resident", "").add(1, float64(after[i].ResidentBytes)/(1<<20))
		r.series(name, "ms of processor/s", "").add(1, (after[i].Processor-before[i].Processor).Seconds()*1000/idleTime.Seconds())
	}
	return nil
}
