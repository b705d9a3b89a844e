package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavspread"
)

const (
	idleTime           = 8 * time.Second
	outageTime         = 8 * time.Second
	propagationTimeout = 20 * time.Second
	// killInterval is the distance between killed hosts: one host in 20 is killed.
	killInterval  = 20
	designHosts   = 1020
	designServers = 600
)

// result holds the measurements of one fleet.
type result struct {
	hosts        int
	bytesPerHost float64 // bytes per second that a host sends and receives
	readsPerSec  float64 // store reads of all hosts
	cpuShare     float64 // share of one core that a host uses
	// maxAge is the longest time since a host last had its configuration confirmed.
	maxAge           time.Duration
	propagationTimes []time.Duration
	// outagePropagationTime is the time until a change is in force on all live hosts while the store is unavailable.
	outagePropagationTime time.Duration
	// outageInForce is the mean share of the live hosts on which the configuration is in force during the outage.
	outageInForce float64
}

func main() {
	command := &cli.Command{
		Name:  "lavspread",
		Usage: "measure how fast a configuration propagates over hosts on the loopback interface",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Usage: "numbers of hosts to measure", Value: []int{50, 100, 200, 400}},
			&cli.IntFlag{Name: "changes", Usage: "number of configuration changes in each fleet", Value: 5},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return measureAll(ctx, command.Root().Writer, command.IntSlice("hosts"), command.Int("changes"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureAll measures fleets of several sizes and prints a line for each.
func measureAll(ctx context.Context, out io.Writer, sizes []int, changes int) error {
	fmt.Fprintln(out, "hosts  bytes/s/host  reads/s  core/host  oldest evidence  in force after (median, worst)  outage and 1 in 20 dead  in force in outage")
	var results []result
	for _, size := range sizes {
		r, err := measure(ctx, size, changes)
		if err != nil {
			return err
		}
		results = append(results, r)
		slices.Sort(r.propagationTimes)
		fmt.Fprintf(out, "%5d  %12.0f  %7.1f  %8.3f%%  %15v  %13v %15v  %23v  %17.4f\n", r.hosts, r.bytesPerHost, r.readsPerSec, 100*r.cpuShare,
			r.maxAge.Round(time.Millisecond), r.propagationTimes[len(r.propagationTimes)/2].Round(time.Millisecond), r.propagationTimes[len(r.propagationTimes)-1].Round(time.Millisecond),
			r.outagePropagationTime.Round(time.Millisecond), r.outageInForce)
	}
	if len(results) > 1 {
		printFit(out, results)
	}
	return nil
}

// printFit fits the longest propagation time as a line over the binary logarithm of the number of hosts.
func printFit(out io.Writer, results []result) {
	var sumX, sumY, sumXX, sumXY float64
	for _, r := range results {
		x, y := math.Log2(float64(r.hosts)), slices.Max(r.propagationTimes).Seconds()
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	n := float64(len(results))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	offset := (sumY - slope*sumX) / n
	fmt.Fprintf(out, "worst spread = %.2f s + %.2f s for each doubling; at %d hosts %.2f s\n", offset, slope, designHosts, offset+slope*math.Log2(designHosts))
}

// measure starts a fleet and measures it while idle, during changes, and during a store outage with killed hosts.
func measure(ctx context.Context, size, changes int) (result, error) {
	f, err := startFleet(ctx, size)
	if err != nil {
		return result{}, err
	}
	defer f.stop(ctx)
	r := result{hosts: size}
	first := lavspread.Patch{ID: "first", Operations: initialPatch(designServers)}
	if _, err := f.hosts[0].spreader.Submit(ctx, first); err != nil {
		return r, err
	}
	if f.waitUntilInForce(1, time.Now(), propagationTimeout) < 0 {
		return r, errors.Errorf("the initial configuration is not in force on all %d hosts after %v", size, propagationTimeout)
	}
	time.Sleep(time.Second)
	f.measureIdle(&r)
	for i := range changes {
		propagationTime, err := f.measureChange(ctx, lavid.ConfigNumber(i+1), false)
		if err != nil {
			return r, err
		}
		r.propagationTimes = append(r.propagationTimes, propagationTime)
	}
	for i := range size / killInterval {
		f.hosts[1+i*killInterval].kill(ctx)
	}
	if r.outagePropagationTime, err = f.measureChange(ctx, lavid.ConfigNumber(changes+1), true); err != nil {
		return r, err
	}
	r.outageInForce = f.measureOutage(lavid.ConfigNumber(changes + 1))
	return r, nil
}

// measureIdle measures what a host uses while the configuration does not change.
func (f *fleet) measureIdle(r *result) {
	bytes, reads, cpu, start := f.bytes.Load(), f.store.reads.Load(), cpuTime(), time.Now()
	for time.Since(start) < idleTime {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		for _, h := range f.hosts {
			r.maxAge = max(r.maxAge, h.current.Age(now))
		}
	}
	seconds := time.Since(start).Seconds()
	hosts := float64(r.hosts)
	// Each byte is written by one host and read by another.
	r.bytesPerHost = 2 * float64(f.bytes.Load()-bytes) / seconds / hosts
	r.readsPerSec = float64(f.store.reads.Load()-reads) / seconds
	r.cpuShare = (cpuTime() - cpu).Seconds() / seconds / hosts
}

// measureChange submits a patch and returns the time from the call until it is in force on every live host. If outage is
// set, the store becomes unavailable as soon as the patch is accepted.
func (f *fleet) measureChange(ctx context.Context, base lavid.ConfigNumber, outage bool) (time.Duration, error) {
	operations := fmt.Sprintf(`[{"op":"replace","path":"/BackendServers/engine-%d/State","value":"OutOfService"}]`, base)
	patch := lavspread.Patch{ID: lavid.PatchID(fmt.Sprint("patch-", base)), Base: base, Operations: json.RawMessage(operations)}
	start := time.Now()
	if _, err := f.hosts[0].spreader.Submit(ctx, patch); err != nil {
		return 0, err
	}
	f.store.down.Store(outage)
	propagationTime := f.waitUntilInForce(base+1, start, propagationTimeout)
	if propagationTime < 0 {
		return 0, errors.Errorf("configuration %d is not in force on every host after %v", base+1, propagationTimeout)
	}
	return propagationTime, nil
}

// measureOutage returns the mean share of the live hosts with the configuration in force while the store is unavailable.
func (f *fleet) measureOutage(number lavid.ConfigNumber) float64 {
	sum, count := 0.0, 0
	for start := time.Now(); time.Since(start) < outageTime; time.Sleep(50 * time.Millisecond) {
		sum += f.inForceShare(number)
		count++
	}
	return sum / float64(count)
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
